//! The router's timers, ordered by when they are due and then by when they were set.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use vanewharf_policy::interface::{AttemptNumber, Ticks, TimerId, TxnId};

/// What happens when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The policy set it.
    PolicyWake(TimerId),
    /// A request's time is over.
    Expiry(TxnId),
    /// A request's attempts were cancelled at its expiry and should have ended long ago.
    Overdue(TxnId),
    /// An attempt's own time is over.
    AttemptTimeout(TxnId, AttemptNumber),
    /// Idle connections are checked for their age.
    Sweep,
}

/// The derived order is that of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerEntry {
    due: Ticks,
    sequence: u64,
    timer: Timer,
}

/// All timers that are set.
#[derive(Default)]
pub(super) struct TimerQueue {
    entries: BinaryHeap<Reverse<TimerEntry>>,
    set_so_far: u64,
}

impl TimerQueue {
    pub(super) fn set(&mut self, due: Ticks, timer: Timer) {
        self.set_so_far += 1;
        self.entries.push(Reverse(TimerEntry { due, sequence: self.set_so_far, timer }));
    }

    /// When the first live timer is due; timers before it that are not live are dropped.
    pub(super) fn next_due(&mut self, is_live: impl Fn(&Timer) -> bool) -> Option<Ticks> {
        while let Some(Reverse(entry)) = self.entries.peek() {
            if is_live(&entry.timer) {
                return Some(entry.due);
            }
            self.entries.pop();
        }
        None
    }

    /// Takes the first timer that is due at `now`.
    pub(super) fn pop_due(&mut self, now: Ticks) -> Option<Timer> {
        let Reverse(entry) = self.entries.peek().filter(|Reverse(entry)| entry.due <= now)?;
        let timer = entry.timer;
        self.entries.pop();
        Some(timer)
    }
}
