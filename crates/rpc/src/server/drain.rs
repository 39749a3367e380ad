//! The shutdown of a program's servers: each call that was read is answered before the program ends.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout, timeout_at};
use vanewharf_runtime::invariants::Invariant;

/// For the responses to calls that are given up.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    #[default]
    Serving,
    /// No connection is accepted, and each ends with its next response.
    Draining,
    /// Calls are answered that they are given up.
    Ending,
}

#[derive(Default)]
struct State {
    phase: Cell<Phase>,
    /// Calls that were read and whose response is not written.
    open_calls: Cell<usize>,
    /// Wakes connections and listeners: each of them waits for it while idle.
    phase_changed: Notify,
    /// Wakes the shutdown alone, as it is notified with each call.
    call_closed: Notify,
}

/// The state of a program's shutdown, shared by its servers. Clones are handles of the same one.
#[derive(Clone, Default)]
pub struct ServerDrain(Rc<State>);

/// A call that was read; it is open until this is dropped.
pub(super) struct OpenCall(Rc<State>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
        self.0.call_closed.notify_waiters();
    }
}

impl ServerDrain {
    /// Accepts no further connections, waits for the calls that were read, and answers 503 to those that are not over at
    /// `give_up_at`.
    ///
    /// # Cancel safety
    /// The servers stay in the phase that they have reached.
    pub async fn shut_down(&self, give_up_at: Instant) {
        self.enter(Phase::Draining);
        let _ = timeout_at(give_up_at, self.all_answered()).await;
        self.enter(Phase::Ending);
        let _ = timeout(FLUSH_TIMEOUT, self.all_answered()).await;
        Invariant::AnsweredBeforeExit.check(self.0.open_calls.get() == 0);
    }

    fn enter(&self, phase: Phase) {
        self.0.phase.set(phase);
        self.0.phase_changed.notify_waiters();
    }

    async fn all_answered(&self) {
        while self.0.open_calls.get() > 0 {
            self.0.call_closed.notified().await;
        }
    }

    /// Completes once no connection is to be accepted, and idle ones are to be closed.
    pub(super) async fn started(&self) {
        self.reached(Phase::Draining).await;
    }

    /// Completes once calls are to be given up.
    pub(super) async fn ending(&self) {
        self.reached(Phase::Ending).await;
    }

    pub(super) fn has_started(&self) -> bool {
        self.0.phase.get() >= Phase::Draining
    }

    /// Counts a call that was read.
    pub(super) fn open_call(&self) -> OpenCall {
        self.0.open_calls.set(self.0.open_calls.get() + 1);
        OpenCall(Rc::clone(&self.0))
    }

    async fn reached(&self, phase: Phase) {
        // No change is missed: nothing else runs between the look at the phase and the first poll.
        while self.0.phase.get() < phase {
            self.0.phase_changed.notified().await;
        }
    }
}
