//! Graceful shutdown of a program's servers: each call that was read is answered before the program exits.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout, timeout_at};
use vanewharf_runtime::invariants::Invariant;

/// The timeout for sending the responses to abandoned calls.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    #[default]
    Serving,
    /// No new connection is accepted, and each open one ends with its next response.
    Draining,
    /// The remaining calls are abandoned and answered with status 503.
    Aborting,
}

#[derive(Default)]
struct State {
    phase: Cell<Phase>,
    /// The number of calls that were read but whose response has not been written.
    open_calls: Cell<usize>,
    /// Wakes connections and listeners, each of which waits for it while idle.
    phase_changed: Notify,
    /// Wakes the shutdown. Separate from `phase_changed`, as each call that ends notifies it.
    call_closed: Notify,
}

/// The shutdown state that a program's servers share. Clones refer to the same state.
#[derive(Clone, Default)]
pub struct ServerDrain(Rc<State>);

/// A call that was read, and that counts as open until this guard is dropped.
pub(super) struct OpenCall(Rc<State>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
        self.0.call_closed.notify_waiters();
    }
}

impl ServerDrain {
    /// Stops accepting connections, waits until the calls that were read are answered, and at `deadline` answers the
    /// remaining ones with status 503.
    ///
    /// # Cancel safety
    ///
    /// If the future is dropped, the servers remain in the phase that they have reached.
    pub async fn shut_down(&self, deadline: Instant) {
        self.enter(Phase::Draining);
        let _ = timeout_at(deadline, self.wait_until_answered()).await;
        self.enter(Phase::Aborting);
        let _ = timeout(FLUSH_TIMEOUT, self.wait_until_answered()).await;
        Invariant::AnsweredBeforeExit.check(self.0.open_calls.get() == 0);
    }

    fn enter(&self, phase: Phase) {
        self.0.phase.set(phase);
        self.0.phase_changed.notify_waiters();
    }

    async fn wait_until_answered(&self) {
        while self.0.open_calls.get() > 0 {
            self.0.call_closed.notified().await;
        }
    }

    /// Completes when the servers must stop accepting connections and close idle ones.
    pub(super) async fn wait_for_drain(&self) {
        self.wait_for_phase(Phase::Draining).await;
    }

    /// Completes when the remaining calls must be abandoned.
    pub(super) async fn wait_for_abort(&self) {
        self.wait_for_phase(Phase::Aborting).await;
    }

    pub(super) fn is_draining(&self) -> bool {
        self.0.phase.get() >= Phase::Draining
    }

    /// Counts a call that was read as open until the returned guard is dropped.
    pub(super) fn open_call(&self) -> OpenCall {
        self.0.open_calls.set(self.0.open_calls.get() + 1);
        OpenCall(Rc::clone(&self.0))
    }

    async fn wait_for_phase(&self, phase: Phase) {
        // No change is missed: no other task runs between the check of the phase and the first poll.
        while self.0.phase.get() < phase {
            self.0.phase_changed.notified().await;
        }
    }
}
