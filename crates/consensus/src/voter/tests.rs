use super::*;
use crate::membership::{RecoveryDecision, majority, recovery};
use vanewharf_protocol::messages::RegisterRank;
use vanewharf_protocol::messages::Revision;

const START: Timestamp = Timestamp(1_000_000_000);

fn addr(no: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, no], 7600))
}

fn lease(ballot: u64, no: u8) -> VoteRequest {
    VoteRequest::Lease { ballot: Ballot(ballot), candidate: addr(no) }
}

fn promised(ballot: u64) -> VoterRecord {
    VoterRecord { ballot: Ballot(ballot), ..Voter::start(None, None, &seeds(), true, START).record() }
}

fn seeds() -> Vec<SocketAddr> {
    (1..4).map(addr).collect()
}

/// What the others tell one with amnesia, as votes of theirs, and what it goes by then.
fn recover(me: u8, others: &mut [(u8, &mut Voter)], incarnation: u64) -> Option<(VoterRecord, Register)> {
    let request = VoteRequest::Recover { member: addr(me), incarnation };
    let mut told = BTreeMap::new();
    for (no, voter) in others {
        let step = voter.handle_vote_request(request.clone(), START);
        told.insert(addr(*no), voter.response(step.vote));
    }
    match recovery(addr(me), &seeds(), &told) {
        RecoveryDecision::Recover { promised, register } => {
            let blank = Voter::start(None, None, &seeds(), true, START).record();
            Some((VoterRecord { ballot: promised, incarnation, ..blank }, *register))
        }
        RecoveryDecision::Query(_) => None,
    }
}

fn register(ballot: u64, no: u64) -> Register {
    let membership = initial_membership(seeds());
    Register { ballot: Ballot(ballot), revision: Revision(no), membership, ..Register::empty() }
}

fn keep(voter: &mut Voter, kept: Register, now: Timestamp) -> bool {
    let step = voter.handle_vote_request(VoteRequest::Accept { register: kept }, now);
    step.write.into_iter().for_each(|save| voter.mark_persisted(save));
    matches!(step.vote, Vote::Accepted)
}

#[test]
fn one_holder_at_a_time_and_none_right_after_a_restart() {
    let mut voter = Voter::start(None, None, &seeds(), true, START);
    assert!(matches!(voter.handle_vote_request(lease(1 << 8, 1), START).vote, Vote::Granted { .. }));
    let (soon, later) = (START.after(LEASE_DURATION / 2), START.after(LEASE_DURATION));
    assert!(
        matches!(voter.handle_vote_request(lease(2 << 8, 2), soon).vote, Vote::Refused { .. }),
        "it is held"
    );
    let renew = |ballot| VoteRequest::Renew { ballot: Ballot(ballot), leaseholder: addr(1) };
    assert!(matches!(voter.handle_vote_request(renew(1 << 8), soon).vote, Vote::Accepted));
    assert!(
        matches!(voter.handle_vote_request(lease(2 << 8, 2), later).vote, Vote::Refused { .. }),
        "it was renewed"
    );
    assert!(matches!(
        voter.handle_vote_request(lease(2 << 8, 2), soon.after(LEASE_DURATION)).vote,
        Vote::Granted { .. }
    ));
    assert!(matches!(
        voter.handle_vote_request(renew(1 << 8), later.after(LEASE_DURATION)).vote,
        Vote::Refused { .. }
    ));
    let mut back = Voter::start(Some(&promised(2 << 8)), None, &seeds(), false, START);
    assert!(
        matches!(back.handle_vote_request(lease(3 << 8, 1), soon).vote, Vote::Refused { .. }),
        "granted before, perhaps"
    );
    assert!(matches!(back.handle_vote_request(lease(3 << 8, 1), later).vote, Vote::Granted { .. }));
}

#[test]
fn a_restart_waits_no_longer_once_the_one_promised_to_disowns_the_lease() {
    let mut back = Voter::start(Some(&promised(2 << 8)), None, &seeds(), false, START);
    back.end_quiet_period(Ballot(1 << 8), START);
    assert!(!back.may_campaign(START), "that is another's");
    back.end_quiet_period(Ballot(2 << 8), START);
    assert!(back.may_campaign(START));
}

