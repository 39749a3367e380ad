//! The requests that were read from clients and whose final answer is not written yet.
//!
//! Each holds an [`OpenRequest`] from the moment at which its last byte was read, so the set here is that of the requests
//! that would be lost if the process ended now.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use vanewharf_policy::interface::Ticks;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// It was read, and waits for its turn on its connection or for the router's decision.
    Undecided,
    /// Its final answer is known and is being written.
    Answering,
}

/// A request that has no answer yet, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenRequestState {
    /// When its last byte was read.
    pub read_at: Ticks,
    /// How far it has come.
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

/// A request that counts as open until this is dropped.
pub struct OpenRequest {
    number: u64,
    requests: OpenRequests,
}

impl OpenRequests {
    /// Adds a request that was read at that time.
    pub fn open(&self, read_at: Ticks) -> OpenRequest {
        let number = self.0.last_number.get() + 1;
        self.0.last_number.set(number);
        let state = OpenRequestState { read_at, stage: RequestStage::Undecided };
        self.0.open.borrow_mut().insert(number, state);
        OpenRequest { number, requests: self.clone() }
    }

    /// All requests that are open, in the order in which they were read.
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
