//! The program under test and small stand-ins for everything that it talks to.
// Shared by several test files, each of which uses a part of it.
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

/// Longer than anything here takes; a test that waits so long has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The result of the work, and how long it took.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let begun = Instant::now();
    let result = work();
    (result, begun.elapsed())
}
