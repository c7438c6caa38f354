//! Commands of the admin endpoint on the replicated state. Each command is one line.
//!
//! | command | answer |
//! | --- | --- |
//! | `peers` | the status of this director and its peers, as one line of JSON, then `END` |
//! | `state KIND` | all entries of `purges`, `drains` or `members`, one per line, then `END` |
//! | `drain NAME`, `undrain NAME` | `YES`, `YES no news` if nothing changed, or `NO` and the reason |
//! | `purge object NAME`, `purge group NUMBER` | as for `drain`; no director serves older copies afterwards |

use super::handle::ChangeEffect;
use super::{ClusterCommand, ClusterHandle};
use crate::replication::entry::{DrainCommand, Key, Kind};
use crate::replication::state::{MergeError, MAX_NAME_BYTES};

/// The reason given to operators after the actor has ended.
const ENDED: &str = "the talk among directors has ended";

/// Executes a command and returns its answer. Returns `None` if this module does not know the command.
pub async fn answer(cluster: &ClusterHandle, command: &str) -> Option<String> {
    let arguments: Vec<&str> = command.split_ascii_whitespace().collect();
    Some(match arguments[..] {
        ["peers"] => status(cluster).await,
        ["state", kind] => list(cluster, kind).await,
        ["drain", server] => set_drain(cluster, server, DrainCommand::Drain).await,
        ["undrain", server] => set_drain(cluster, server, DrainCommand::Undrain).await,
        ["purge", "object", name] => purge(cluster, Key::Object(name.into())).await,
        ["purge", "group", number] => match number.parse() {
            Ok(group) => purge(cluster, Key::Group(group)).await,
            Err(_) => "NO a group is a number\n".into(),
        },
        _ => return None,
    })
}

/// Returns the name of the catch-up stage, for the answer to `check`.
pub async fn stage(cluster: &ClusterHandle) -> &'static str {
    cluster.send(ClusterCommand::Stage).await.unwrap_or(ENDED)
}

fn ended() -> String {
    format!("NO {ENDED}\n")
}

async fn status(cluster: &ClusterHandle) -> String {
    let json = cluster.send(ClusterCommand::Status).await;
    json.map_or_else(ended, |json| format!("{json}\nEND\n"))
}

async fn list(cluster: &ClusterHandle, name: &str) -> String {
    let Some(kind) = Kind::ALL.into_iter().find(|kind| kind.name() == name) else {
        return "NO such kind; there are purges, drains and members\n".into();
    };
    let Some(lines) = cluster.send(|reply| ClusterCommand::List { kind, reply }).await else {
        return ended();
    };
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    format!("{text}END\n")
}

async fn set_drain(cluster: &ClusterHandle, server: &str, command: DrainCommand) -> String {
    if server.len() > MAX_NAME_BYTES {
        return "NO the name is too long\n".into();
    }
    let server = server.to_owned();
    let outcome = cluster.send(|reply| ClusterCommand::SetDrain { server, command, reply }).await;
    change_answer(outcome)
}

async fn purge(cluster: &ClusterHandle, key: Key) -> String {
    change_answer(cluster.send(|reply| ClusterCommand::Purge { key, reply }).await)
}

fn change_answer(outcome: Option<Result<ChangeEffect, MergeError>>) -> String {
    match outcome {
        Some(Ok(ChangeEffect::Changed)) => "YES\n".into(),
        Some(Ok(ChangeEffect::Unchanged)) => "YES no news\n".into(),
        Some(Err(MergeError::NoCapacity)) => {
            "NO there is no room for it: peers.entries is too small\n".into()
        }
        Some(Err(_)) => "NO it can't be held: its name is too long, or the clock is wrong\n".into(),
        None => ended(),
    }
}
