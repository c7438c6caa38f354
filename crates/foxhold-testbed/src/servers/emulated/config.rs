//! Start-up configuration of an emulated server.

use crate::servers::model::ServerSpec;
use serde::{Deserialize, Serialize};

/// A class of requests as an emulated server handles it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ContentClass {
    /// The name of the class in requests.
    pub name: String,
    /// Its share of the requests, relative to the other classes.
    pub share: f64,
    /// Mean size of its objects, in KB.
    pub mean_kb: f64,
    /// Whether its requests are writes, which run at the origin and are not cached.
    pub write: bool,
}

/// Configuration of an emulated server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerConfig {
    /// Its name in the member list.
    pub name: String,
    /// The address to listen on; port 0: any free port.
    pub listen: String,
    /// Its capacity and its limits.
    pub spec: ServerSpec,
    /// The classes that it knows. Requests of other classes count as reads of size 0.
    pub kinds: Vec<ContentClass>,
    /// Whether it starts cold, with part of its capacity.
    pub slow_start: bool,
}
