//! A single contract: the nodes that it covers, and the windows in which it allows them to be drained.

use crate::windows::{Window, WindowSet, WindowState, find_state};
use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use std::time::Duration;

/// Selects the nodes that a contract covers. An empty list matches all names of its kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoveredNodes {
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of services.
    pub services: Vec<String>,
    /// Ids of backends.
    pub backends: Vec<String>,
}

/// What happens to a drain that is in progress when its window ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowEndPolicy {
    /// The drain continues until it is complete.
    Finish,
    /// The drain pauses until the next window.
    Hold,
    /// The drain is cancelled, and the node returns to service.
    ReturnToService,
}

/// Hours on certain weekdays, in civil time. An end that is not after the start is on the next day.
#[derive(Clone, Debug)]
pub(crate) struct WeeklyHours {
    pub(crate) days: Vec<Weekday>,
    pub(crate) from: Time,
    pub(crate) to: Time,
}

/// An extra window on a single date.
#[derive(Clone, Debug)]
pub(crate) struct ExtraWindow {
    pub(crate) date: Date,
    pub(crate) from: Time,
    pub(crate) to: Time,
}

/// A range of dates, including the last one, on which no drains are allowed.
#[derive(Clone, Debug)]
pub(crate) struct ClosedDates {
    pub(crate) first: Date,
    pub(crate) last: Date,
    pub(crate) reason: String,
}

/// A contract that allows nodes to be drained in certain windows.
#[derive(Clone, Debug)]
pub struct Contract {
    /// The nodes that the contract covers.
    pub nodes: CoveredNodes,
    pub(crate) time_zone: TimeZone,
    pub(crate) weekly_hours: Vec<WeeklyHours>,
    pub(crate) extra_windows: Vec<ExtraWindow>,
    pub(crate) closed_dates: Vec<ClosedDates>,
    /// Maximum duration of the drain of one node.
    pub max_drain_duration: Duration,
    /// Maximum number of covered nodes that may be out of service at once; at least 1.
    pub max_nodes_out: u64,
    /// What happens to a drain when its window ends.
    pub on_window_end: WindowEndPolicy,
    /// Maximum error of the clock that windows are checked against.
    pub clock_margin: Duration,
}

impl Contract {
    /// Returns whether this contract allows draining now, and when that changes.
    pub fn window_state(&self, now: Timestamp) -> WindowState {
        find_state(|horizon_days| self.windows(now, horizon_days), now)
    }

    /// Returns why today, in the contract's time zone, is a closed date; `None` if it is not.
    pub fn closure_reason(&self, now: Timestamp) -> Option<&str> {
        let today = self.date_of(now);
        let closed = self.closed_dates.iter().find(|closed| (closed.first..=closed.last).contains(&today));
        closed.map(|closed| closed.reason.as_str())
    }

    /// Computes the windows from yesterday, whose hours may extend into today, to `horizon_days` ahead.
    pub(crate) fn windows(&self, now: Timestamp, horizon_days: i64) -> WindowSet {
        let weekly = self.weekly_windows(self.date_of(now), horizon_days);
        let extra = self.extra_windows.iter();
        let extra = extra.filter_map(|window| self.window(window.date, window.from, window.to));
        let allowed = WindowSet::union(weekly.into_iter().chain(extra).collect());
        let closed = self.closed_dates.iter().filter_map(|closed| self.closed_window(closed));
        let open = closed.fold(allowed, WindowSet::without);
        open.filter_map(|window| self.without_clock_margin(window))
    }

    fn date_of(&self, now: Timestamp) -> Date {
        now.to_zoned(self.time_zone.clone()).date()
    }

    fn weekly_windows(&self, today: Date, horizon_days: i64) -> Vec<Window> {
        let dates = (-1..horizon_days).map_while(|day| today.checked_add(day.days()).ok());
        let windows_of = |date: Date| {
            let hours = self.weekly_hours.iter().filter(move |hours| hours.days.contains(&date.weekday()));
            hours.filter_map(move |hours| self.window(date, hours.from, hours.to))
        };
        dates.flat_map(windows_of).collect()
    }

    /// Converts a window from civil time. An end that is not after the start is on the next day.
    fn window(&self, date: Date, from: Time, to: Time) -> Option<Window> {
        let end_date = if to <= from { date.tomorrow().ok()? } else { date };
        Window::new(
            self.latest_instant(date.to_datetime(from))?,
            self.earliest_instant(end_date.to_datetime(to))?,
        )
    }

    /// Converts closed dates, from midnight to midnight, including any ambiguous time at both ends.
    fn closed_window(&self, closed: &ClosedDates) -> Option<Window> {
        let midnight = |date: Date| date.to_datetime(Time::midnight());
        let day_after = closed.last.tomorrow().ok()?;
        Window::new(self.earliest_instant(midnight(closed.first))?, self.latest_instant(midnight(day_after))?)
    }

    /// Converts a civil time to an instant. If daylight saving skips or repeats the time, the later instant is
    /// returned.
    fn latest_instant(&self, civil: DateTime) -> Option<Timestamp> {
        self.time_zone.to_ambiguous_timestamp(civil).later().ok()
    }

    /// Converts a civil time to an instant. If daylight saving skips or repeats the time, the earlier instant is
    /// returned.
    fn earliest_instant(&self, civil: DateTime) -> Option<Timestamp> {
        self.time_zone.to_ambiguous_timestamp(civil).earlier().ok()
    }

    /// Shortens a window by the clock margin at both ends; returns `None` if nothing is left.
    fn without_clock_margin(&self, window: Window) -> Option<Window> {
        let start = window.start.checked_add(self.clock_margin).ok()?;
        let end = window.end.checked_sub(self.clock_margin).ok()?;
        Window::new(start, end)
    }
}
