//! Operators' commands on the replicated state, for the admin endpoint: one line each.
//!
//! | command | answer |
//! | --- | --- |
//! | `peers` | the status of this director and its peers, as one line of JSON, then `END` |
//! | `state KIND` | all entries of `purges`, `drains` or `members`, a line each, then `END` |
//! | `drain NAME`, `undrain NAME` | `YES`, `YES no news` if nothing changed, or `NO` and the reason |
//! | `purge object NAME`, `purge group NUMBER` | the same: no director serves copies older than now |

use super::{ClusterCommand, ClusterHandle};
use crate::replication::entry::{Key, Kind};
use crate::replication::state::{MergeError, MAX_NAME_BYTES};

/// The answer once the actor has ended.
const ENDED: &str = "NO the talk among directors has ended\n";

/// Executes a command and returns its answer; none: it is not a command of this module.
pub async fn answer(peers: &ClusterHandle, command: &str) -> Option<String> {
    let arguments: Vec<&str> = command.split_ascii_whitespace().collect();
    let outcome = match arguments[..] {
        ["peers"] => {
            let status = peers.send(ClusterCommand::Status).await;
            return Some(status.map_or(ENDED.into(), |json| format!("{json}\nEND\n")));
        }
        ["state", kind] => {
            let Some(kind) = Kind::ALL.into_iter().find(|k| k.name() == kind) else {
                return Some("NO such kind; there are purges, drains and members\n".into());
            };
            let lines = peers.send(|reply| ClusterCommand::List(kind, reply)).await;
            let text = |lines: Vec<String>| lines.iter().map(|line| format!("{line}\n")).collect::<String>();
            return Some(lines.map_or(ENDED.into(), |lines| format!("{}END\n", text(lines))));
        }
        [verb @ ("drain" | "undrain"), name] => {
            if name.len() > MAX_NAME_BYTES {
                return Some("NO the name is too long\n".into());
            }
            peers.send(|reply| ClusterCommand::Drain(name.into(), verb == "drain", reply)).await
        }
        ["purge", "object", name] => {
            peers.send(|reply| ClusterCommand::Purge(Key::Object(name.into()), reply)).await
        }
        ["purge", "group", number] => {
            let Ok(group) = number.parse() else { return Some("NO a group is a number\n".into()) };
            peers.send(|reply| ClusterCommand::Purge(Key::Group(group), reply)).await
        }
        _ => return None,
    };
    Some(match outcome {
        Some(Ok(true)) => "YES\n".into(),
        Some(Ok(false)) => "YES no news\n".into(),
        Some(Err(MergeError::NoCapacity)) => {
            "NO there is no room for it: peers.entries is too small\n".into()
        }
        Some(Err(_)) => "NO it can't be held: its name is too long, or the clock is wrong\n".into(),
        None => ENDED.into(),
    })
}

/// The stage of catching up, for the answer to `check`.
pub async fn stage(peers: &ClusterHandle) -> &'static str {
    peers.send(ClusterCommand::Stage).await.unwrap_or("the talk among directors has ended")
}
