//! What became of requests that their clients cancelled: a state machine without clock or I/O.
//!
//! A client may disconnect at any point. Nothing new is sent for it from then on, but what was sent may have
//! run, and that is known only by those who carry the attempts: whether one was taken out of a queue, or was
//! on the wire. The log waits for their reports, and assumes that an attempt ran where none comes.

use crate::policy::types::RequestId;
use std::collections::HashMap;
use std::sync::Arc;

/// Requests that wait for reports at a time; beyond that one counts as having run.
pub const MAX_WAITING_REQUESTS: usize = 4096;

/// What is proven of a cancelled request or of one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionProof {
    /// Nothing of it ran anywhere.
    NeverRan,
    /// It may have run; a class that must not run twice is not to be retried.
    MayHaveRun,
}

impl ExecutionProof {
    /// The proof that something certainly never ran, or the want of it.
    pub fn from_never_ran(never_ran: bool) -> Self {
        if never_ran {
            ExecutionProof::NeverRan
        } else {
            ExecutionProof::MayHaveRun
        }
    }
}

/// A cancelled request of which it is settled whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProvenCancellation {
    /// The request's class.
    pub class: Arc<str>,
    /// What is proven of it.
    pub proof: ExecutionProof,
}

/// Cancelled requests whose attempts have not all been reported.
#[derive(Debug, Default)]
pub struct CancellationLog(HashMap<RequestId, WaitingRequest>);

#[derive(Debug)]
struct WaitingRequest {
    class: Arc<str>,
    /// Attempts that were not reported yet.
    unreported: usize,
}

impl CancellationLog {
    /// A client cancelled a request that has so many attempts in flight, after others that prove this.
    /// Returns what is proven already; none: the log waits for [`attempt_reported`](Self::attempt_reported)
    /// or [`report_timed_out`](Self::report_timed_out).
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

    /// What the end or the cancellation of one of the attempts proves. Returns what is proven of the request
    /// once that is settled.
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

    /// Not all reports came in time: without a report nothing is proven.
    pub fn report_timed_out(&mut self, request: RequestId) -> Option<ProvenCancellation> {
        self.resolve(request, ExecutionProof::MayHaveRun)
    }

    fn resolve(&mut self, request: RequestId, proof: ExecutionProof) -> Option<ProvenCancellation> {
        self.0.remove(&request).map(|waiting| ProvenCancellation { class: waiting.class, proof })
    }

    /// Requests that wait for reports.
    pub fn waiting(&self) -> usize {
        self.0.len()
    }
}
