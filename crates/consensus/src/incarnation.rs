//! Incarnations: numbers that tell apart a member's votes before and after it lost its disk.
//!
//! # Why votes carry them
//!
//! A member that lost its disk does not remember how it voted (amnesia). A vote that it cast before may still be in
//! flight. If that vote completed a quorum, the member could afterwards cast a contradicting vote in another quorum,
//! and the two quorums might have no voter in common that remembers both. So the member returns under a higher
//! incarnation, and a majority records that incarnation before the member votes again (see `recovery`). Each vote
//! carries the voter's own incarnation and those that it knows of other members. A vote is not counted if any vote of
//! the same round names a later incarnation of its voter (see `quorum`).
//!
//! A quorum that includes the old vote shares at least one other voter with the majority from which the member
//! recovered. If that voter voted after it had answered the recovery request, its vote names the new incarnation, and
//! the old vote is not counted. If it voted before, its answer reported what it had promised or accepted, and the
//! member has taken that over.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use vanewharf_protocol::messages::VoteResponse;

/// The number of low bits of an incarnation that are random. The high bits hold a counter.
const RANDOM_BITS: u32 = 32;
const RANDOM_MASK: u64 = (1 << RANDOM_BITS) - 1;

/// Returns an incarnation above `highest_known`. Its low bits are random: a machine that loses its disk twice in a row
/// may count from the same known incarnation both times, and must not reuse the incarnation that it had between the two
/// losses.
pub(crate) fn next_incarnation(highest_known: u64, random: u64) -> u64 {
    let counter = (highest_known >> RANDOM_BITS) + 1;
    (counter << RANDOM_BITS) | random & RANDOM_MASK
}

/// Returns the latest incarnation of each member that any of these responses names.
pub(crate) fn latest_incarnations<'a>(
    responses: impl Iterator<Item = (SocketAddr, &'a VoteResponse)>,
) -> BTreeMap<SocketAddr, u64> {
    let mut latest = BTreeMap::new();
    let mut record_incarnation = |member: SocketAddr, incarnation: u64| {
        let known: &mut u64 = latest.entry(member).or_default();
        *known = incarnation.max(*known);
    };
    for (voter, response) in responses {
        record_incarnation(voter, response.incarnation);
        for (member, incarnation) in &response.incarnations {
            record_incarnation(*member, *incarnation);
        }
    }
    latest
}

#[cfg(test)]
mod tests;
