//! Chooses the set of voters that replaces the current one, one change at a time.
//!
//! The number of voters is always odd: a set of four tolerates no more losses than one of three. A failed voter is
//! replaced only by a machine that is in sync, so that the number of tolerated losses does not shrink during the
//! change: joint consensus needs a majority of the old set, which is available already, and a majority of the new one,
//! which need not include the joining machine.

use crate::follower_tracker::SYNC_TIMEOUT;
use crate::membership::majority;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use vanewharf_protocol::messages::Membership;

/// How long a voter is out of sync before it counts as failed and is replaced, if a standby is available.
pub(crate) const FAILURE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a machine has to be in sync before it may become a voter.
pub(crate) const PROMOTION_DELAY: Duration = Duration::from_millis(1000);
/// How long all voters have to be in sync before one is moved to another zone.
pub(crate) const REBALANCE_DELAY: Duration = Duration::from_secs(10);

/// A machine that is or may become a voter, as the leaseholder sees it.
#[derive(Clone, Debug)]
pub struct VoterCandidate {
    /// The address of the machine's controller.
    pub address: SocketAddr,
    /// The machine's zone, or an empty string if it is unknown.
    pub zone: String,
    /// How long the machine has not reported, or has not had the committed register on disk in time.
    pub out_of_sync_for: Duration,
    /// How long the machine has been in sync without interruption.
    pub in_sync_for: Duration,
}

impl VoterCandidate {
    fn is_in_sync(&self) -> bool {
        self.out_of_sync_for < SYNC_TIMEOUT
    }
}

/// Returns whether a majority of these voters is in sync now.
pub fn majority_in_sync(voters: &BTreeSet<SocketAddr>, candidates: &[VoterCandidate]) -> bool {
    let in_sync =
        candidates.iter().filter(|candidate| voters.contains(&candidate.address) && candidate.is_in_sync());
    in_sync.count() >= majority(voters.len())
}

/// Returns whether a change from `membership` to `voters` removes a voter that is in sync.
pub fn removes_voter_in_sync(
    membership: &Membership,
    voters: &BTreeSet<SocketAddr>,
    candidates: &[VoterCandidate],
) -> bool {
    let is_removed = |candidate: &&VoterCandidate| {
        membership.voters.contains(&candidate.address) && !voters.contains(&candidate.address)
    };
    candidates.iter().filter(is_removed).any(VoterCandidate::is_in_sync)
}

/// Returns the set of voters that should replace the current one, or `None` if no change is needed or possible now.
///
/// Three kinds of change are tried in this order: the set grows towards `target_size`, a failed voter is replaced, and
/// voters are spread over the zones. A set without a majority in sync is not chosen, as the change could not be
/// finished.
pub fn plan_next_voters(
    membership: &Membership,
    candidates: &[VoterCandidate],
    target_size: usize,
) -> Option<BTreeSet<SocketAddr>> {
    let planner = Planner::new(membership, candidates);
    if let Some(larger) = planner.grow(target_size) {
        return Some(larger);
    }
    match planner.first_failed_voter() {
        Some(failed) => planner.replace_voter(failed),
        None => planner.rebalance_zones(),
    }
}

struct Planner<'a> {
    voters: BTreeSet<SocketAddr>,
    candidates: &'a [VoterCandidate],
    /// Machines that are not voters and have been in sync for [`PROMOTION_DELAY`], in the order of their addresses.
    standbys: Vec<SocketAddr>,
}

