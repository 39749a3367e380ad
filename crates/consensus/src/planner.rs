//! Chooses the next set of voters, one change at a time.
//!
//! The number of voters is always odd: a set of four tolerates no more losses than one of three. A failed voter is replaced
//! only by a machine that is in sync, so that the number of tolerated losses does not shrink during the change: joint
//! consensus needs a majority of the old set, which works already, and a majority of the new one, of which the newcomer's
//! vote need not be part.

use crate::follower_tracker::SYNC_TIMEOUT;
use crate::membership::majority;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use vanewharf_protocol::messages::Membership;

/// A voter that is out of sync for so long has failed, and is replaced if a standby is available.
pub(crate) const FAILURE_TIMEOUT: Duration = Duration::from_secs(3);
/// A machine has to be in sync for so long before it may become a voter.
pub(crate) const PROMOTION_DELAY: Duration = Duration::from_millis(1000);
/// Voters are moved between zones only when all have been in sync for so long.
pub(crate) const REBALANCE_DELAY: Duration = Duration::from_secs(10);

/// A machine that is or may become a voter, as the leaseholder sees it.
#[derive(Clone, Debug)]
pub struct VoterCandidate {
    /// Where its controller is reached.
    pub address: SocketAddr,
    /// Its zone; empty where it is not known.
    pub zone: String,
    /// For how long it has not reported, or has not had the committed register on disk in time.
    pub out_of_sync_for: Duration,
    /// For how long it has been in sync without a break.
    pub in_sync_for: Duration,
}

impl VoterCandidate {
    fn is_in_sync(&self) -> bool {
        self.out_of_sync_for < SYNC_TIMEOUT
    }
}

/// Whether a majority of these voters is in sync now.
pub fn majority_in_sync(voters: &BTreeSet<SocketAddr>, candidates: &[VoterCandidate]) -> bool {
    let in_sync = candidates.iter().filter(|one| voters.contains(&one.address) && one.is_in_sync());
    in_sync.count() >= majority(voters.len())
}

/// Whether a voter that is in sync is none of the new set.
pub fn removes_voter_in_sync(
    membership: &Membership,
    voters: &BTreeSet<SocketAddr>,
    candidates: &[VoterCandidate],
) -> bool {
    let leaves =
        |one: &&VoterCandidate| membership.voters.contains(&one.address) && !voters.contains(&one.address);
    candidates.iter().filter(leaves).any(VoterCandidate::is_in_sync)
}

/// The set of voters that should follow the current one, or nothing if no change is needed or possible now.
///
/// In this order: the set grows towards `target_size`; a failed voter is replaced; voters are spread over the zones. A set
/// that has no majority in sync is not chosen, as the change could not be finished.
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
        Some(failed) => planner.replace(failed),
        None => planner.rebalance_zones(),
    }
}

struct Planner<'a> {
    voters: BTreeSet<SocketAddr>,
    candidates: &'a [VoterCandidate],
    /// Machines that are in sync and not voters, by address.
    standbys: Vec<SocketAddr>,
}

impl<'a> Planner<'a> {
    fn new(membership: &Membership, candidates: &'a [VoterCandidate]) -> Planner<'a> {
        let voters: BTreeSet<_> = membership.voters.iter().copied().collect();
        let is_standby =
            |one: &&VoterCandidate| !voters.contains(&one.address) && one.in_sync_for >= PROMOTION_DELAY;
        let mut standbys: Vec<_> = candidates.iter().filter(is_standby).map(|one| one.address).collect();
        standbys.sort_unstable();
        Planner { voters, candidates, standbys }
    }

    /// As many voters as wanted, or the odd number below that of which there are enough machines in sync.
    fn grow(&self, target_size: usize) -> Option<BTreeSet<SocketAddr>> {
        let mut voters = self.voters.clone();
        let mut standbys = self.standbys.clone();
        while voters.len() < target_size
            && let Some(newcomer) = self.best_standby(&voters, &standbys)
        {
            voters.insert(newcomer);
            standbys.retain(|standby| *standby != newcomer);
        }
        if voters.len().is_multiple_of(2) {
            let last_newcomer = voters.difference(&self.voters).max().copied();
            voters.retain(|voter| Some(*voter) != last_newcomer);
        }
        let is_larger = voters.len() > self.voters.len();
        (is_larger && majority_in_sync(&voters, self.candidates)).then_some(voters)
    }

    fn first_failed_voter(&self) -> Option<SocketAddr> {
        let has_failed = |voter: &&SocketAddr| {
            self.candidate(voter).is_some_and(|one| one.out_of_sync_for >= FAILURE_TIMEOUT)
        };
        self.voters.iter().find(has_failed).copied()
    }

    fn replace(&self, failed: SocketAddr) -> Option<BTreeSet<SocketAddr>> {
        let mut voters = self.voters.clone();
        voters.remove(&failed);
        let newcomer = self.best_standby(&voters, &self.standbys)?;
        voters.insert(newcomer);
        majority_in_sync(&voters, self.candidates).then_some(voters)
    }

    /// Moves one voter out of the zone that has the most, if all machines concerned are stable.
    fn rebalance_zones(&self) -> Option<BTreeSet<SocketAddr>> {
        let is_stable = |address: &SocketAddr| {
            self.candidate(address).is_some_and(|one| one.in_sync_for >= REBALANCE_DELAY)
        };
        if !self.voters.iter().all(is_stable) {
            return None;
        }
        let stable_standbys = self.standbys.iter().filter(|standby| is_stable(standby));
        let swaps =
            stable_standbys.flat_map(|standby| self.voters.iter().map(|voter| self.swap(voter, *standby)));
        let current = self.most_in_one_zone(&self.voters);
        swaps
            .filter(|voters| self.most_in_one_zone(voters) < current)
            .min_by_key(|voters| self.most_in_one_zone(voters))
    }

    fn swap(&self, leaving: &SocketAddr, newcomer: SocketAddr) -> BTreeSet<SocketAddr> {
        let mut voters = self.voters.clone();
        voters.remove(leaving);
        voters.insert(newcomer);
        voters
    }

    /// The standby by which the fullest zone has the fewest voters; of several the one with the lowest address.
    fn best_standby(&self, voters: &BTreeSet<SocketAddr>, standbys: &[SocketAddr]) -> Option<SocketAddr> {
        let cost = |standby: &SocketAddr| {
            let mut with_standby = voters.clone();
            with_standby.insert(*standby);
            (self.most_in_one_zone(&with_standby), *standby)
        };
        standbys.iter().copied().min_by_key(cost)
    }

    /// How many of these voters the fullest zone holds.
    fn most_in_one_zone(&self, voters: &BTreeSet<SocketAddr>) -> usize {
        let mut count_by_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for voter in voters {
            let zone = self.candidate(voter).map_or("", |one| one.zone.as_str());
            *count_by_zone.entry(zone).or_default() += 1;
        }
        count_by_zone.into_values().max().unwrap_or(0)
    }

    fn candidate(&self, address: &SocketAddr) -> Option<&VoterCandidate> {
        self.candidates.iter().find(|one| one.address == *address)
    }
}

#[cfg(test)]
mod tests;
