//! A host application with the director as a library, as `examples/axum.rs` shows: the middleware serves all
//! requests, and SIGHUP reads the settings again and gives them to `Director::reload`.

use axum::Router;
use foxhold::config::platform::PlatformConfig;
use foxhold::director::Director;
use foxhold::middleware::DirectorService;
use foxhold::signed::OutcomeCounters;
use std::path::Path;
use std::sync::Arc;
use tokio::signal::unix::{signal, SignalKind};

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let path = std::env::var("ROUTER_CONFIG")?;
    let listen = std::env::var("ROUTER_LISTEN")?;
    let director = Director::from_file(&path)?.start()?;
    let mut hangup = signal(SignalKind::hangup())?;
    let reloaded = director.clone();
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            match PlatformConfig::read(Path::new(&path)) {
                Ok(config) => eprintln!("reload: {}", reloaded.reload(config.settings).await.is_ok()),
                Err(error) => eprintln!("reload: {error}"),
            }
        }
    });
    let service = DirectorService::new(director, Arc::new(OutcomeCounters::default()));
    let app = Router::new().route("/alive", axum::routing::get(|| async { "" })).fallback_service(service);
    let listener = tokio::net::TcpListener::bind(listen).await?;
    Ok(axum::serve(listener, app).await?)
}
