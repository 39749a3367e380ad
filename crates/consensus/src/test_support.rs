//! Helpers for the unit tests of this crate.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Ballot, Membership, Register, Revision, Vote, VoteResponse};

/// The time at which each test begins.
pub const START: Timestamp = Timestamp(1_000_000_000);

/// Returns the address of the controller with that number.
pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7600))
}

/// Returns the addresses of the controllers with these numbers.
pub fn addresses(numbers: &[u8]) -> Vec<SocketAddr> {
    numbers.iter().copied().map(address).collect()
}

/// Returns the addresses of the controllers with these numbers, as a set.
pub fn address_set(numbers: &[u8]) -> BTreeSet<SocketAddr> {
    numbers.iter().copied().map(address).collect()
}

/// Returns a membership; voters are given by their numbers.
pub fn membership(epoch: u64, voters: &[u8], outgoing: &[u8]) -> Membership {
    Membership { epoch, voters: addresses(voters), outgoing: addresses(outgoing) }
}

/// Returns a register that is empty except for these fields.
pub fn register(ballot: u64, revision: u64, membership: Membership) -> Register {
    Register { ballot: Ballot(ballot), revision: Revision(revision), membership, ..Register::empty() }
}

/// Returns the response of a voter that never lost its disk and knows of no other that did.
pub fn response(vote: Vote) -> VoteResponse {
    VoteResponse { incarnation: 0, incarnations: BTreeMap::new(), vote }
}

/// Returns the response that grants a lease and reports the voter's register.
pub fn granted(register: Register) -> VoteResponse {
    response(Vote::Granted { register, quota_divisor: 8 })
}

/// Returns the refusal of a voter that has promised that ballot.
pub fn refused(promised: u64) -> VoteResponse {
    response(Vote::Refused { promised: Ballot(promised), leaseholder: None })
}

/// Returns the response that accepts a register or a renewal.
pub fn accepted() -> VoteResponse {
    response(Vote::Accepted)
}
