//! The program under test, and stand-ins for its clients, backends and discovery agent.
// Each test file uses only a part of this module.
#![allow(dead_code)]

mod agent;
mod backend;
mod client;
mod gateway;
mod message;

pub use agent::*;
pub use backend::*;
pub use client::*;
pub use gateway::*;
pub use message::*;

use std::time::{Duration, Instant};

/// Longer than any step of a test takes; a wait that reaches it fails the test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a closure; returns its result and how long it took.
pub fn timed<T>(run: impl FnOnce() -> T) -> (T, Duration) {
    let started = Instant::now();
    let result = run();
    (result, started.elapsed())
}
