//! One contract: which nodes it covers, and when it allows them to be drained.

use crate::windows::{Window, WindowSet, WindowState, find_state};
use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use std::time::Duration;

/// Which nodes a contract covers; an empty list covers all of its kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoveredNodes {
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of services.
    pub services: Vec<String>,
    /// Ids of backends.
    pub backends: Vec<String>,
}

/// What becomes of a drain that is under way when its window ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowEndPolicy {
    /// It goes on until it is complete.
    Finish,
    /// It pauses until the next window.
    Hold,
    /// It is cancelled, and the node serves again.
    ReturnToService,
}

/// Hours of some days of each week, by civil time. An end that is not after the start is on the next day.
#[derive(Clone, Debug)]
pub(crate) struct WeeklyHours {
    pub(crate) days: Vec<Weekday>,
    pub(crate) from: Time,
    pub(crate) to: Time,
}

/// A further window on one date.
#[derive(Clone, Debug)]
pub(crate) struct ExtraWindow {
    pub(crate) date: Date,
    pub(crate) from: Time,
    pub(crate) to: Time,
}

/// Dates on which nothing is allowed, the last one included.
#[derive(Clone, Debug)]
pub(crate) struct ClosedDates {
    pub(crate) first: Date,
    pub(crate) last: Date,
    pub(crate) reason: String,
}

/// A contract that allows nodes to be drained in certain windows.
#[derive(Clone, Debug)]
pub struct Contract {
    /// The nodes that it covers.
    pub nodes: CoveredNodes,
    pub(crate) time_zone: TimeZone,
    pub(crate) weekly_hours: Vec<WeeklyHours>,
    pub(crate) extra_windows: Vec<ExtraWindow>,
    pub(crate) closed_dates: Vec<ClosedDates>,
    /// The longest that a drain of one node may take.
    pub max_drain_duration: Duration,
    /// The most covered nodes that may be out of service at once; at least 1.
    pub max_nodes_out: u64,
    /// What becomes of a drain when its window ends.
    pub on_window_end: WindowEndPolicy,
    /// By how much the clock that judges may be off.
    pub clock_margin: Duration,
}

impl Contract {
    /// Whether this contract allows draining now.
    pub fn window_state(&self, now: Timestamp) -> WindowState {
        find_state(|horizon_days| self.windows(now, horizon_days), now)
    }

    /// Why today, by the contract's time zone, is closed; none where it is not.
    pub fn closure_reason(&self, now: Timestamp) -> Option<&str> {
        let today = self.date_of(now);
        let closed = self.closed_dates.iter().find(|closed| (closed.first..=closed.last).contains(&today));
        closed.map(|closed| closed.reason.as_str())
    }

    /// The windows from yesterday, whose hours may reach into today, to so many days ahead.
    pub(crate) fn windows(&self, now: Timestamp, horizon_days: i64) -> WindowSet {
        let weekly = self.weekly_windows(self.date_of(now), horizon_days);
        let extra = self.extra_windows.iter();
        let extra = extra.filter_map(|window| self.window(window.date, window.from, window.to));
        let allowed = WindowSet::union(weekly.into_iter().chain(extra).collect());
        let closed = self.closed_dates.iter().filter_map(|closed| self.closed_window(closed));
        let open = closed.fold(allowed, WindowSet::without);
        open.filter_map(|window| self.shortened(window))
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

    /// The window from one civil time to another. An end that is not after the start is on the next day.
    fn window(&self, date: Date, from: Time, to: Time) -> Option<Window> {
        let end_date = if to <= from { date.tomorrow().ok()? } else { date };
        Window::new(self.latest(date.to_datetime(from))?, self.earliest(end_date.to_datetime(to))?)
    }

    /// All of the closed dates, from midnight to midnight, and what is in doubt at both ends.
    fn closed_window(&self, closed: &ClosedDates) -> Option<Window> {
        let midnight = |date: Date| date.to_datetime(Time::midnight());
        let day_after = closed.last.tomorrow().ok()?;
        Window::new(self.earliest(midnight(closed.first))?, self.latest(midnight(day_after))?)
    }

    /// The instant of a civil time; of two, where daylight saving skips or repeats it, the later one.
    fn latest(&self, civil: DateTime) -> Option<Timestamp> {
        self.time_zone.to_ambiguous_timestamp(civil).later().ok()
    }

    /// The instant of a civil time; of two, where daylight saving skips or repeats it, the earlier one.
    fn earliest(&self, civil: DateTime) -> Option<Timestamp> {
        self.time_zone.to_ambiguous_timestamp(civil).earlier().ok()
    }

    /// A window without the time by which the clock may be off.
    fn shortened(&self, window: Window) -> Option<Window> {
        let start = window.start.checked_add(self.clock_margin).ok()?;
        let end = window.end.checked_sub(self.clock_margin).ok()?;
        Window::new(start, end)
    }
}
