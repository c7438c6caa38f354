//! Checks what the reports of attempts prove about cancelled requests: that they never ran or may have run.

use foxhold::dispatch::cancellation_log::{
    CancellationLog, ExecutionProof, ProvenCancellation, MAX_WAITING_REQUESTS,
};
use foxhold::dispatch::AttemptError;
use foxhold::RequestId;
use quickcheck::quickcheck;
use std::sync::Arc;
use ExecutionProof::{MayHaveRun, NeverRan};

const ATTEMPT_ERRORS: [AttemptError; 5] = [
    AttemptError::NotConnected,
    AttemptError::NotWritten,
    AttemptError::PartiallyWritten,
    AttemptError::Unanswered,
    AttemptError::ResponseInterrupted,
];

fn class() -> Arc<str> {
    "filing".into()
}

fn proven(proof: ExecutionProof) -> Option<ProvenCancellation> {
    Some(ProvenCancellation { class: class(), proof })
}

fn proof_of(error: AttemptError) -> ExecutionProof {
    ExecutionProof::from_never_ran(error.never_ran())
}

#[test]
fn a_proof_that_is_complete_at_cancellation_is_returned_at_once() {
    let mut log = CancellationLog::default();
    assert_eq!(log.request_cancelled(RequestId(1), &class(), NeverRan, 0), proven(NeverRan));
    assert_eq!(log.request_cancelled(RequestId(2), &class(), MayHaveRun, 1), proven(MayHaveRun));
    assert_eq!(
        log.attempt_reported(RequestId(2), proof_of(AttemptError::NotWritten)),
        None,
        "expected a later report to change nothing"
    );
    assert_eq!(log.waiting(), 0);
}

#[test]
fn missing_reports_and_requests_beyond_capacity_count_as_may_have_run() {
    let mut log = CancellationLog::default();
    assert_eq!(log.request_cancelled(RequestId(0), &class(), NeverRan, 1), None);
    assert_eq!(log.report_timed_out(RequestId(0)), proven(MayHaveRun));
    assert_eq!(log.report_timed_out(RequestId(0)), None);
    for request in 0..MAX_WAITING_REQUESTS as u64 {
        assert_eq!(log.request_cancelled(RequestId(request), &class(), NeverRan, 1), None);
    }
    let beyond = RequestId(MAX_WAITING_REQUESTS as u64);
    assert_eq!(log.request_cancelled(beyond, &class(), NeverRan, 1), proven(MayHaveRun));
}

quickcheck! {
    /// Checks that `NeverRan` is returned only if every attempt proves it, and that exactly one proof is
    /// returned.
    fn the_proof_is_never_ran_only_if_all_attempts_prove_it(errors: Vec<u8>) -> bool {
        let mut log = CancellationLog::default();
        let request = RequestId(7);
        if errors.is_empty() {
            return log.request_cancelled(request, &class(), NeverRan, 0) == proven(NeverRan);
        }
        let error = |n: &u8| ATTEMPT_ERRORS[usize::from(*n) % ATTEMPT_ERRORS.len()];
        let errors: Vec<AttemptError> = errors.iter().map(error).collect();
        let is_open = log.request_cancelled(request, &class(), NeverRan, errors.len()).is_none();
        let reports = errors.iter().filter_map(|error| log.attempt_reported(request, proof_of(*error)));
        let proofs: Vec<ExecutionProof> = reports.map(|proven| proven.proof).collect();
        let worst = ExecutionProof::from_never_ran(errors.iter().all(|error| error.never_ran()));
        is_open && proofs == [worst] && log.waiting() == 0
    }
}
