//! Ballots: how a candidate chooses one that no other machine uses, and when it must no longer win with it.

use crate::lease::HeldLease;
use std::net::{IpAddr, SocketAddr};
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::Ballot;

/// The number of low bits of a ballot that hold the proposer's IPv4 address. The high bits hold a counter.
const ADDRESS_BITS: u32 = 32;
const ADDRESS_MASK: u64 = (1 << ADDRESS_BITS) - 1;

/// Returns a ballot above `highest_seen` that no other machine can choose: its low bits are the proposer's IPv4
/// address. Controllers have only IPv4 addresses; of an IPv6 address the last 32 bits would be used.
pub fn next_ballot(highest_seen: Ballot, proposer: SocketAddr) -> Ballot {
    let address = match proposer.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits() as u64 & ADDRESS_MASK,
    };
    let counter = (highest_seen.0 >> ADDRESS_BITS) + 1;
    Ballot((counter << ADDRESS_BITS) | address)
}

/// The ballot under which a controller campaigns for the lease or holds it.
///
/// A restarted voter may ask the controller to which it had promised its ballot whether the lease is still held, so
/// that it need not suspend grants for a whole lease duration. A controller that answers "no" renounces that ballot for
/// good. Votes for the ballot may still be in flight, and if the controller won by them after that answer, there could
/// be two leaseholders at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct BallotClaim {
    ballot: Ballot,
    renounced: bool,
}

impl BallotClaim {
    /// Creates a claim on a ballot that was just chosen.
    pub fn new(ballot: Ballot) -> BallotClaim {
        BallotClaim { ballot, renounced: false }
    }

    /// Answers a restarted voter that asks whether the lease under `ballot` is still held. If it is not, the claim on
    /// that ballot is renounced.
    pub fn answer_lease_query(&mut self, ballot: Ballot, lease: Option<HeldLease>, now: Timestamp) -> bool {
        let held = lease.is_some_and(|lease| lease.ballot == ballot && lease.is_valid(now));
        self.renounced |= !held && self.ballot == ballot;
        held
    }

    /// Returns whether the controller may still win or renew a lease under `ballot`.
    pub fn is_valid_for(&self, ballot: Ballot) -> bool {
        self.ballot == ballot && !self.renounced
    }
}

#[cfg(test)]
mod tests;
