//! The log of this crate's events, which both programs that serve with it print to standard error.

use std::io::Stderr;
use tracing::Level;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::SubscriberBuilder;
use tracing_subscriber::fmt::format::{DefaultFields, Format};

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
