//! Invariants that the programs check at run time.
//!
//! A violation is logged as an error, for operators, and counted for the whole process, for tests, which assert
//! that the count is zero.

use std::sync::atomic::{AtomicU64, Ordering};

/// A condition that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A process that shuts down gracefully has answered every request that it has read.
    AnsweredBeforeExit,
    /// No write to disk contains an older state than a write that was requested before it.
    DiskNeverGoesBack,
    /// An operator's order is acknowledged only after the register that contains it has been committed.
    AcknowledgedIsCommitted,
    /// The tasks that the proxy shares with the gateway count violations of their own invariants, and have counted
    /// none.
    ProxyStages,
    /// Every update that the leaseholder publishes is newer than the one before, so that followers accept it.
    PublishedIsNewer,
}

/// The names of the invariants in log lines, indexed by `Invariant`.
const NAMES: [&str; 5] = [
    "answered_before_exit",
    "disk_never_goes_back",
    "acknowledged_is_committed",
    "proxy_stages",
    "published_is_newer",
];

/// The number of violations found by this process, indexed by `Invariant`.
static VIOLATIONS: [AtomicU64; NAMES.len()] = [const { AtomicU64::new(0) }; NAMES.len()];

impl Invariant {
    /// Counts and logs a violation if `holds` is false. Returns `holds`.
    pub fn check(self, holds: bool) -> bool {
        if !holds {
            let violations = VIOLATIONS[self as usize].fetch_add(1, Ordering::Relaxed) + 1;
            let name = NAMES[self as usize];
            spdlog::error!(
                "invariant violated",
                kv: { event = "invariant_violated", invariant = name, violations }
            );
        }
        holds
    }

    /// Returns how many violations of this invariant the process has found.
    pub fn violations(self) -> u64 {
        VIOLATIONS[self as usize].load(Ordering::Relaxed)
    }
}

/// Returns how many violations of all invariants the process has found.
pub fn total_violations() -> u64 {
    VIOLATIONS.iter().map(|count| count.load(Ordering::Relaxed)).sum()
}
