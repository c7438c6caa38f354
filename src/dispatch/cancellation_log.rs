//! Determines whether requests cancelled by their clients may have run: a state machine without clock or I/O.
//!
//! A client may disconnect at any point. Nothing new is sent for it from then on, but attempts already sent
//! may have run. Only the connection actors that carry the attempts know whether one was removed from a queue
//! or was already on the wire. The log waits for their reports, and assumes that an attempt ran if no report
//! arrives.

use crate::policy::types::RequestId;
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum number of requests that wait for reports at a time. Any further request counts as having run.
pub const MAX_WAITING_REQUESTS: usize = 4096;

/// What is proven about the execution of a cancelled request or of one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionProof {
    /// Nothing of it ran anywhere.
    NeverRan,
    /// It may have run. A request of a class that must not run twice must then not be retried.
    MayHaveRun,
}

impl ExecutionProof {
    /// Returns `NeverRan` if something certainly never ran, and `MayHaveRun` if that is not proven.
    pub fn from_never_ran(never_ran: bool) -> Self {
        if never_ran {
            ExecutionProof::NeverRan
        } else {
            ExecutionProof::MayHaveRun
        }
    }
}

/// A cancelled request for which it is settled whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProvenCancellation {
    /// Name of the request's class.
    pub class: Arc<str>,
    /// What is proven about its execution.
    pub proof: ExecutionProof,
}

/// Cancelled requests whose attempts have not all been reported.
#[derive(Debug, Default)]
pub struct CancellationLog(HashMap<RequestId, WaitingRequest>);

#[derive(Debug)]
struct WaitingRequest {
    class: Arc<str>,
    /// Number of attempts that have not been reported yet.
    unreported: usize,
}

impl CancellationLog {
    /// Records that a client cancelled a request that has `in_flight` attempts in flight. `ended_attempts` is
    /// what the attempts that have ended prove. Returns what is proven of the request if that is settled
    /// already. Returns `None` if the log waits for [`attempt_reported`](Self::attempt_reported) or
    /// [`report_timed_out`](Self::report_timed_out).
    pub fn request_cancelled(
        &mut self,
        request: RequestId,
        class: &Arc<str>,
        ended_attempts: ExecutionProof,
        in_flight: usize,
    ) -> Option<ProvenCancellation> {
        let proven = |proof| Some(ProvenCancellation { class: class.clone(), proof });
        if ended_attempts == ExecutionProof::MayHaveRun {
            return proven(ExecutionProof::MayHaveRun);
        }
        if in_flight == 0 {
            return proven(ExecutionProof::NeverRan);
        }
        if self.0.len() >= MAX_WAITING_REQUESTS {
            return proven(ExecutionProof::MayHaveRun);
        }
        self.0.insert(request, WaitingRequest { class: class.clone(), unreported: in_flight });
        None
    }

    /// Records what the end or the cancellation of an attempt proves. Returns what is proven of the request
    /// once that is settled. Returns `None` before, and for requests that do not wait for reports.
    pub fn attempt_reported(
        &mut self,
        request: RequestId,
        attempt: ExecutionProof,
    ) -> Option<ProvenCancellation> {
        let waiting = self.0.get_mut(&request)?;
        waiting.unreported -= 1;
        if attempt == ExecutionProof::NeverRan && waiting.unreported > 0 {
            return None;
        }
        self.resolve(request, attempt)
    }

    /// Settles a request whose reports did not all arrive in time. Without a report nothing is proven, so the
    /// request counts as having run. Returns `None` if the request does not wait for reports.
    pub fn report_timed_out(&mut self, request: RequestId) -> Option<ProvenCancellation> {
        self.resolve(request, ExecutionProof::MayHaveRun)
    }

    fn resolve(&mut self, request: RequestId, proof: ExecutionProof) -> Option<ProvenCancellation> {
        self.0.remove(&request).map(|waiting| ProvenCancellation { class: waiting.class, proof })
    }

    /// Returns the number of requests that wait for reports.
    pub fn waiting(&self) -> usize {
        self.0.len()
    }
}
