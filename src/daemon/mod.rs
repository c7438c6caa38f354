//! The daemon: a configuration, a source of members, the core and its fronts, put together.

use crate::api::Settings;
use crate::core::{Clock, Message, Reports};
use crate::director::{start_core, Config};
use crate::fronts::ops::{self, Door, Reloads};
use crate::fronts::platform::Platform;
use crate::fronts::serve::{self, Closing, Places, Shared};
use crate::fronts::signed::{self, parse_keys, Metrics, Signed};
use crate::operator::{Operator, SignedSection};
#[cfg(feature = "peers")]
use crate::peers;
use crate::signed::Counts;
use crate::sources::watched::Watched;
use crate::sources::{Board, Membership, XdsFile};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
#[cfg(feature = "peers")]
use tokio::time::timeout;
use tokio::time::{sleep, sleep_until, Instant};

/// After SIGTERM connections and requests keep coming for this long, and are served.
const STILL_COMING: Duration = Duration::from_millis(700);
/// Events of the board that wait for the talk among directors; one more is missed here and told by the
/// others.
const NOTICES: usize = 1024;
/// The others are told of the end, and the disk of the last changes, within this.
#[cfg(feature = "peers")]
const LEAVING: Duration = Duration::from_millis(1200);
/// The least that the longest deadline counts as when the program ends.
const LEAST_DEADLINE: Duration = Duration::from_secs(3);

/// Runs a director until `terminated` is done and what it had taken by then is answered. The second front
/// runs beside the platform's where the operator's file says so. Of a configuration that comes later the
/// board's address and the settings are taken over; whatever is under way is left alone. Clients come to the
/// inherited socket, where there is one: another process serves it too, or will.
pub async fn run(
    config: Config,
    operator: Operator,
    inherited: Option<std::net::TcpListener>,
    configs: mpsc::Receiver<Result<Config, String>>,
    terminated: impl Future<Output = ()>,
) -> Result<(), String> {
    let (to_board, board) = watch::channel(config.board.clone());
    let (first, servers) = (config.clone(), Box::new(config.servers()));
    let Config { listen, ops, seed, sockets, settings, rev, known, .. } = config;
    let clock = Clock::system();
    let Operator { signed, xds, peers, .. } = operator;
    let keyed = signed.map(|file| Ok::<_, String>((Watched::open(file.keys.clone(), parse_keys)?, file)));
    let keyed = keyed.transpose()?;
    // Where the list comes from a file, the board tells of purges only.
    let purges_only = xds.is_some();
    let mut sources: Vec<Box<dyn Membership>> = Vec::new();
    sources.extend(xds.map(|path| Box::new(XdsFile::new(path)) as Box<dyn Membership>));
    #[cfg(not(feature = "peers"))]
    if peers.is_some() {
        return Err("peers: this program was built without talk among directors".into());
    }
    // Nothing of it is opened or started where the operator's file has no such section.
    let (tap, notices) = peers.as_ref().map(|_| mpsc::channel(NOTICES)).unzip();
    let told = if peers.is_some() { known.clone() } else { Vec::new() };
    sources.push(Box::new(Board { address: board, rev, known, purges_only, tap }));
    let running = start_core(settings, seed, clock, servers, sources)?;
    let core = running.core;
    #[cfg(feature = "peers")]
    let peers = match peers.zip(notices) {
        Some((section, notices)) => {
            let (peers, actor) = peers::open(section, core.reports(), clock, &told, notices).await?;
            tokio::task::spawn_local(actor.run());
            Some(peers)
        }
        None => None,
    };
    #[cfg(not(feature = "peers"))]
    drop((notices, told));
    let reloads = Rc::new(Reloads::default());
    tokio::task::spawn_local(take_over(first, configs, to_board, core.reports(), reloads.clone()));
    let (close, closing) = watch::channel(Closing::No);
    let open = Rc::new(Cell::new(0));
    // Clients hold a third of the descriptors at most; a few more places let a new one in before an old one
    // is seen to have gone, and some more where none can make room at once.
    let places = Places::new(sockets * 2 / 5, sockets / 2);
    let share = || {
        let (core, closing) = (core.clone(), closing.clone());
        Shared { core, places: places.clone(), closing, open: open.clone() }
    };
    let last_answers = inherited.is_some();
    let mut accepting = vec![match inherited {
        Some(socket) => serve::adopt(socket, share(), Platform(core.clone()))?,
        None => serve::listen(&listen, share(), Platform(core.clone())).await?,
    }];
    if !ops.is_empty() {
        let door = Door {
            core: core.clone(),
            open: open.clone(),
            closing: closing.clone(),
            reloads,
            #[cfg(feature = "peers")]
            peers: peers.clone(),
        };
        // Open until the program ends, for the figures of what is still under way.
        ops::listen(&ops, door).await?;
    }
    if let Some(((keys_file, keys), SignedSection { listen, metrics, .. })) = keyed {
        let (sender, keys) = watch::channel(Arc::new(keys));
        tokio::task::spawn_local(signed::follow_keys(keys_file, sender));
        let counts = Arc::new(Counts::default());
        if let Some(metrics) = metrics {
            accepting.push(serve::listen(&metrics, share(), Metrics(counts.clone())).await?);
        }
        let front = Signed { core: core.clone(), keys, clock, counts };
        accepting.push(serve::listen(&listen, share(), front).await?);
    }
    tokio::select! {
        () = terminated => {}
        end = running.task => return Err(format!("the core ended: {end:?}")),
    }
    let told = Instant::now();
    let longest = core.settings().classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    let longest = Duration::from_micros(longest).max(LEAST_DEADLINE);
    if last_answers {
        // Guards against taking from the shared socket what the successor should: who is served here once
        // more is told to come anew, and comes to it.
        accepting.iter().for_each(JoinHandle::abort);
        let _ = close.send(Closing::AfterAnswer);
    }
    #[cfg(feature = "peers")]
    if let Some(peers) = peers {
        // Others hear at once that it goes, and the disk has all that was told; what comes is served.
        let _ = timeout(LEAVING, peers.ask(peers::Order::Leave)).await;
    }
    sleep_until(told + STILL_COMING).await;
    let _ = close.send(Closing::Idle);
    // Slept first: connections with a request that has begun to come are counted once they are told.
    loop {
        sleep(Duration::from_millis(5)).await;
        if open.get() == 0 || told.elapsed() >= longest + STILL_COMING {
            break;
        }
    }
    // The last answers are written; a moment for what the clients have not yet read.
    sleep(Duration::from_millis(20)).await;
    Ok(())
}

