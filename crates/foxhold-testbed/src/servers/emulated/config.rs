//! How an emulated server starts.

use crate::servers::model::ServerSpec;
use serde::{Deserialize, Serialize};

/// What this server does with requests of one class: its mean size in KB, and whether it writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ContentClass {
    /// The class.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Mean size of its objects, in KB.
    pub mean_kb: f64,
    /// Runs at the origin and is not kept.
    pub write: bool,
}

/// How a server starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerConfig {
    /// Its name in the list.
    pub name: String,
    /// Where it listens; port 0: any.
    pub listen: String,
    /// What it can do.
    pub spec: ServerSpec,
    /// The classes.
    pub kinds: Vec<ContentClass>,
    /// Starts cold.
    pub slow_start: bool,
}
