//! Who grants the lease and keeps the register: which votes count and when they carry, what one that lost its disk has to
//! hear before it votes again, and which change of the set comes next.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Ballot, Follower, Membership, Register, Revision, Vote, VoteResponse};

/// A voter that was not heard of, or did not keep up, for so long is lost, as long as one that keeps up stands by.
pub const FAILURE_TIMEOUT: Duration = Duration::from_secs(3);
/// So long must a machine have kept up before it takes a voter's place.
pub const PROMOTION_DELAY: Duration = Duration::from_millis(1000);
/// Voters are moved between zones only when all have kept up for so long.
const REBALANCE_DELAY: Duration = Duration::from_secs(10);

/// How many of so many voters are a majority.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// How many voters there are to be, where so many may be lost at once: enough that the rest is a majority.
pub fn voter_count_for(losses: u64) -> usize {
    2 * losses.clamp(1, 4) as usize + 1
}

/// Those of the first start.
pub fn initial_membership(mut voters: Vec<SocketAddr>) -> Membership {
    voters.sort_unstable();
    voters.dedup();
    Membership { epoch: 1, voters, outgoing: Vec::new() }
}

/// All who have a say, incoming and outgoing.
pub fn all_voters(membership: &Membership) -> BTreeSet<SocketAddr> {
    membership.voters.iter().chain(&membership.outgoing).copied().collect()
}

/// Whether those who assent carry it: a majority of the voters, and during a change one of the outgoing voters, too.
pub fn has_quorum(membership: &Membership, assenting: &BTreeSet<SocketAddr>) -> bool {
    let by =
        |set: &[SocketAddr]| set.iter().filter(|one| assenting.contains(one)).count() >= majority(set.len());
    by(&membership.voters) && (membership.outgoing.is_empty() || by(&membership.outgoing))
}

/// Whether nobody can carry it any more, as too many are against.
pub fn quorum_is_impossible(membership: &Membership, against: &BTreeSet<SocketAddr>) -> bool {
    let all = all_voters(membership);
    !has_quorum(membership, &all.difference(against).copied().collect())
}

/// The change that begins a new set: both sets decide until it is concluded.
pub fn begin_change(membership: &Membership, voters: &BTreeSet<SocketAddr>) -> Membership {
    let outgoing = membership.voters.clone();
    Membership { epoch: membership.epoch + 1, voters: voters.iter().copied().collect(), outgoing }
}

/// The one that concludes it, once the change that began it is kept by both.
pub fn finish_change(membership: &Membership) -> Membership {
    Membership { epoch: membership.epoch + 1, voters: membership.voters.clone(), outgoing: Vec::new() }
}

/// The next step towards a set of voters, or none where that is reached. It goes by what is settled: a change that was begun
/// and is kept by the holder alone, perhaps, must not be concluded, as no majority of the set before it knows of it.
pub fn next_membership(settled: &Membership, voters: &BTreeSet<SocketAddr>) -> Option<Membership> {
    if !settled.outgoing.is_empty() {
        return Some(finish_change(settled));
    }
    let reached = settled.voters.iter().copied().collect::<BTreeSet<_>>() == *voters;
    (!reached).then(|| begin_change(settled, voters))
}

/// What each machine is known to have come back as, by all of these votes.
pub fn incarnations<'a>(
    votes: impl Iterator<Item = (SocketAddr, &'a VoteResponse)>,
) -> BTreeMap<SocketAddr, u64> {
    let mut newest = BTreeMap::new();
    let mut note = |member: SocketAddr, incarnation: u64| {
        let known: &mut u64 = newest.entry(member).or_default();
        *known = incarnation.max(*known);
    };
    for (voter, cast) in votes {
        note(voter, cast.incarnation);
        cast.incarnations.iter().for_each(|(member, incarnation)| note(*member, *incarnation));
    }
    newest
}

