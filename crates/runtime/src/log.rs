//! The log: a ring in memory that is written out when something goes wrong, and little else. What is at least a warning
//! is written at once, with what led up to it; the rest stays in the ring until then.

use spdlog::formatter::{Formatter, FormatterContext, FullFormatter};
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf};
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Mutex};

const LINES: usize = 128;

struct Ring {
    prop: SinkProp,
    formatter: FullFormatter,
    lines: Mutex<VecDeque<String>>,
}

impl GetSinkProp for Ring {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for Ring {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let (mut line, mut context) = (StringBuf::new(), FormatterContext::new());
        self.formatter.format(record, &mut line, &mut context)?;
        // Told anew by whoever comes after one that failed while it held the ring.
        let mut lines = self.lines.lock().unwrap_or_else(|failed| failed.into_inner());
        if lines.len() == LINES {
            lines.pop_front();
        }
        lines.push_back(line.as_str().trim_end().to_owned());
        if LevelFilter::MoreSevereEqual(Level::Warn).test(record.level()) {
            let mut out = std::io::stderr().lock();
            for line in lines.drain(..) {
                // Where nobody takes the log there is nobody to tell.
                let _ = writeln!(out, "{line}");
            }
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// From here on the program's log goes to the ring. `VANEWHARF_LOG=debug` keeps more in it.
pub fn start(program: &str) {
    let debug = std::env::var("VANEWHARF_LOG").is_ok_and(|level| level == "debug");
    let level = if debug { Level::Debug } else { Level::Info };
    let lines = Mutex::new(VecDeque::with_capacity(LINES));
    let ring = Ring { prop: SinkProp::default(), formatter: FullFormatter::new(), lines };
    let filter = LevelFilter::MoreSevereEqual(level);
    let built = Logger::builder().name(program).sink(Arc::new(ring)).level_filter(filter).build();
    if let Ok(logger) = built {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// Nothing is logged: for many systems in one process, whose lines would tell nobody whose they are.
pub fn silence() {
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
}
