//! What became of requests whose clients let go of them: a state machine without clock or I/O.
//!
//! A client may leave at any point. Nothing new is sent for it from then on, but what was sent may have run,
//! and that is told only by those who carry the attempts: whether one was taken out of a queue, or was on the
//! wire. The ledger waits for their word and keeps to the safe side where none comes.

use std::collections::HashMap;
use std::sync::Arc;

/// Requests that wait for word at a time; beyond that one counts as having run.
const MOST: usize = 4096;

/// What is proven of a request that was let go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionProof {
    /// Nothing of it ran anywhere.
    NeverRan,
    /// It may have run; a class that must not run twice is not to be asked for again.
    MayHaveRun,
}

/// Requests that were let go and whose attempts have not all been told of.
#[derive(Debug, Default)]
pub struct CancellationLog(HashMap<u64, Waiting>);

#[derive(Debug)]
struct Waiting {
    class: Arc<str>,
    /// Attempts that nothing was told of yet.
    out: usize,
}

impl CancellationLog {
    /// A client let go of a request with so many attempts out, after others that may have run or not. Returns
    /// what is proven already; none: the ledger waits for [`told`](Self::told) or [`overdue`](Self::overdue).
    pub fn left(
        &mut self,
        request: u64,
        class: &Arc<str>,
        ran_before: bool,
        out: usize,
    ) -> Option<ExecutionProof> {
        if ran_before {
            return Some(ExecutionProof::MayHaveRun);
        }
        if out == 0 {
            return Some(ExecutionProof::NeverRan);
        }
        if self.0.len() >= MOST {
            return Some(ExecutionProof::MayHaveRun);
        }
        self.0.insert(request, Waiting { class: class.clone(), out });
        None
    }

    /// Whether one of its attempts, which ended or was called off, surely never ran. Returns the request's
    /// class and proof once that is settled.
    pub fn told(&mut self, request: u64, never_ran: bool) -> Option<(Arc<str>, ExecutionProof)> {
        let waiting = self.0.get_mut(&request)?;
        waiting.out -= 1;
        let proof = match never_ran {
            false => ExecutionProof::MayHaveRun,
            true if waiting.out == 0 => ExecutionProof::NeverRan,
            true => return None,
        };
        self.0.remove(&request).map(|w| (w.class, proof))
    }

    /// No word came in time: a peer that says nothing proves nothing.
    pub fn overdue(&mut self, request: u64) -> Option<(Arc<str>, ExecutionProof)> {
        self.0.remove(&request).map(|w| (w.class, ExecutionProof::MayHaveRun))
    }

    /// Requests that wait for word.
    pub fn waiting(&self) -> usize {
        self.0.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::dispatch::AttemptError;
    use quickcheck::quickcheck;

    const HOW: [AttemptError; 5] = [
        AttemptError::NotConnected,
        AttemptError::NotWritten,
        AttemptError::PartiallyWritten,
        AttemptError::Unanswered,
        AttemptError::ResponseInterrupted,
    ];

    #[test]
    fn what_is_known_at_once_is_told_at_once() {
        let (mut ledger, class) = (CancellationLog::default(), "filing".into());
        assert_eq!(ledger.left(1, &class, false, 0), Some(ExecutionProof::NeverRan));
        assert_eq!(ledger.left(2, &class, true, 1), Some(ExecutionProof::MayHaveRun));
        assert_eq!(
            ledger.told(2, AttemptError::NotWritten.never_ran()),
            None,
            "what comes later changes nothing"
        );
        assert_eq!(ledger.waiting(), 0);
    }

    #[test]
    fn silence_counts_as_having_run_and_a_full_ledger_too() {
        let (mut ledger, class): (_, Arc<str>) = (CancellationLog::default(), "filing".into());
        assert_eq!(ledger.left(0, &class, false, 1), None);
        assert_eq!(ledger.overdue(0), Some((class.clone(), ExecutionProof::MayHaveRun)));
        assert_eq!(ledger.overdue(0), None);
        for request in 0..MOST as u64 {
            assert_eq!(ledger.left(request, &class, false, 1), None);
        }
        assert_eq!(ledger.left(MOST as u64, &class, false, 1), Some(ExecutionProof::MayHaveRun));
    }

    quickcheck! {
        /// Never ran is said only where every attempt proves it, and exactly one verdict is given.
        fn the_verdict_is_the_worst_of_all_attempts(ends: Vec<u8>) -> bool {
            let (mut ledger, class) = (CancellationLog::default(), "filing".into());
            if ends.is_empty() {
                return ledger.left(7, &class, false, 0) == Some(ExecutionProof::NeverRan);
            }
            let ends: Vec<AttemptError> = ends.iter().map(|n| HOW[usize::from(*n) % HOW.len()]).collect();
            let none = ledger.left(7, &class, false, ends.len()).is_none();
            let told = ends.iter().filter_map(|how| ledger.told(7, how.never_ran()));
            let told: Vec<ExecutionProof> = told.map(|t| t.1).collect();
            let never_ran = ends.iter().all(|e| e.never_ran());
            let worst = if never_ran { ExecutionProof::NeverRan } else { ExecutionProof::MayHaveRun };
            none && told == [worst] && ledger.waiting() == 0
        }
    }
}
