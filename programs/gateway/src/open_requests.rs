//! The requests that were read from clients and whose final answer is not yet written.
//!
//! Each request holds an [`OpenRequest`] from the moment its last byte was read. The set here is therefore that of the
//! requests that would be lost if the process ended now.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use vanewharf_policy::interface::Ticks;

/// The stage of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// The request is queued behind another one on its connection, or waits for the router's decision.
    Undecided,
    /// The request's final answer is being written.
    Answering,
}

/// The state of an open request, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenRequestState {
    /// When the request's last byte was read.
    pub read_at: Ticks,
    /// The request's stage.
    pub stage: RequestStage,
}

#[derive(Default)]
struct Inner {
    open: RefCell<BTreeMap<u64, OpenRequestState>>,
    last_number: Cell<u64>,
}

/// The set of open requests; clones share it.
#[derive(Clone, Default)]
pub struct OpenRequests(Rc<Inner>);

/// Keeps a request in the set of open requests until dropped.
pub struct OpenRequest {
    number: u64,
    requests: OpenRequests,
}

impl OpenRequests {
    /// Adds a request whose last byte was read at `read_at`.
    pub fn open(&self, read_at: Ticks) -> OpenRequest {
        let number = self.0.last_number.get() + 1;
        self.0.last_number.set(number);
        let state = OpenRequestState { read_at, stage: RequestStage::Undecided };
        self.0.open.borrow_mut().insert(number, state);
        OpenRequest { number, requests: self.clone() }
    }

    /// The states of all open requests, in the order in which they were read.
    pub fn states(&self) -> Vec<OpenRequestState> {
        self.0.open.borrow().values().copied().collect()
    }
}

impl OpenRequest {
    /// Records that the final answer is known.
    pub fn begin_answer(&self) {
        if let Some(state) = self.requests.0.open.borrow_mut().get_mut(&self.number) {
            state.stage = RequestStage::Answering;
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.requests.0.open.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests;
