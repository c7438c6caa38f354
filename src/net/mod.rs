//! The daemon's sockets, by peer: clients, servers and the notice board.

pub mod board;
pub mod clients;
pub mod config;
pub mod http;
pub mod lines;
pub mod serve;
pub mod servers;
pub mod signed;
pub mod watched;

use crate::core::{self, Clock, Message, Reports};
use crate::signed::Counts;
use crate::xds;
use clients::Platform;
use config::Config;
use serve::{Places, Shared};
use servers::Servers;
use signed::{parse_keys, FrontFile, Metrics, Signed};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};
use watched::Watched;

/// After SIGTERM connections and requests keep coming for this long, and are served.
const STILL_COMING: Duration = Duration::from_millis(700);
/// The least that the longest deadline counts as when the program ends.
const LEAST_DEADLINE: Duration = Duration::from_secs(3);

/// Runs a director until `terminated` is done and what it had taken by then is answered. The second front
/// runs beside the platform's where its file says so. Of a configuration that comes later the board's address
/// is taken over; whatever is under way is left alone.
pub async fn run(
    config: Config,
    second: Option<FrontFile>,
    configs: mpsc::Receiver<Config>,
    terminated: impl Future<Output = ()>,
) -> Result<(), String> {
    let (to_board, board) = watch::channel(config.board.clone());
    tokio::task::spawn_local(take_over(config.clone(), configs, to_board));
    let Config { listen, seed, sockets, settings, transport, rev, known, .. } = config;
    let longest = transport.longest_deadline.max(LEAST_DEADLINE);
    let clock = Clock::system();
    let xds = second.as_ref().and_then(|file| file.xds.clone());
    let listed = xds.map(|path| Watched::open(path, xds::parse)).transpose()?;
    let keyed = second.map(|file| Ok::<_, String>((Watched::open(file.keys.clone(), parse_keys)?, file)));
    let keyed = keyed.transpose()?;
    // Where the list comes from a file, the board tells of purges only.
    let purges_only = listed.is_some();
    let known = known.into_iter().filter_map(|notice| notice.message(purges_only));
    let (list_file, list) = listed.unzip();
    let known = list.into_iter().map(listed_members).chain(known).collect();
    let running = core::start(settings, seed, clock, Servers::new(transport, sockets * 2 / 5), known)
        .map_err(|e| e.to_string())?;
    let core = running.core;
    if let Some(file) = list_file {
        tokio::task::spawn_local(follow_members(file, core.reports()));
    }
    tokio::task::spawn_local(board::follow(board, rev, purges_only, core.reports()));
    let (close, closing) = watch::channel(false);
    let open = Rc::new(Cell::new(0));
    // Clients hold a third of the descriptors at most; a few more places let a new one in before an old one
    // is seen to have gone, and some more where none can make room at once.
    let places = Places::new(sockets * 2 / 5, sockets / 2);
    let share = || {
        let (core, closing) = (core.clone(), closing.clone());
        Shared { core, places: places.clone(), closing, open: open.clone() }
    };
    let mut accepting = vec![serve::listen(&listen, share(), Platform(core.clone())).await?];
    if let Some(((keys_file, keys), FrontFile { listen, metrics, .. })) = keyed {
        let (sender, keys) = watch::channel(Arc::new(keys));
        tokio::task::spawn_local(signed::follow_keys(keys_file, sender));
        let counts = Arc::new(Counts::default());
        if let Some(metrics) = metrics.filter(|m| !m.is_empty()) {
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
    sleep(STILL_COMING).await;
    accepting.iter().for_each(JoinHandle::abort);
    let _ = close.send(true);
    while open.get() > 0 && told.elapsed() < longest + STILL_COMING {
        sleep(Duration::from_millis(5)).await;
    }
    // The last answers are written; a moment for what the clients have not yet read.
    sleep(Duration::from_millis(20)).await;
    Ok(())
}

/// Takes over what can change while the program runs, which is where the board is; its numbers carry on, so
/// the events that a later configuration holds will come from there. What else is new is logged.
async fn take_over(mut config: Config, mut configs: mpsc::Receiver<Config>, board: watch::Sender<String>) {
    while let Some(new) = configs.recv().await {
        let fixed = |c: &Config| (c.listen.clone(), c.sockets, c.settings.clone(), c.transport.clone());
        if fixed(&new) != fixed(&config) {
            log!("configuration: only 'board' is taken over; other changes wait for a restart");
        }
        config = new;
        board.send_if_modified(|at| std::mem::replace(at, config.board.clone()) != config.board);
    }
}

fn listed_members(update: xds::Update) -> Message {
    Message::Members { full: true, members: update.members }
}

/// Watches a list in xDS form; each good version of it takes the place of the one before.
pub async fn follow_members(mut file: Watched, reports: Reports) {
    loop {
        let update = file.next(xds::parse).await;
        reports.send(listed_members(update)).await;
    }
}
