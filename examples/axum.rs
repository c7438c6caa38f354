//! The middleware in an axum application, before the toy deployment (see README.md). Signed links go to the
//! director; a route of the application's own stands beside it.
//!
//! `cargo run --example axum --features middleware`, then `make sign` and ask port 7103 for the link, with
//! `-H 'Host: 127.0.0.1:7101'`, the host that it was signed for.

use axum::routing::get;
use axum::Router;
use foxhold::core::{self, Clock};
use foxhold::director::Config;
use foxhold::fronts::signed::parse_keys;
use foxhold::middleware::{Director, SignedLayer};
use foxhold::signed::Counts;
use foxhold::transport::servers::Servers;
use std::sync::Arc;
use tokio::net::TcpListener;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // The core and its peers are tasks of this set; the handle that the service holds may go anywhere.
    tokio::task::LocalSet::new().block_on(&runtime, serve())
}

async fn serve() -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::parse(include_str!("config.json"))?;
    let keys = Arc::new(parse_keys(include_str!("keys.json"))?);
    let known = config.known.into_iter().filter_map(|notice| notice.message(false)).collect();
    let servers = Servers::new(config.transport, 200);
    let running = core::start(config.settings, config.seed, Clock::system(), servers, known)?;
    let counts = Arc::new(Counts::default());
    let director = Director::new(running.core, counts.clone());
    let signed = Router::new().fallback_service(director).layer(SignedLayer::new(
        keys,
        Clock::system(),
        counts.clone(),
    ));
    let app = Router::new()
        .route("/metrics", get(move || async move { counts.exposition() }))
        .fallback_service(signed);
    axum::serve(TcpListener::bind("127.0.0.1:7103").await?, app).await?;
    Ok(())
}
