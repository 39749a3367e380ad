//! The log of the programs. The last lines are buffered in memory. A warning or an error writes the buffered lines to
//! standard error, so that the lines that preceded it are printed as context.

use spdlog::formatter::{Formatter, FormatterContext, FullFormatter};
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf};
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};

/// The maximum number of buffered lines; older ones are discarded.
const MAX_BUFFERED_LINES: usize = 128;
/// The environment variable that selects the log level. The value `debug` includes debug lines.
const LEVEL_VARIABLE: &str = "VANEWHARF_LOG";

/// A sink that buffers lines until one of them is a warning or an error.
struct BufferedSink {
    prop: SinkProp,
    formatter: FullFormatter,
    lines: Mutex<VecDeque<String>>,
}

impl GetSinkProp for BufferedSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BufferedSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let (mut line, mut context) = (StringBuf::new(), FormatterContext::new());
        self.formatter.format(record, &mut line, &mut context)?;
        // A thread that panics while it holds the lock leaves the buffer consistent, so poisoning is ignored.
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == MAX_BUFFERED_LINES {
            lines.pop_front();
        }
        lines.push_back(line.as_str().trim_end().to_owned());
        if LevelFilter::MoreSevereEqual(Level::Warn).test(record.level()) {
            let mut stderr = std::io::stderr().lock();
            for line in lines.drain(..) {
                // An error on standard error itself cannot be reported anywhere.
                let _ = writeln!(stderr, "{line}");
            }
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Whether the environment selects debug lines.
pub fn is_debug_selected() -> bool {
    std::env::var(LEVEL_VARIABLE).is_ok_and(|level| level == "debug")
}

/// Sets up the default logger of the process, named after the program.
pub fn start(program: &str) {
    let level = if is_debug_selected() { Level::Debug } else { Level::Info };
    let sink = BufferedSink {
        prop: SinkProp::default(),
        formatter: FullFormatter::new(),
        lines: Mutex::new(VecDeque::with_capacity(MAX_BUFFERED_LINES)),
    };
    let filter = LevelFilter::MoreSevereEqual(level);
    let logger = Logger::builder().name(program).sink(Arc::new(sink)).level_filter(filter).build();
    // This fails only for an invalid logger name; the default logger of spdlog then stays in place.
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// Disables the log. Used where one process runs many simulated systems, because log lines do not identify the system
/// that they belong to.
pub fn disable() {
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
}
