//! The lease: how long it lasts at the voters that granted it, and how long its holder may act by it.
//!
//! A voter counts [`LEASE_DURATION`] from the moment at which it granted or renewed the lease. The holder counts from the
//! earlier moment at which it sent the request, and stops [`LEASE_SAFETY_MARGIN`] sooner. So the holder's lease has ended
//! before the first voter of its majority can grant another one, as long as a voter's clock runs at most
//! `LEASE_DURATION / (LEASE_DURATION - LEASE_SAFETY_MARGIN)` = 1.2 times as fast as the holder's. Clocks need not agree on
//! the time of day.

use std::net::SocketAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::Ballot;

/// How long a lease lasts at the voter that granted it.
pub const LEASE_DURATION: Duration = Duration::from_millis(1500);
/// How much sooner than its voters the holder takes the lease to have ended: what clocks may drift apart meanwhile.
pub const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(250);
/// How often the holder renews its lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// A lease as a voter that granted it sees it. It is kept in memory only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GrantedLease {
    pub ballot: Ballot,
    pub holder: SocketAddr,
    valid_until: Timestamp,
}

impl GrantedLease {
    /// A lease that is granted or renewed now.
    pub fn starting(ballot: Ballot, holder: SocketAddr, now: Timestamp) -> GrantedLease {
        GrantedLease { ballot, holder, valid_until: now.after(LEASE_DURATION) }
    }

    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until > now
    }
}

/// A lease as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// The ballot under which it was granted.
    pub ballot: Ballot,
    /// When the holder has to stop acting by it, by the holder's clock.
    pub valid_until: Timestamp,
    /// Whether the register that was found in the election is accepted by a majority under this ballot. Before that the
    /// holder must neither answer reads nor take orders: an earlier holder's register might still be lost or found.
    pub register_committed: bool,
}

impl HeldLease {
    /// A lease that a majority granted to requests sent at `requested_at` or later.
    pub fn granted(ballot: Ballot, requested_at: Timestamp) -> HeldLease {
        HeldLease { ballot, valid_until: holder_deadline(requested_at), register_committed: false }
    }

    /// This lease after a majority renewed it by requests sent at `requested_at` or later. Rounds may end in another order
    /// than they were begun, so a renewal never shortens the lease.
    pub fn renewed(self, requested_at: Timestamp) -> HeldLease {
        HeldLease { valid_until: holder_deadline(requested_at).max(self.valid_until), ..self }
    }

    /// Whether it has not ended yet.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until > now
    }

    /// Whether the holder may answer reads and take orders by it.
    pub fn may_serve(&self, now: Timestamp) -> bool {
        self.register_committed && self.is_valid(now)
    }
}

fn holder_deadline(requested_at: Timestamp) -> Timestamp {
    requested_at.after(LEASE_DURATION - LEASE_SAFETY_MARGIN)
}

#[cfg(test)]
mod tests;