#[test]
fn what_was_kept_under_an_older_ballot_gives_way_and_nothing_older_is_kept() {
    let mut voter = Voter::start(None, None, &seeds(), true, START);
    assert!(keep(&mut voter, register(1 << 8, 3), START));
    assert!(matches!(voter.handle_vote_request(lease(2 << 8, 2), START).vote, Vote::Granted { .. }));
    assert!(!keep(&mut voter, register(1 << 8, 4), START), "promised to another since");
    assert!(keep(&mut voter, register(2 << 8, 3), START));
    assert!(!keep(&mut voter, register(2 << 8, 2), START), "older");
    assert_eq!(voter.register().rank(), RegisterRank { ballot: Ballot(2 << 8), revision: Revision(3) });
}

#[test]
fn the_count_of_doors_outlasts_a_restart_and_is_told_with_the_grant() {
    let mut voter = Voter::start(None, None, &seeds(), true, START);
    let saved = voter.update_proxy_count(8);
    assert!(voter.update_proxy_count(8).is_none() && voter.update_proxy_count(0).is_none(), "no news");
    let Some(DurableWrite::VoterRecord(record)) = saved else { panic!("{saved:?}") };
    let mut back = Voter::start(Some(&record), None, &seeds(), false, START);
    let granted = back.handle_vote_request(lease(1 << 8, 1), START.after(LEASE_DURATION)).vote;
    assert!(matches!(granted, Vote::Granted { quota_divisor: 8, .. }), "{granted:?}");
}

#[test]
fn what_was_not_saved_is_not_held() {
    let mut voter = Voter::start(None, None, &seeds(), true, START);
    let step = voter.handle_vote_request(VoteRequest::Accept { register: register(1 << 8, 1) }, START);
    assert!(step.write.is_some(), "the disk then refuses it");
    assert_eq!(voter.register().revision, Revision(0));
}

#[test]
fn one_with_amnesia_does_nothing_until_it_has_recovered() {
    let mut voter = Voter::start(None, None, &seeds(), false, START);
    let asked = VoteRequest::Recover { member: addr(2), incarnation: 1 };
    for request in [lease(1 << 8, 1), VoteRequest::Accept { register: register(1 << 8, 1) }, asked] {
        let vote = voter.handle_vote_request(request, START.after(LEASE_DURATION)).vote;
        assert!(matches!(&vote, Vote::Amnesic { seeds: told } if *told == seeds()), "{vote:?}");
    }
    let (mut one, mut other) = (Voter::start(None, None, &seeds(), true, START), voter_at(4 << 8, 6));
    one.mark_persisted(DurableWrite::Register(Box::new(register(3 << 8, 7))));
    assert!(matches!(one.handle_vote_request(lease(5 << 8, 1), START).vote, Vote::Granted { .. }));
    let (promise, register) = recover(1, &mut [(2, &mut one), (3, &mut other)], 1 << 32).expect("both told");
    assert_eq!(
        (promise.ballot, register.rank()),
        (Ballot(5 << 8), RegisterRank { ballot: Ballot(4 << 8), revision: Revision(6) })
    );
    voter.complete_recovery(&promise, register, START);
    assert!(!keep(&mut voter, self::register(4 << 8, 9), START), "the others have promised to 5");
    assert!(keep(&mut voter, self::register(5 << 8, 9), START));
    assert!(
        matches!(voter.handle_vote_request(lease(6 << 8, 1), START).vote, Vote::Refused { .. }),
        "it may have granted one"
    );
}

fn voter_at(ballot: u64, no: u64) -> Voter {
    let mut voter = Voter::start(None, None, &seeds(), true, START);
    assert!(keep(&mut voter, register(ballot, no), START));
    voter
}

#[test]
fn a_later_incarnation_is_kept_on_disk_and_an_earlier_one_is_told_so() {
    let mut voter = voter_at(4 << 8, 6);
    let recover = |incarnation| VoteRequest::Recover { member: addr(2), incarnation };
    let step = voter.handle_vote_request(recover(7 << 32), START);
    let Some(DurableWrite::VoterRecord(record)) = step.write else { panic!("nothing to save") };
    let mut back = Voter::start(Some(&record), None, &seeds(), false, START);
    assert!(
        matches!(back.handle_vote_request(recover(6 << 32), START).vote, Vote::Superseded { incarnation } if incarnation == 7 << 32)
    );
    let again = back.handle_vote_request(recover(7 << 32), START);
    assert!(matches!(again.vote, Vote::Recovered { .. }) && again.write.is_none(), "the answer was lost");
    assert_eq!(back.response(Vote::StorageFailed).incarnations, BTreeMap::from([(addr(2), 7 << 32)]));
    let (one, other) = (next_incarnation(7 << 32 | 9, 1), next_incarnation(7 << 32 | 9, u64::MAX));
    assert!(one > 7 << 32 | 9 && other > one && other < 9 << 32);
}

