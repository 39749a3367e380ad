//! Incarnations: a number for each time that a member's disk was lost.
//!
//! # Why votes carry them
//!
//! A member that lost its disk has forgotten what it voted (amnesia). A vote that it cast before may still be on its way and
//! complete a majority that no longer exists: the member would accept the opposite today, and the two majorities would have
//! no voter in common that remembers both. So a member comes back under a higher incarnation, and makes it known to those
//! whose answers it recovers from before it votes again. Each vote carries the voter's own incarnation and those that it
//! knows of others; [`latest_incarnations`] of all votes of a round tells which of them were cast before a loss, and those
//! are not counted (see `quorum`).
//!
//! A quorum that includes the old vote shares at least one other voter with the majority from which the member recovered.
//! If that voter voted after it had answered the recovery, its vote carries the new incarnation, and the old vote is not
//! counted. If it voted before, its answer told the member what it had promised or accepted, and the member goes by that.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use vanewharf_protocol::messages::VoteResponse;

/// The low bits of an incarnation are random, the high bits a counter.
const RANDOM_BITS: u32 = 32;
const RANDOM_MASK: u64 = (1 << RANDOM_BITS) - 1;

/// An incarnation above `highest_known`. Its low bits are random: a machine that loses its disk twice in a row may count
/// from the same known incarnation, and must not come back as the one that it was between the two.
pub(crate) fn next_incarnation(highest_known: u64, random: u64) -> u64 {
    let counter = (highest_known >> RANDOM_BITS) + 1;
    (counter << RANDOM_BITS) | random & RANDOM_MASK
}

/// The newest incarnation of each member that is known to any of these responses.
pub(crate) fn latest_incarnations<'a>(
    responses: impl Iterator<Item = (SocketAddr, &'a VoteResponse)>,
) -> BTreeMap<SocketAddr, u64> {
    let mut latest = BTreeMap::new();
    let mut note = |member: SocketAddr, incarnation: u64| {
        let known: &mut u64 = latest.entry(member).or_default();
        *known = incarnation.max(*known);
    };
    for (voter, response) in responses {
        note(voter, response.incarnation);
        for (member, incarnation) in &response.incarnations {
            note(*member, *incarnation);
        }
    }
    latest
}

#[cfg(test)]
mod tests;