/// Who assents: without those whose vote was cast before they lost their disk, as far as another voter knows of that.
pub fn assenting_voters(votes: &[(SocketAddr, VoteResponse)]) -> BTreeSet<SocketAddr> {
    let newest = incarnations(votes.iter().map(|(voter, cast)| (*voter, cast)));
    let yes = |cast: &VoteResponse| {
        matches!(cast.vote, Vote::Granted { .. } | Vote::Willing { .. } | Vote::Accepted)
    };
    let counts = |(voter, cast): &&(SocketAddr, VoteResponse)| {
        yes(cast) && newest.get(voter) == Some(&cast.incarnation)
    };
    votes.iter().filter(counts).map(|(voter, _)| *voter).collect()
}

/// The newest register of those granted, or of none.
pub fn newest(votes: &[(SocketAddr, VoteResponse)]) -> Register {
    let registers = votes.iter().filter_map(|(_, cast)| match &cast.vote {
        Vote::Granted { register, .. } => Some(register),
        _ => None,
    });
    let by = |register: &&Register| (register.rank(), register.membership.epoch);
    registers.max_by_key(by).cloned().unwrap_or_else(Register::empty)
}

/// What a machine with amnesia may go by, or whom it has to hear besides.
#[derive(Debug)]
pub enum RecoveryDecision {
    /// These have to be heard; empty where those that are known have to be heard again.
    Query(BTreeSet<SocketAddr>),
    /// To be on disk before it votes.
    Recover { promised: Ballot, register: Box<Register> },
}

/// What those told who were asked to recover it, at the seeds and at all whom their answers name.
///
/// A seed may be stale: one that was away while the set changed tells an old set. So the newest register that is told
/// says whose majority has to have told. A change is kept by a majority of the set before it, too, so that a majority of
/// an old set cannot all be unaware of the next one. Where no register was ever kept (the power went in the first moments)
/// there is no majority that remembers; then all have to be heard, and all must be blank.
pub fn recovery(
    me: SocketAddr,
    seeds: &[SocketAddr],
    told: &BTreeMap<SocketAddr, VoteResponse>,
) -> RecoveryDecision {
    let mut known = BTreeMap::new();
    for (member, cast) in told.iter().filter(|(member, _)| **member != me) {
        if let Vote::Recovered { promised, register } = &cast.vote {
            known.insert(*member, (*promised, register));
        }
    }
    let heard: BTreeSet<_> = known.keys().copied().collect();
    let promised = known.values().map(|(promised, _)| *promised).max().unwrap_or_default();
    let by = |register: &&Register| (register.rank(), register.membership.epoch);
    let amnesic = |member: &SocketAddr| match told.get(member).map(|cast| &cast.vote) {
        Some(Vote::Amnesic { seeds }) => Some(seeds),
        _ => None,
    };
    let Some(newest) = known.values().map(|(_, register)| *register).max_by_key(by) else {
        let founders = initial_membership(seeds.to_vec());
        let alike = |seed: &SocketAddr| {
            amnesic(seed).is_some_and(|told| initial_membership(told.clone()) == founders)
        };
        let all = seeds.contains(&me) && seeds.iter().all(|seed| *seed == me || alike(seed));
        let register = Register { membership: founders, ..Register::empty() };
        return match all {
            true => RecoveryDecision::Recover { promised, register: Box::new(register) },
            false => RecoveryDecision::Query(seeds.iter().copied().filter(|seed| *seed != me).collect()),
        };
    };
    let all_voters: BTreeSet<_> =
        all_voters(&newest.membership).into_iter().filter(|one| *one != me).collect();
    let blank =
        newest.revision.0 == 0 && all_voters.iter().all(|one| heard.contains(one) || amnesic(one).is_some());
    if has_quorum(&newest.membership, &heard) || blank {
        let promised = promised.max(newest.ballot);
        return RecoveryDecision::Recover { promised, register: Box::new(newest.clone()) };
    }
    RecoveryDecision::Query(all_voters.into_iter().filter(|one| !heard.contains(one)).collect())
}

/// A machine that may vote, as the holder sees it.
#[derive(Clone, Debug)]
pub struct VoterCandidate {
    pub address: SocketAddr,
    pub zone: String,
    /// How long it has not been heard of, or has not kept up.
    pub out_of_sync_for: Duration,
    /// How long it has been heard of and has kept up.
    pub in_sync_for: Duration,
}

