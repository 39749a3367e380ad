//! Sets of windows in absolute time, and the search for the current or next window.

use jiff::Timestamp;

/// How far ahead windows are computed at first; most windows open within this time.
const NEAR_HORIZON_DAYS: i64 = 8;

/// How far ahead windows are computed if none opens within the near horizon. A contract without a window within this
/// time, which is more than a year, is taken to have none.
const FAR_HORIZON_DAYS: i64 = 400;

/// Whether draining is allowed now, and when that changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowState {
    /// Draining is allowed.
    Open {
        /// When the window ends.
        until: Timestamp,
    },
    /// Draining is not allowed.
    Closed {
        /// When the next window begins; `None` if there is none within the far horizon.
        opens: Option<Timestamp>,
    },
}

/// A non-empty time interval; the end is exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Window {
    pub(crate) start: Timestamp,
    pub(crate) end: Timestamp,
}

impl Window {
    /// Creates a window; returns `None` if it would be empty.
    pub(crate) fn new(start: Timestamp, end: Timestamp) -> Option<Window> {
        (start < end).then_some(Window { start, end })
    }

    fn intersection(self, other: Window) -> Option<Window> {
        Window::new(self.start.max(other.start), self.end.min(other.end))
    }

    /// Returns the parts of the window before and after `closed`.
    fn without(self, closed: Window) -> impl Iterator<Item = Window> {
        let before = Window::new(self.start, self.end.min(closed.start));
        let after = Window::new(self.start.max(closed.end), self.end);
        before.into_iter().chain(after)
    }
}

/// Windows in chronological order that neither overlap nor touch.
#[derive(Clone, Debug, Default)]
pub(crate) struct WindowSet(Vec<Window>);

impl WindowSet {
    /// Creates a set from windows in any order, merging those that overlap or touch.
    pub(crate) fn union(mut windows: Vec<Window>) -> WindowSet {
        windows.sort_unstable();
        let mut merged: Vec<Window> = Vec::new();
        for window in windows {
            match merged.last_mut() {
                Some(last) if window.start <= last.end => last.end = last.end.max(window.end),
                _ => merged.push(window),
            }
        }
        WindowSet(merged)
    }

    /// Returns the intersection of both sets.
    pub(crate) fn intersection(&self, other: &WindowSet) -> WindowSet {
        let pairs = self.0.iter().flat_map(|left| other.0.iter().map(move |right| left.intersection(*right)));
        WindowSet(pairs.flatten().collect())
    }

    /// Returns the set without the time in `closed`.
    pub(crate) fn without(self, closed: Window) -> WindowSet {
        WindowSet(self.0.into_iter().flat_map(|window| window.without(closed)).collect())
    }

    /// Replaces each window, or drops it if `replace` returns `None`.
    pub(crate) fn filter_map(self, replace: impl Fn(Window) -> Option<Window>) -> WindowSet {
        WindowSet(self.0.into_iter().filter_map(replace).collect())
    }

    fn state_at(&self, now: Timestamp) -> WindowState {
        match self.0.iter().find(|window| window.end > now) {
            Some(window) if window.start <= now => WindowState::Open { until: window.end },
            next => WindowState::Closed { opens: next.map(|window| window.start) },
        }
    }
}

/// Finds the state at `now`, where `windows` computes the windows up to a given number of days ahead.
pub(crate) fn find_state(windows: impl Fn(i64) -> WindowSet, now: Timestamp) -> WindowState {
    match windows(NEAR_HORIZON_DAYS).state_at(now) {
        WindowState::Closed { opens: None } => windows(FAR_HORIZON_DAYS).state_at(now),
        state => state,
    }
}
