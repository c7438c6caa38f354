//! The director in an axum application, in front of the example deployment (see README.md). The application
//! serves one route itself; signed URLs go to the director.
//!
//! `cargo run --example axum --features axum`, then `make sign`. Request the link from port 7105, with
//! `-H 'Host: 127.0.0.1:7101'`: the link is signed for that host.

use axum::routing::get;
use axum::Router;
use foxhold::director::Director;
use foxhold::dispatch::Clock;
use foxhold::frontend::signed::parse_keys;
use foxhold::middleware::{DirectorService, SignedLayer};
use foxhold::signed::OutcomeCounters;
use std::sync::Arc;

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let director = Director::from_file("examples/config.json")?.start()?;
    let keys = Arc::new(parse_keys(include_str!("keys.json"))?);
    let counts = Arc::new(OutcomeCounters::default());
    let signed = Router::new()
        .fallback_service(DirectorService::new(director, counts.clone()))
        .layer(SignedLayer::new(keys, Clock::system(), counts.clone()));
    let app = Router::new()
        .route("/metrics", get(move || async move { counts.to_prometheus() }))
        .fallback_service(signed);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:7105").await?;
    Ok(axum::serve(listener, app).await?)
}