/// Whether a majority of these keeps up at this moment.
pub fn majority_in_sync(voters: &BTreeSet<SocketAddr>, candidates: &[VoterCandidate]) -> bool {
    let here =
        candidates.iter().filter(|one| voters.contains(&one.address) && one.out_of_sync_for < SYNC_TIMEOUT);
    here.count() >= majority(voters.len())
}

/// The set that should follow, one step at a time, or nothing. Never an even number: a set of four bears no more losses
/// than one of three. A lost voter gives way only to one that keeps up, so that what can be borne does not lessen on the
/// way: by joint consensus the old set's majority is needed meanwhile, which is there already, and never the newcomer.
pub fn plan_next_voters(
    membership: &Membership,
    candidates: &[VoterCandidate],
    wanted: usize,
) -> Option<BTreeSet<SocketAddr>> {
    let voters: BTreeSet<_> = membership.voters.iter().copied().collect();
    let zone = |office: &SocketAddr| {
        let known = candidates.iter().find(|one| one.address == *office);
        known.map_or("", |one| one.zone.as_str())
    };
    // How many of a set the worst zone holds.
    let crowded = |set: &BTreeSet<SocketAddr>| {
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        set.iter().for_each(|office| *zones.entry(zone(office)).or_default() += 1);
        zones.into_values().max().unwrap_or(0)
    };
    let lost = |office: &SocketAddr| {
        candidates.iter().any(|one| one.address == *office && one.out_of_sync_for >= FAILURE_TIMEOUT)
    };
    let mut spare: Vec<_> = candidates
        .iter()
        .filter(|one| !voters.contains(&one.address) && one.in_sync_for >= PROMOTION_DELAY)
        .map(|one| one.address)
        .collect();
    spare.sort_unstable();
    let with = |base: &BTreeSet<SocketAddr>, spare: &[SocketAddr]| {
        let wider = |one: &SocketAddr| {
            let mut set = base.clone();
            set.insert(*one);
            (crowded(&set), *one)
        };
        spare.iter().copied().min_by_key(wider)
    };
    // As many as are wanted, or the odd number below that there are.
    if voters.len() < wanted {
        let (mut set, mut spare) = (voters.clone(), spare.clone());
        while set.len() < wanted
            && let Some(one) = with(&set, &spare)
        {
            set.insert(one);
            spare.retain(|other| *other != one);
        }
        if set.len().is_multiple_of(2) {
            let last = set.iter().copied().filter(|one| !voters.contains(one)).max();
            set.retain(|one| Some(*one) != last);
        }
        if set.len() > voters.len() && majority_in_sync(&set, candidates) {
            return Some(set);
        }
    }
    if let Some(gone) = voters.iter().copied().find(|office| lost(office)) {
        let rest: BTreeSet<_> = voters.iter().copied().filter(|office| *office != gone).collect();
        let one = with(&rest, &spare)?;
        // A set that could not conclude the change is not begun.
        return Some(rest.into_iter().chain([one]).collect()).filter(|set| majority_in_sync(set, candidates));
    }
    // Where all is calm, no zone is to hold more voters than it must.
    let calm = |office: &SocketAddr| {
        candidates.iter().any(|one| one.address == *office && one.in_sync_for >= REBALANCE_DELAY)
    };
    if !voters.iter().all(calm) {
        return None;
    }
    let moved = |one: &SocketAddr, out: &SocketAddr| {
        let rest = voters.iter().copied().filter(|office| office != out);
        rest.chain([*one]).collect::<BTreeSet<_>>()
    };
    let moves = spare.iter().filter(|one| calm(one)).flat_map(|one| voters.iter().map(|out| moved(one, out)));
    moves.filter(|set| crowded(set) < crowded(&voters)).min_by_key(|set| crowded(set))
}

/// What the holder knows of those that follow it. It knows nothing of before it took the lease.
#[derive(Debug, Default)]
pub struct FollowerTracker {
    began: Timestamp,
    /// When the lease was lost, while it is.
    ended: Option<Timestamp>,
    heard: BTreeMap<IpAddr, FollowerProgress>,
}

