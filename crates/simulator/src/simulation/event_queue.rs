//! What is going to happen, in order.

use super::services::CounterCall;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use vanewharf_policy::interface::{Event, Outcome, Ticks};

/// What happens at a moment. Gateways, backends, tries and attempts are indices into the simulation's lists.
#[derive(Debug)]
pub(super) enum SimEvent {
    /// A client comes for the first time.
    FirstTry { first_try: usize },
    /// A client comes again.
    Retry { client_try: usize },
    /// A gateway handles its inbox.
    GatewayRuns { gateway: usize, incarnation: u32 },
    /// Something comes into a gateway's inbox; for an earlier incarnation it is lost.
    GatewayReceives { gateway: usize, incarnation: u32, event: Event },
    /// A gateway that died starts again.
    GatewayRestarts { gateway: usize },
    /// An attempt reaches its backend.
    AttemptArrives { attempt: usize },
    /// A core has done an attempt's work; in an earlier incarnation it means nothing.
    WorkEnds { attempt: usize, incarnation: u32 },
    /// An attempt's outcome reaches its gateway.
    AttemptAnswered { attempt: usize, outcome: Outcome },
    /// A cancellation reaches the attempt's backend.
    CancellationArrives { attempt: usize },
    /// The gateway's own timeout of an attempt runs out.
    AttemptTimesOut { attempt: usize },
    /// A client stops waiting.
    ClientGivesUp { client_try: usize },
    /// A client's deadline and its slack have passed.
    AnswerOverdue { client_try: usize },
    /// A fault, or a step of it, begins.
    FaultBegins { fault: usize, step: usize },
    /// A fault, or a step of it, ends.
    FaultEnds { fault: usize, step: usize },
    /// Discovery tells gateways of a backend, unless there is a newer version.
    DiscoveryAnnounces { backend: usize, version: u64 },
    /// A call reaches the shared counter.
    CounterReceives(CounterCall),
    /// The fleet is shown to the policy anew.
    ViewRenewed,
}

struct Scheduled {
    at: Ticks,
    number: u64,
    event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events by time; those of one time in the order in which they were pushed.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    pushed: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Ticks, event: SimEvent) {
        self.pushed += 1;
        self.heap.push(Reverse(Scheduled { at, number: self.pushed, event }));
    }

    pub(super) fn pop(&mut self) -> Option<(Ticks, SimEvent)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