impl<'a> Planner<'a> {
    fn new(membership: &Membership, candidates: &'a [VoterCandidate]) -> Planner<'a> {
        let voters: BTreeSet<_> = membership.voters.iter().copied().collect();
        let is_standby = |candidate: &&VoterCandidate| {
            !voters.contains(&candidate.address) && candidate.in_sync_for >= PROMOTION_DELAY
        };
        let standbys = candidates.iter().filter(is_standby);
        let mut standbys: Vec<_> = standbys.map(|candidate| candidate.address).collect();
        standbys.sort_unstable();
        Planner { voters, candidates, standbys }
    }

    /// Returns a set of `target_size` voters or, if too few standbys are available, of the largest odd number below it
    /// that they allow. Returns `None` if that set is no larger than the current one, or has no majority in sync.
    fn grow(&self, target_size: usize) -> Option<BTreeSet<SocketAddr>> {
        let mut voters = self.voters.clone();
        let mut standbys = self.standbys.clone();
        while voters.len() < target_size
            && let Some(joining) = self.best_standby(&voters, &standbys)
        {
            voters.insert(joining);
            standbys.retain(|standby| *standby != joining);
        }
        if voters.len().is_multiple_of(2) {
            let last_added = voters.difference(&self.voters).max().copied();
            voters.retain(|voter| Some(*voter) != last_added);
        }
        let is_larger = voters.len() > self.voters.len();
        (is_larger && majority_in_sync(&voters, self.candidates)).then_some(voters)
    }

    fn first_failed_voter(&self) -> Option<SocketAddr> {
        let has_failed = |voter: &&SocketAddr| {
            self.candidate(voter).is_some_and(|candidate| candidate.out_of_sync_for >= FAILURE_TIMEOUT)
        };
        self.voters.iter().find(has_failed).copied()
    }

    fn replace_voter(&self, failed: SocketAddr) -> Option<BTreeSet<SocketAddr>> {
        let mut voters = self.voters.clone();
        voters.remove(&failed);
        let joining = self.best_standby(&voters, &self.standbys)?;
        voters.insert(joining);
        majority_in_sync(&voters, self.candidates).then_some(voters)
    }

    /// Moves one voter out of the zone that has the most voters. All voters and the joining machine have to have been
    /// in sync for [`REBALANCE_DELAY`].
    fn rebalance_zones(&self) -> Option<BTreeSet<SocketAddr>> {
        let is_stable = |address: &SocketAddr| {
            self.candidate(address).is_some_and(|candidate| candidate.in_sync_for >= REBALANCE_DELAY)
        };
        if !self.voters.iter().all(is_stable) {
            return None;
        }
        let stable_standbys = self.standbys.iter().filter(|standby| is_stable(standby));
        let swaps =
            stable_standbys.flat_map(|standby| self.voters.iter().map(|voter| self.swap(voter, *standby)));
        let current = self.max_voters_per_zone(&self.voters);
        swaps
            .filter(|voters| self.max_voters_per_zone(voters) < current)
            .min_by_key(|voters| self.max_voters_per_zone(voters))
    }

    fn swap(&self, leaving: &SocketAddr, joining: SocketAddr) -> BTreeSet<SocketAddr> {
        let mut voters = self.voters.clone();
        voters.remove(leaving);
        voters.insert(joining);
        voters
    }

    /// Returns the standby whose addition leaves the fewest voters in the fullest zone. Among equals, the lowest
    /// address wins.
    fn best_standby(&self, voters: &BTreeSet<SocketAddr>, standbys: &[SocketAddr]) -> Option<SocketAddr> {
        let cost = |standby: &SocketAddr| {
            let mut with_standby = voters.clone();
            with_standby.insert(*standby);
            (self.max_voters_per_zone(&with_standby), *standby)
        };
        standbys.iter().copied().min_by_key(cost)
    }

    /// Returns how many of these voters are in the fullest zone.
    fn max_voters_per_zone(&self, voters: &BTreeSet<SocketAddr>) -> usize {
        let mut count_by_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for voter in voters {
            let zone = self.candidate(voter).map_or("", |candidate| candidate.zone.as_str());
            *count_by_zone.entry(zone).or_default() += 1;
        }
        count_by_zone.into_values().max().unwrap_or(0)
    }

    fn candidate(&self, address: &SocketAddr) -> Option<&VoterCandidate> {
        self.candidates.iter().find(|candidate| candidate.address == *address)
    }
}

#[cfg(test)]
mod tests;
