//! The lease: how long it is valid at the voters that granted it, and how long the leaseholder may act on it.
//!
//! A voter counts [`LEASE_DURATION`] from when it granted or renewed the lease. The leaseholder counts from when it
//! sent the request, which is earlier, and stops [`LEASE_SAFETY_MARGIN`] sooner. So it has stopped before any voter of
//! its majority can grant another lease, as long as no voter's clock runs more than `LEASE_DURATION / (LEASE_DURATION -
//! LEASE_SAFETY_MARGIN)` = 1.2 times as fast as the leaseholder's. Clocks are monotonic and need not agree on the time
//! of day.

use std::net::SocketAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::Ballot;

/// How long a lease is valid at the voter that granted it.
pub const LEASE_DURATION: Duration = Duration::from_millis(1500);
/// How much sooner than its voters the leaseholder considers the lease expired, to allow for clock drift.
pub const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(250);
/// How often the leaseholder renews its lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// A lease as seen by a voter that granted it. It is kept in memory only: a restarted voter has lost it (see `voter`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GrantedLease {
    pub ballot: Ballot,
    pub leaseholder: SocketAddr,
    valid_until: Timestamp,
}

impl GrantedLease {
    /// Creates a lease that is granted or renewed at `now`.
    pub fn starting(ballot: Ballot, leaseholder: SocketAddr, now: Timestamp) -> GrantedLease {
        GrantedLease { ballot, leaseholder, valid_until: now.after(LEASE_DURATION) }
    }

    /// Returns whether the lease has not expired.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until > now
    }
}

/// A lease as seen by the leaseholder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// The ballot under which the lease was granted.
    pub ballot: Ballot,
    /// The time, by the leaseholder's own clock, at which it must stop acting on the lease.
    pub valid_until: Timestamp,
    /// Whether the register found in the election has been accepted by a majority under this ballot. Until then the
    /// leaseholder must neither answer reads nor take changes: it is undecided whether an earlier leaseholder's last
    /// register is committed.
    pub register_committed: bool,
}

impl HeldLease {
    /// Creates the lease that a majority granted in response to requests sent at `requested_at` or later.
    pub fn granted(ballot: Ballot, requested_at: Timestamp) -> HeldLease {
        HeldLease { ballot, valid_until: leaseholder_deadline(requested_at), register_committed: false }
    }

    /// Returns this lease as extended by a majority in response to requests sent at `requested_at` or later. Rounds may
    /// complete out of order, so a renewal never shortens the lease.
    pub fn renewed(self, requested_at: Timestamp) -> HeldLease {
        HeldLease { valid_until: leaseholder_deadline(requested_at).max(self.valid_until), ..self }
    }

    /// Returns whether the lease has not expired.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until > now
    }

    /// Returns whether the leaseholder may answer reads and take changes.
    pub fn may_serve(&self, now: Timestamp) -> bool {
        self.register_committed && self.is_valid(now)
    }
}

fn leaseholder_deadline(requested_at: Timestamp) -> Timestamp {
    requested_at.after(LEASE_DURATION - LEASE_SAFETY_MARGIN)
}

#[cfg(test)]
mod tests;
