//! The queue of simulation events.

use super::services::CounterCall;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use vanewharf_policy::interface::{Event, Outcome, Ticks};

/// An event of the simulation. Gateways, backends, tries, attempts and faults are indices into the simulation's lists.
#[derive(Debug)]
pub(super) enum SimEvent {
    /// A client sends its first try.
    FirstTry { first_try: usize },
    /// A client sends a retry.
    Retry { client_try: usize },
    /// A gateway processes its inbox.
    GatewayRuns { gateway: usize, incarnation: u32 },
    /// An event arrives in a gateway's inbox. It is dropped if the gateway has crashed since it was sent.
    GatewayReceives { gateway: usize, incarnation: u32, event: Event },
    /// A crashed gateway restarts.
    GatewayRestarts { gateway: usize },
    /// An attempt arrives at its backend.
    AttemptArrives { attempt: usize },
    /// A core finishes an attempt. The event is ignored if the backend's process has stopped since.
    WorkEnds { attempt: usize, incarnation: u32 },
    /// An attempt's outcome arrives at its gateway.
    AttemptAnswered { attempt: usize, outcome: Outcome },
    /// A cancellation arrives at the attempt's backend.
    CancellationArrives { attempt: usize },
    /// The gateway's timeout of an attempt expires.
    AttemptTimesOut { attempt: usize },
    /// A client's deadline expires.
    ClientTimesOut { client_try: usize },
    /// The slack after a client's deadline has passed, so that the try must have been answered.
    AnswerOverdue { client_try: usize },
    /// A fault or one of its steps begins.
    FaultBegins { fault: usize, step: usize },
    /// A fault or one of its steps ends.
    FaultEnds { fault: usize, step: usize },
    /// Discovery announces a backend's status to the gateways, unless a newer version has been published.
    DiscoveryAnnounces { backend: usize, version: u64 },
    /// A call arrives at the shared counter.
    CounterReceives(CounterCall),
    /// The snapshot of the backends is refreshed.
    RefreshView,
}

struct Scheduled {
    at: Ticks,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Priority queue of events by time. Events with the same time are popped in the order in which they were pushed.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    pushed_count: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Ticks, event: SimEvent) {
        self.pushed_count += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.pushed_count, event }));
    }

    pub(super) fn pop(&mut self) -> Option<(Ticks, SimEvent)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
