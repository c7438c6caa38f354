//! Errors that prevent the daemon from starting or end it.

#[cfg(feature = "peers")]
use crate::cluster;
use crate::director;
use crate::discovery::watched_file::WatchedFileError;
use crate::frontend::admin::AdminListenError;
use crate::frontend::serve::ListenError;
use tokio::task::JoinError;

/// An error that prevents the daemon from starting or ends it, displayed on one line.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DaemonError {
    /// A frontend can't open its listening socket.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The admin endpoint can't open its listening socket.
    #[error(transparent)]
    AdminListen(#[from] AdminListenError),
    /// The signed frontend's key file can't be read or is invalid.
    #[error(transparent)]
    KeyFile(#[from] WatchedFileError),
    /// The settings are invalid, or a source of endpoints failed.
    #[error(transparent)]
    Dispatcher(#[from] director::StartError),
    /// Gossip among directors failed to start.
    #[cfg(feature = "peers")]
    #[error(transparent)]
    Cluster(#[from] cluster::StartError),
    /// The operator's file has a section `peers`, but the program was built without the feature `peers`.
    #[error("peers: gossip among directors needs a build with the feature 'peers'")]
    ClusterNotSupported,
    /// The dispatcher's task ended before a shutdown was requested.
    #[error("dispatcher ended unexpectedly: {0:?}")]
    DispatcherEnded(Result<(), JoinError>),
}
