//! Sets of windows on the absolute time line, and the search for the current or next one.

use jiff::Timestamp;

/// How far ahead windows are computed, in days. Most openings are near; beyond the second horizon, more than a year, the
/// contract is taken to have none.
const NEAR_HORIZON_DAYS: i64 = 8;
const FAR_HORIZON_DAYS: i64 = 400;

/// Whether draining is allowed now, and when that changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowState {
    /// Allowed.
    Open {
        /// When the window ends.
        until: Timestamp,
    },
    /// Not allowed.
    Closed {
        /// When the next window begins; none: there is none in sight.
        opens: Option<Timestamp>,
    },
}

/// A time span, its end excluded; it is never empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Window {
    pub(crate) start: Timestamp,
    pub(crate) end: Timestamp,
}

impl Window {
    /// None where it would be empty.
    pub(crate) fn new(start: Timestamp, end: Timestamp) -> Option<Window> {
        (start < end).then_some(Window { start, end })
    }

    fn intersection(self, other: Window) -> Option<Window> {
        Window::new(self.start.max(other.start), self.end.min(other.end))
    }

    /// The parts of it before and after another one.
    fn without(self, closed: Window) -> impl Iterator<Item = Window> {
        let before = Window::new(self.start, self.end.min(closed.start));
        let after = Window::new(self.start.max(closed.end), self.end);
        before.into_iter().chain(after)
    }
}

/// Windows in order of time, which neither overlap nor touch.
#[derive(Clone, Debug, Default)]
pub(crate) struct WindowSet(Vec<Window>);

impl WindowSet {
    /// Merges windows that overlap or touch.
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

    /// What is in both sets.
    pub(crate) fn intersection(&self, other: &WindowSet) -> WindowSet {
        let pairs = self.0.iter().flat_map(|one| other.0.iter().map(move |two| one.intersection(*two)));
        WindowSet(pairs.flatten().collect())
    }

    /// The set without a closed time.
    pub(crate) fn without(self, closed: Window) -> WindowSet {
        WindowSet(self.0.into_iter().flat_map(|window| window.without(closed)).collect())
    }

    /// Replaces each window, or drops it.
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

/// The state now, where `windows` computes the windows up to so many days ahead.
pub(crate) fn find_state(windows: impl Fn(i64) -> WindowSet, now: Timestamp) -> WindowState {
    match windows(NEAR_HORIZON_DAYS).state_at(now) {
        WindowState::Closed { opens: None } => windows(FAR_HORIZON_DAYS).state_at(now),
        state => state,
    }
}