#[derive(Debug)]
struct FollowerProgress {
    zone: String,
    /// When it was last heard of with all on its disk that it had to have by then.
    sound: Option<Timestamp>,
    /// Since when it has been sound without a break.
    since: Timestamp,
    /// What it has to have on its disk, and since when.
    goal: Revision,
    set: Timestamp,
}

impl FollowerTracker {
    /// The lease is had. Had again soon, what was known of others counts on, without the time between in which nobody
    /// followed: who was lost before is not waited for once more.
    pub fn lease_acquired(&mut self, now: Timestamp) {
        match self.ended.take().map(|ended| now.since(ended)).filter(|between| *between < RESUME_WINDOW) {
            Some(between) => {
                self.began = self.began.after(between);
                for heard in self.heard.values_mut() {
                    heard.sound = heard.sound.map(|sound| sound.after(between));
                    (heard.since, heard.set) = (heard.since.after(between), heard.set.after(between));
                }
            }
            None => {
                self.began = now;
                self.heard.clear();
            }
        }
    }

    /// The lease is lost.
    pub fn lease_lost(&mut self, now: Timestamp) {
        self.ended = Some(now);
    }

    /// It pulls, and says what is on its disk; `settled` is what it should have soon.
    pub fn record_pull(&mut self, follower: &Follower, settled: Revision, now: Timestamp) {
        let zone = follower.controller.zone.clone();
        let fresh = || FollowerProgress { zone, sound: None, since: now, goal: settled, set: now };
        let heard = self.heard.entry(follower.controller.ip).or_insert_with(fresh);
        let reached = follower.persisted.is_some_and(|rank| rank.revision >= heard.goal);
        // What was settled a moment ago is on its way to one that had all before.
        let on_its_way =
            heard.sound.is_some() && follower.persisted.is_some() && now.since(heard.set) < SYNC_TIMEOUT;
        if reached {
            (heard.goal, heard.set) = (settled, now);
        }
        if reached || on_its_way {
            if heard.sound.is_none_or(|sound| now.since(sound) >= SYNC_TIMEOUT) {
                heard.since = now;
            }
            heard.sound = Some(now);
        }
        let known = |heard: &FollowerProgress| heard.sound.unwrap_or(heard.set);
        self.heard.retain(|_, heard| now.since(known(heard)) < FOLLOWER_RETENTION);
    }

    /// All that may vote: voters, heard of or not, the holder itself, and whoever follows it. Nobody is missed for longer
    /// than the holder has held the lease.
    pub fn candidates(
        &self,
        voters: &[SocketAddr],
        (me, zone): (SocketAddr, &str),
        office: impl Fn(IpAddr) -> SocketAddr,
        now: Timestamp,
    ) -> Vec<VoterCandidate> {
        let held = now.since(self.began);
        let mut all: Vec<_> = self
            .heard
            .iter()
            .map(|(ip, heard)| {
                // One that was never sound is no candidate, however new the lease is.
                let never = held.max(SYNC_TIMEOUT);
                let out_of_sync_for = heard.sound.map_or(never, |sound| now.since(sound.max(self.began)));
                let sound = out_of_sync_for < SYNC_TIMEOUT;
                let in_sync_for = if sound { now.since(heard.since) } else { Duration::ZERO };
                VoterCandidate {
                    address: office(*ip),
                    zone: heard.zone.clone(),
                    out_of_sync_for,
                    in_sync_for,
                }
            })
            .filter(|one| one.address != me)
            .collect();
        let zone = zone.to_owned();
        all.push(VoterCandidate { address: me, zone, out_of_sync_for: Duration::ZERO, in_sync_for: held });
        for &office in voters {
            if !all.iter().any(|one| one.address == office) {
                let (zone, in_sync_for) = (String::new(), Duration::ZERO);
                all.push(VoterCandidate {
                    address: office,
                    zone,
                    out_of_sync_for: held.max(SYNC_TIMEOUT),
                    in_sync_for,
                });
            }
        }
        all
    }
}

/// A follower pulls more often than this.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1200);
const FOLLOWER_RETENTION: Duration = Duration::from_secs(60);
/// A holder that has the lease again by then goes on where it stood.
const RESUME_WINDOW: Duration = Duration::from_secs(10);

#[cfg(test)]
mod tests;
