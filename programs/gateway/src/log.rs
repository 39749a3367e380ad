//! The log of this crate's events, which both programs that serve with it print to standard error.

use std::cell::Cell;
use std::io::Stderr;
use tracing::Level;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::SubscriberBuilder;
use tracing_subscriber::fmt::format::{DefaultFields, Format};
use vanewharf_policy::interface::Ticks;

/// The maximum number of lines that a [`LineLimit`] permits in a second.
const MAX_LINES_PER_S: u32 = 20;

/// A log that is not started yet.
pub type LogBuilder = SubscriberBuilder<DefaultFields, Format, LevelFilter, fn() -> Stderr>;

/// Returns a log of the events of this level and of more severe ones.
pub fn to_stderr(level: Level) -> LogBuilder {
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr as fn() -> Stderr)
        // The logger would report a failed write to standard error on the same closed pipe and panic.
        .log_internal_errors(false)
}

/// Limits the lines about an event that a faulty server may cause with every request: they could fill the disk.
#[derive(Debug, Default)]
pub struct LineLimit {
    /// The second that the lines are counted in, since the epoch of the clock.
    second: Cell<i64>,
    lines: Cell<u32>,
    omitted: Cell<u64>,
}

impl LineLimit {
    /// Returns how many lines were omitted since the last one, or `None` if another one must be omitted now.
    pub fn try_log(&self, now: Ticks) -> Option<u64> {
        let second = now.0.div_euclid(Ticks::SECOND.0);
        if self.second.replace(second) != second {
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES_PER_S {
            self.omitted.set(self.omitted.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.omitted.take())
    }
}

#[cfg(test)]
mod tests;
