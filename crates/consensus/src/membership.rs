//! The set of voters: which voters are a quorum, and how one set replaces another by joint consensus.
//!
//! # Why a change needs both majorities
//!
//! A majority of the old set and a majority of the new one need not have a voter in common. If the new set could decide
//! alone as soon as one member knew of it, the old set could elect another leaseholder or commit another register at
//! the same time. So a change goes through a joint membership, with the old voters as `outgoing`: until it is finished,
//! elections, renewals and registers need a majority of both sets. Each such quorum shares a voter with every majority
//! of the old set and with every majority of the new one, so that no two decisions are made unaware of each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use vanewharf_protocol::messages::Membership;

/// The highest number of simultaneous losses for which the set of voters is enlarged.
const MAX_TOLERATED_LOSSES: u64 = 4;
/// The epoch of the first set of voters. Epoch 0 stands for an unknown set.
const INITIAL_EPOCH: u64 = 1;

/// Returns how many of `voter_count` voters are a majority.
pub(crate) fn majority(voter_count: usize) -> usize {
    voter_count / 2 + 1
}

/// Returns how many voters are needed so that `losses` of them may fail at once and the rest is still a majority. At
/// least one loss and at most four are provided for.
pub fn voter_count_for(losses: u64) -> usize {
    2 * losses.clamp(1, MAX_TOLERATED_LOSSES) as usize + 1
}

/// Returns the membership of a cluster that starts for the first time.
pub(crate) fn initial_membership(mut voters: Vec<SocketAddr>) -> Membership {
    voters.sort_unstable();
    voters.dedup();
    Membership { epoch: INITIAL_EPOCH, voters, outgoing: Vec::new() }
}

/// Returns all members that have a vote: the voters of the set and, during a change, the outgoing ones.
pub fn all_voters(membership: &Membership) -> BTreeSet<SocketAddr> {
    membership.voters.iter().chain(&membership.outgoing).copied().collect()
}

/// Returns whether the assenting voters are a quorum: a majority of the voters, and during a change also a majority of
/// the outgoing voters. An unknown membership, which has no voters, has no quorum.
pub fn has_quorum(membership: &Membership, assenting: &BTreeSet<SocketAddr>) -> bool {
    let has_majority = |voters: &[SocketAddr]| {
        let assents = voters.iter().filter(|voter| assenting.contains(voter)).count();
        assents >= majority(voters.len())
    };
    has_majority(&membership.voters) && (membership.outgoing.is_empty() || has_majority(&membership.outgoing))
}

/// Returns whether so many voters oppose that the remaining ones cannot be a quorum.
pub(crate) fn quorum_is_impossible(membership: &Membership, opposing: &BTreeSet<SocketAddr>) -> bool {
    let remaining = all_voters(membership).difference(opposing).copied().collect();
    !has_quorum(membership, &remaining)
}

/// Returns the joint membership that begins a change to `voters`.
pub(crate) fn begin_change(membership: &Membership, voters: &BTreeSet<SocketAddr>) -> Membership {
    Membership {
        epoch: membership.epoch + 1,
        voters: voters.iter().copied().collect(),
        outgoing: membership.voters.clone(),
    }
}

/// Returns the membership that finishes a change, once majorities of both sets have accepted the joint one.
pub(crate) fn finish_change(membership: &Membership) -> Membership {
    Membership { epoch: membership.epoch + 1, voters: membership.voters.clone(), outgoing: Vec::new() }
}

/// Returns the membership to propose next on the way to a set of voters, or `None` if that set is reached.
///
/// `committed` has to be the membership of the committed register, not of a newer one on the leaseholder's own disk. A
/// joint membership that is not committed may be on the leaseholder's disk only. It is proposed again, never finished:
/// otherwise the new set would decide alone while no majority of the old set knows of it.
pub fn next_membership(committed: &Membership, voters: &BTreeSet<SocketAddr>) -> Option<Membership> {
    if !committed.outgoing.is_empty() {
        return Some(finish_change(committed));
    }
    let current: BTreeSet<_> = committed.voters.iter().copied().collect();
    (current != *voters).then(|| begin_change(committed, voters))
}

#[cfg(test)]
mod tests;
