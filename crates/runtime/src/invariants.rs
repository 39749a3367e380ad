//! What must hold at all times, checked while the programs run.
//!
//! A violation is counted for the whole process and logged as an error, so that it is seen on a machine as well as in
//! tests, which assert that none was counted.

use std::sync::atomic::{AtomicU64, Ordering};

/// Something that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A process ends in order only when each request that it has read is answered.
    AnsweredBeforeExit,
    /// What is written to disk is never older than what was to be written before.
    DiskNeverGoesBack,
    /// An order is acknowledged only once the register that contains it is committed.
    AcknowledgedIsCommitted,
    /// The invariants that a proxy's stages count for themselves hold.
    ProxyStages,
    /// What the leaseholder publishes is newer than what it had before, so that its readers take it.
    PublishedIsNewer,
}

/// The names that violations are logged under, by invariant.
const NAMES: [&str; 5] = [
    "answered_before_exit",
    "disk_never_goes_back",
    "acknowledged_is_committed",
    "proxy_stages",
    "published_is_newer",
];

static VIOLATIONS: [AtomicU64; NAMES.len()] = [const { AtomicU64::new(0) }; NAMES.len()];

impl Invariant {
    /// Counts and logs a violation unless `holds`; returns `holds`.
    pub fn check(self, holds: bool) -> bool {
        if !holds {
            let violations = VIOLATIONS[self as usize].fetch_add(1, Ordering::Relaxed) + 1;
            let name = NAMES[self as usize];
            spdlog::error!(
                "an invariant does not hold",
                kv: { event = "invariant_violated", invariant = name, violations }
            );
        }
        holds
    }

    /// How often this process has found it violated.
    pub fn violations(self) -> u64 {
        VIOLATIONS[self as usize].load(Ordering::Relaxed)
    }
}

/// How often this process has found any invariant violated.
pub fn total_violations() -> u64 {
    VIOLATIONS.iter().map(|count| count.load(Ordering::Relaxed)).sum()
}