/// Takes over what can change while the program runs: the settings, and where the board is; its numbers carry
/// on, so the events that a later configuration holds will come from there. What else is new is logged. One
/// that can't be used is turned down whole, and the one before stays.
async fn take_over(
    mut config: Config,
    mut configs: mpsc::Receiver<Result<Config, String>>,
    board: watch::Sender<String>,
    core: Reports,
    reloads: Rc<Reloads>,
) {
    while let Some(new) = configs.recv().await {
        let new = match new.and_then(|new| new.may_follow(&config).map(|()| new)) {
            Ok(new) => new,
            Err(error) => {
                tracing::warn!("{error}; the configuration before stays");
                reloads.failed.set(reloads.failed.get() + 1);
                continue;
            }
        };
        tracing::info!("configuration read anew");
        reloads.taken.set(reloads.taken.get() + 1);
        let placed = |s: &Settings| (s.zones.clone(), s.zone, s.kinds.clone(), s.parent_kind, s.origin_kind);
        let fixed = |c: &Config| {
            (c.listen.clone(), c.ops.clone(), c.sockets, c.transport.clone(), placed(&c.settings))
        };
        if fixed(&new) != fixed(&config) {
            tracing::info!(
                "configuration: addresses, limits, connections, zones and kinds wait for a restart"
            );
        }
        if new.settings != config.settings {
            core.send(Message::Settings(Box::new(new.settings.clone()))).await;
        }
        config = new;
        board.send_if_modified(|at| std::mem::replace(at, config.board.clone()) != config.board);
    }
}
