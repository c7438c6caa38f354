//! Why the daemon can't start, or ended by itself.

#[cfg(feature = "peers")]
use crate::cluster;
use crate::director;
use crate::discovery::watched_file::WatchedFileError;
use crate::frontend::admin::AdminListenError;
use crate::frontend::serve::ListenError;
use tokio::task::JoinError;

/// Why the daemon can't start, or ended by itself. Its text is one line.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DaemonError {
    /// A frontend can't listen.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The admin endpoint can't listen.
    #[error(transparent)]
    AdminListen(#[from] AdminListenError),
    /// The key file of the signed frontend can't be used.
    #[error(transparent)]
    KeyFile(#[from] WatchedFileError),
    /// The settings or a source of endpoints can't be used.
    #[error(transparent)]
    Dispatcher(#[from] director::StartError),
    /// The gossip among directors can't start.
    #[cfg(feature = "peers")]
    #[error(transparent)]
    Cluster(#[from] cluster::StartError),
    /// The operators' file asks for gossip, and the program was built without it.
    #[error("peers: this program was built without talk among directors")]
    ClusterNotSupported,
    /// The dispatcher ended by itself.
    #[error("the core ended: {0:?}")]
    DispatcherEnded(Result<(), JoinError>),
}
