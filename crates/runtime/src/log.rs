//! The program's log: a ring of the last lines in memory, written to standard error when there is a warning
//! or an error, together with what led up to it.

use spdlog::formatter::{Formatter, FormatterContext, FullFormatter};
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf};
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};

/// Lines that the ring holds.
const RING_LINES: usize = 128;
/// Set to `debug`, lines of that level are in the ring too.
const LEVEL_VARIABLE: &str = "VANEWHARF_LOG";

struct RingSink {
    prop: SinkProp,
    formatter: FullFormatter,
    lines: Mutex<VecDeque<String>>,
}

impl GetSinkProp for RingSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for RingSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let (mut line, mut context) = (StringBuf::new(), FormatterContext::new());
        self.formatter.format(record, &mut line, &mut context)?;
        // A thread that panicked while it held the lock has left complete lines.
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == RING_LINES {
            lines.pop_front();
        }
        lines.push_back(line.as_str().trim_end().to_owned());
        if LevelFilter::MoreSevereEqual(Level::Warn).test(record.level()) {
            let mut stderr = std::io::stderr().lock();
            for line in lines.drain(..) {
                // Where standard error cannot be written there is nowhere to report that.
                let _ = writeln!(stderr, "{line}");
            }
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Directs the log of the process to the ring, under the program's name.
pub fn start(program: &str) {
    let is_debug = std::env::var(LEVEL_VARIABLE).is_ok_and(|level| level == "debug");
    let level = if is_debug { Level::Debug } else { Level::Info };
    let ring = RingSink {
        prop: SinkProp::default(),
        formatter: FullFormatter::new(),
        lines: Mutex::new(VecDeque::with_capacity(RING_LINES)),
    };
    let filter = LevelFilter::MoreSevereEqual(level);
    let logger = Logger::builder().name(program).sink(Arc::new(ring)).level_filter(filter).build();
    // Only an unusable program name fails here; the default logger then stays in place.
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// Switches the log off. For many simulated systems in one process, as a line does not name the one that it
/// is from.
pub fn disable() {
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
}
