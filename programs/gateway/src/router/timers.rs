//! The router's timers, ordered by due time and then by the order in which they were set.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use vanewharf_policy::interface::{AttemptNumber, Ticks, TimerId, TxnId};

/// What a timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer that the policy set.
    PolicyWake(TimerId),
    /// A request expires.
    Expiry(TxnId),
    /// A request whose attempts were cancelled at its expiry is answered if they still have not ended.
    Overdue(TxnId),
    /// An attempt times out.
    AttemptTimeout(TxnId, AttemptNumber),
    /// The pool is swept for connections that were idle too long.
    Sweep,
}

/// The derived ordering compares the fields in their order here: due time, then sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerEntry {
    due: Ticks,
    sequence: u64,
    timer: Timer,
}

/// All pending timers.
#[derive(Default)]
pub(super) struct TimerQueue {
    entries: BinaryHeap<Reverse<TimerEntry>>,
    last_sequence: u64,
}

impl TimerQueue {
    pub(super) fn set(&mut self, due: Ticks, timer: Timer) {
        self.last_sequence += 1;
        self.entries.push(Reverse(TimerEntry { due, sequence: self.last_sequence, timer }));
    }

    /// When the first live timer is due. Drops the timers before it that are not live.
    pub(super) fn next_due(&mut self, is_live: impl Fn(&Timer) -> bool) -> Option<Ticks> {
        while let Some(Reverse(entry)) = self.entries.peek() {
            if is_live(&entry.timer) {
                return Some(entry.due);
            }
            self.entries.pop();
        }
        None
    }

    /// Removes and returns the first timer, if it is due at `now`.
    pub(super) fn pop_due(&mut self, now: Ticks) -> Option<Timer> {
        let Reverse(entry) = self.entries.peek().filter(|Reverse(entry)| entry.due <= now)?;
        let timer = entry.timer;
        self.entries.pop();
        Some(timer)
    }
}