#[test]
fn a_promise_that_the_disk_refused_is_saved_with_the_next_vote_that_goes_by_it() {
    let asked = VoteRequest::Recover { member: addr(2), incarnation: 7 << 32 };
    let renewed = VoteRequest::Renew { ballot: Ballot(5 << 8), leaseholder: addr(1) };
    for request in [asked, renewed] {
        let mut voter = voter_at(4 << 8, 6);
        assert!(
            voter.handle_vote_request(request.clone(), START).write.is_some(),
            "the disk then refuses it"
        );
        let Some(save) = voter.handle_vote_request(request.clone(), START).write else {
            panic!("said without being on disk")
        };
        voter.mark_persisted(save);
        assert!(voter.handle_vote_request(request, START).write.is_none(), "it is on disk");
    }
}

#[test]
fn ballots_of_two_machines_differ_wherever_they_are() {
    let at = |ip: [u8; 4]| SocketAddr::from((ip, 7600));
    assert_ne!(next_ballot(Ballot(0), at([10, 1, 2, 3])), next_ballot(Ballot(0), at([11, 1, 2, 3])));
    let mine = next_ballot(Ballot(0), at([10, 1, 2, 3]));
    assert!(next_ballot(mine, at([0, 0, 0, 1])) > mine);
}

/// All histories of three voters and two holders of a fixed length, by a seeded walk: no two registers are ever kept by
/// majorities under one number, and none that was is lost to a later holder.
#[test]
fn what_a_majority_kept_is_found_by_every_later_holder() {
    use rand_walk::Walk;
    for seed in 0..400 {
        let mut walk = Walk(seed);
        let mut voters: Vec<_> = (0..3).map(|_| Voter::start(None, None, &seeds(), true, START)).collect();
        let mut now = START;
        let mut acknowledged: Option<Register> = None;
        for turn in 1..60u64 {
            now = now.after(LEASE_DURATION);
            let ballot = Ballot(turn << 8);
            // Some of the voters hear, in any order; one may have lost its disk since, and recovered.
            if walk.draw(6) == 0 {
                let lost = walk.draw(3) as usize;
                let mut fresh = Voter::start(None, None, &seeds(), false, now);
                let others = voters.iter_mut().enumerate().filter(|(no, _)| *no != lost);
                let mut others: Vec<_> = others.map(|(no, voter)| (no as u8 + 1, voter)).collect();
                let recovered = recover(lost as u8 + 1, &mut others, turn << 32);
                let (promise, register) = recovered.expect("both others were heard");
                fresh.complete_recovery(&promise, register, now);
                voters[lost] = fresh;
                now = now.after(LEASE_DURATION);
            }
            let heard: Vec<_> = (0..3).filter(|_| walk.draw(3) > 0).collect();
            let mut granted = Vec::new();
            for &no in &heard {
                let vote_request = VoteRequest::Lease { ballot, candidate: addr(1) };
                if let Vote::Granted { register, .. } = voters[no].handle_vote_request(vote_request, now).vote
                {
                    granted.push(register);
                }
            }
            if granted.len() < majority(3) {
                continue;
            }
            let found = granted.into_iter().max_by_key(Register::rank).expect("a majority");
            if let Some(acknowledged) = &acknowledged {
                assert!(
                    found.revision >= acknowledged.revision,
                    "seed {seed}: an acknowledged register is lost"
                );
                let same =
                    found.revision > acknowledged.revision || found.evacuated == acknowledged.evacuated;
                assert!(same, "seed {seed}: two registers under one number");
            }
            let mut next = Register { ballot, ..found };
            for fresh in [false, true] {
                if fresh {
                    next.revision = Revision(next.revision.0 + 1);
                    next.evacuated = [format!("{turn}")].into();
                }
                let kept = (0..3).filter(|_| walk.draw(4) > 0).collect::<Vec<_>>();
                let kept = kept.into_iter().filter(|&no| keep(&mut voters[no], next.clone(), now)).count();
                if kept < majority(3) {
                    break;
                }
                acknowledged = Some(next.clone());
            }
        }
    }
}

mod rand_walk {
    pub struct Walk(pub u64);

    impl Walk {
        pub fn draw(&mut self, below: u64) -> u64 {
            self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (self.0 >> 33) % below
        }
    }
}
