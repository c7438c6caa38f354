//! The daemon's sockets, by peer: clients, servers and the notice board.

pub mod board;
pub mod clients;
pub mod config;
pub mod http;
pub mod lines;
pub mod servers;

use crate::core::{self, Clock};
use clients::{Listening, Platform};
use config::Config;
use servers::Servers;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// After SIGTERM connections and requests keep coming for this long, and are served.
const STILL_COMING: Duration = Duration::from_millis(700);
/// The least that the longest deadline counts as when the program ends.
const LEAST_DEADLINE: Duration = Duration::from_secs(3);

/// Runs a director until `terminated` is done and what it had taken by then is answered.
pub async fn run(config: Config, terminated: impl std::future::Future<Output = ()>) -> Result<(), String> {
    let Config { listen, board, seed, sockets, settings, transport, rev, known } = config;
    let longest = transport.longest_deadline.max(LEAST_DEADLINE);
    let known = known.into_iter().filter_map(board::Notice::message).collect();
    let running = core::start(settings, seed, Clock::system(), Servers { transport }, known)
        .map_err(|e| e.to_string())?;
    let core = running.core;
    let listener = TcpListener::bind(&listen).await.map_err(|e| format!("listen on {listen}: {e}"))?;
    if !board.is_empty() {
        tokio::task::spawn_local(board::follow(board, rev, core.reports()));
    }
    let (close, closing) = watch::channel(false);
    let open = Rc::new(Cell::new(0));
    let front = Platform(core.clone());
    // Clients hold a third of the descriptors at most; a few more places let a new one in before an old one
    // is seen to have gone.
    let most = sockets * 2 / 5;
    let shared =
        Listening { core, front, most, largest_body: clients::LARGEST_WRITE, closing, open: open.clone() };
    let accepting = tokio::task::spawn_local(clients::listen(listener, shared));
    tokio::select! {
        () = terminated => {}
        end = running.task => return Err(format!("the core ended: {end:?}")),
    }
    let told = Instant::now();
    sleep(STILL_COMING).await;
    accepting.abort();
    let _ = close.send(true);
    while open.get() > 0 && told.elapsed() < longest + STILL_COMING {
        sleep(Duration::from_millis(5)).await;
    }
    // The last answers are written; a moment for what the clients have not yet read.
    sleep(Duration::from_millis(20)).await;
    Ok(())
}
