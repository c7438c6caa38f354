//! Counts the requests that are accepted and not yet answered.

use std::cell::Cell;
use std::rc::Rc;

/// A guard that counts one request as in flight until it is dropped.
pub(super) struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    pub(super) fn new(requests_in_flight: &Rc<Cell<usize>>) -> Self {
        requests_in_flight.set(requests_in_flight.get() + 1);
        InFlightGuard(requests_in_flight.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
