use super::*;
use crate::membership::majority;
use crate::recovery::{RecoveryDecision, decide_recovery};
use crate::test_support::{START, address, addresses, membership};
use std::collections::BTreeMap;
use vanewharf_protocol::messages::{RegisterRank, Revision, VoteRequest};

/// The incarnation of a member after its first loss of the disk.
const SECOND_INCARNATION: u64 = 1 << 32;

fn seeds() -> Vec<SocketAddr> {
    addresses(&[1, 2, 3])
}

fn initial_voter() -> Voter {
    Voter::start(None, None, &seeds(), StartKind::Initial, START)
}

fn restarted_voter(record: Option<&VoterRecord>, now: Timestamp) -> Voter {
    Voter::start(record, None, &seeds(), StartKind::Restart, now)
}

fn record_with_ballot(ballot: u64) -> VoterRecord {
    VoterRecord { ballot: Ballot(ballot), ..initial_voter().record() }
}

fn lease(ballot: u64, candidate: u8) -> VoteRequest {
    VoteRequest::Lease { ballot: Ballot(ballot), candidate: address(candidate) }
}

fn renew(ballot: u64, leaseholder: u8) -> VoteRequest {
    VoteRequest::Renew { ballot: Ballot(ballot), leaseholder: address(leaseholder) }
}

fn recover(member: u8, incarnation: u64) -> VoteRequest {
    VoteRequest::Recover { member: address(member), incarnation }
}

fn register(ballot: u64, revision: u64) -> Register {
    crate::test_support::register(ballot, revision, membership(1, &[1, 2, 3], &[]))
}

/// Sends a register and writes what has to be written; whether it was accepted.
fn accept(voter: &mut Voter, register: Register, now: Timestamp) -> bool {
    let output = voter.handle_vote_request(VoteRequest::Accept { register }, now);
    output.write.into_iter().for_each(|write| voter.mark_persisted(write));
    matches!(output.vote, Vote::Accepted)
}

fn voter_with_register(ballot: u64, revision: u64) -> Voter {
    let mut voter = initial_voter();
    assert!(accept(&mut voter, register(ballot, revision), START));
    voter
}

/// What a member with amnesia recovers from the answers of the others.
fn recover_from(
    member: u8,
    others: &mut [(u8, &mut Voter)],
    incarnation: u64,
) -> Option<(VoterRecord, Register)> {
    let mut responses = BTreeMap::new();
    for (number, voter) in others {
        let output = voter.handle_vote_request(recover(member, incarnation), START);
        responses.insert(address(*number), voter.response(output.vote));
    }
    match decide_recovery(address(member), &seeds(), &responses) {
        RecoveryDecision::Recover { promised, register } => {
            Some((VoterRecord { ballot: promised, incarnation, ..initial_voter().record() }, *register))
        }
        RecoveryDecision::Query(_) => None,
    }
}

#[test]
fn a_lease_is_granted_to_one_at_a_time_and_to_none_right_after_a_restart() {
    let mut voter = initial_voter();
    assert!(matches!(voter.handle_vote_request(lease(1 << 8, 1), START).vote, Vote::Granted { .. }));
    let (soon, later) = (START.after(LEASE_DURATION / 2), START.after(LEASE_DURATION));
    assert!(
        matches!(voter.handle_vote_request(lease(2 << 8, 2), soon).vote, Vote::Refused { .. }),
        "another one holds it"
    );
    assert!(matches!(voter.handle_vote_request(renew(1 << 8, 1), soon).vote, Vote::Accepted));
    assert!(
        matches!(voter.handle_vote_request(lease(2 << 8, 2), later).vote, Vote::Refused { .. }),
        "it was renewed"
    );
    let expired = soon.after(LEASE_DURATION);
    assert!(matches!(voter.handle_vote_request(lease(2 << 8, 2), expired).vote, Vote::Granted { .. }));
    let vote = voter.handle_vote_request(renew(1 << 8, 1), later.after(LEASE_DURATION)).vote;
    assert!(matches!(vote, Vote::Refused { .. }));
    let mut restarted = restarted_voter(Some(&record_with_ballot(2 << 8)), START);
    assert!(
        matches!(restarted.handle_vote_request(lease(3 << 8, 1), soon).vote, Vote::Refused { .. }),
        "it may have granted one before the restart"
    );
    assert!(matches!(restarted.handle_vote_request(lease(3 << 8, 1), later).vote, Vote::Granted { .. }));
}

/// So paths with pre-votes are paths without them, and the model need not have them.
#[test]
fn a_pre_vote_changes_nothing_at_the_voter() {
    for asked_at in [START, START.after(crate::lease::LEASE_DURATION)] {
        let mut voter = voter_with_register(3, 2);
        let before = voter.clone();
        for candidate in 1..=3 {
            let request = VoteRequest::PreVote { candidate: address(candidate) };
            assert!(voter.handle_vote_request(request, asked_at).write.is_none());
        }
        assert_eq!(voter, before);
    }
}

#[test]
fn a_restarted_voter_waits_no_longer_once_the_promised_candidate_renounces_the_lease() {
    let mut restarted = restarted_voter(Some(&record_with_ballot(2 << 8)), START);
    restarted.end_quiet_period(Ballot(1 << 8), START);
    assert!(!restarted.may_campaign(START), "that is another ballot");
    restarted.end_quiet_period(Ballot(2 << 8), START);
    assert!(restarted.may_campaign(START));
}

#[test]
fn a_register_of_an_older_ballot_gives_way_and_nothing_older_is_accepted() {
    let mut voter = initial_voter();
    assert!(accept(&mut voter, register(1 << 8, 3), START));
    assert!(matches!(voter.handle_vote_request(lease(2 << 8, 2), START).vote, Vote::Granted { .. }));
    assert!(!accept(&mut voter, register(1 << 8, 4), START), "promised to another since");
    assert!(accept(&mut voter, register(2 << 8, 3), START));
    assert!(!accept(&mut voter, register(2 << 8, 2), START), "older");
    assert_eq!(voter.register().rank(), RegisterRank { ballot: Ballot(2 << 8), revision: Revision(3) });
}

#[test]
fn the_quota_divisor_survives_a_restart_and_is_reported_with_the_grant() {
    let mut voter = initial_voter();
    let write = voter.update_quota_divisor(8);
    assert!(
        voter.update_quota_divisor(8).is_none() && voter.update_quota_divisor(0).is_none(),
        "nothing new"
    );
    let Some(DurableWrite::VoterRecord(record)) = write else { panic!("{write:?}") };
    let mut restarted = restarted_voter(Some(&record), START);
    let vote = restarted.handle_vote_request(lease(1 << 8, 1), START.after(LEASE_DURATION)).vote;
    assert!(matches!(vote, Vote::Granted { quota_divisor: 8, .. }), "{vote:?}");
}

#[test]
fn a_register_that_was_not_written_is_not_accepted() {
    let mut voter = initial_voter();
    let output = voter.handle_vote_request(VoteRequest::Accept { register: register(1 << 8, 1) }, START);
    assert!(output.write.is_some(), "the write then fails");
    assert_eq!(voter.register().revision, Revision(0));
}

#[test]
fn a_voter_with_amnesia_votes_on_nothing_until_it_has_recovered() {
    let mut voter = restarted_voter(None, START);
    let accept_request = VoteRequest::Accept { register: register(1 << 8, 1) };
    for request in [lease(1 << 8, 1), accept_request, recover(2, 1)] {
        let vote = voter.handle_vote_request(request, START.after(LEASE_DURATION)).vote;
        assert!(matches!(&vote, Vote::Amnesic { seeds: theirs } if *theirs == seeds()), "{vote:?}");
    }
    let (mut one, mut other) = (initial_voter(), voter_with_register(4 << 8, 6));
    one.mark_persisted(DurableWrite::Register(Box::new(register(3 << 8, 7))));
    assert!(matches!(one.handle_vote_request(lease(5 << 8, 1), START).vote, Vote::Granted { .. }));
    let others = &mut [(2, &mut one), (3, &mut other)];
    let (record, recovered) = recover_from(1, others, SECOND_INCARNATION).expect("both responded");
    let recovered_rank = RegisterRank { ballot: Ballot(4 << 8), revision: Revision(6) };
    assert_eq!((record.ballot, recovered.rank()), (Ballot(5 << 8), recovered_rank));
    voter.complete_recovery(&record, recovered, START);
    assert!(!accept(&mut voter, register(4 << 8, 9), START), "the others have promised ballot 5");
    assert!(accept(&mut voter, register(5 << 8, 9), START));
    assert!(
        matches!(voter.handle_vote_request(lease(6 << 8, 1), START).vote, Vote::Refused { .. }),
        "it may have granted one before it forgot"
    );
}

#[test]
fn a_later_incarnation_is_recorded_on_disk_and_an_earlier_one_is_refused() {
    let mut voter = voter_with_register(4 << 8, 6);
    let output = voter.handle_vote_request(recover(2, 7 << 32), START);
    let Some(DurableWrite::VoterRecord(record)) = output.write else { panic!("nothing to write") };
    let mut restarted = restarted_voter(Some(&record), START);
    let vote = restarted.handle_vote_request(recover(2, 6 << 32), START).vote;
    assert!(matches!(vote, Vote::Superseded { incarnation } if incarnation == 7 << 32));
    let again = restarted.handle_vote_request(recover(2, 7 << 32), START);
    assert!(matches!(again.vote, Vote::Recovered { .. }) && again.write.is_none(), "the answer was lost");
    assert_eq!(restarted.response(Vote::StorageFailed).incarnations, BTreeMap::from([(address(2), 7 << 32)]));
}

#[test]
fn a_record_whose_write_failed_is_written_with_the_next_vote_that_depends_on_it() {
    for request in [recover(2, 7 << 32), renew(5 << 8, 1)] {
        let mut voter = voter_with_register(4 << 8, 6);
        assert!(voter.handle_vote_request(request.clone(), START).write.is_some(), "the write then fails");
        let Some(write) = voter.handle_vote_request(request.clone(), START).write else {
            panic!("voted without being on disk")
        };
        voter.mark_persisted(write);
        assert!(voter.handle_vote_request(request, START).write.is_none(), "it is on disk");
    }
}

#[test]
fn the_record_has_the_field_names_that_are_on_disk_already() {
    let record = VoterRecord {
        ballot: Ballot(7),
        promised_to: Some(address(2)),
        initial_members: seeds(),
        quota_divisor: 8,
        incarnation: 5,
        peer_incarnations: BTreeMap::from([(address(3), 9)]),
    };
    let text = concat!(
        r#"{"ballot":7,"holder":"10.0.0.2:7600","founders":["10.0.0.1:7600","10.0.0.2:7600","10.0.0.3:7600"],"#,
        r#""doors":8,"incarnation":5,"incarnations":{"10.0.0.3:7600":9}}"#
    );
    assert_eq!(serde_json::to_string(&record).expect("JSON"), text);
    assert_eq!(serde_json::from_str::<VoterRecord>(text).expect("a record"), record);
    let oldest = r#"{"ballot":7,"holder":null,"founders":[]}"#;
    let read: VoterRecord = serde_json::from_str(oldest).expect("a record of the first version");
    assert_eq!(read, VoterRecord { ballot: Ballot(7), ..VoterRecord::default() });
}

/// All histories of three voters and two leaseholders of a fixed length, by a seeded walk: no two registers are ever
/// accepted by majorities under one revision, and none that was is lost to a later leaseholder.
#[test]
fn a_register_that_a_majority_accepted_is_found_by_every_later_leaseholder() {
    for seed in 0..400 {
        let mut walk = random_walk::RandomWalk(seed);
        let mut voters: Vec<_> = (0..3).map(|_| initial_voter()).collect();
        let mut now = START;
        let mut acknowledged: Option<Register> = None;
        for turn in 1..60u64 {
            now = now.after(LEASE_DURATION);
            let ballot = Ballot(turn << 8);
            // One voter may have lost its disk since, and recovered.
            if walk.draw(6) == 0 {
                let lost = walk.draw(3) as usize;
                let mut recovered = restarted_voter(None, now);
                let others = voters.iter_mut().enumerate().filter(|(index, _)| *index != lost);
                let mut others: Vec<_> = others.map(|(index, voter)| (index as u8 + 1, voter)).collect();
                let from_others = recover_from(lost as u8 + 1, &mut others, turn << 32);
                let (record, register) = from_others.expect("both others responded");
                recovered.complete_recovery(&record, register, now);
                voters[lost] = recovered;
                now = now.after(LEASE_DURATION);
            }
            let reached: Vec<_> = (0..3).filter(|_| walk.draw(3) > 0).collect();
            let mut granted = Vec::new();
            for &index in &reached {
                let request = VoteRequest::Lease { ballot, candidate: address(1) };
                if let Vote::Granted { register, .. } = voters[index].handle_vote_request(request, now).vote {
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
                assert!(same, "seed {seed}: two registers under one revision");
            }
            let mut next = Register { ballot, ..found };
            for is_new in [false, true] {
                if is_new {
                    next.revision = Revision(next.revision.0 + 1);
                    next.evacuated = [format!("{turn}")].into();
                }
                let reached: Vec<_> = (0..3).filter(|_| walk.draw(4) > 0).collect();
                let accepting =
                    reached.iter().filter(|&&index| accept(&mut voters[index], next.clone(), now));
                if accepting.count() < majority(3) {
                    break;
                }
                acknowledged = Some(next.clone());
            }
        }
    }
}

mod random_walk {
    /// A seeded sequence of draws.
    pub struct RandomWalk(pub u64);

    impl RandomWalk {
        pub fn draw(&mut self, below: u64) -> u64 {
            self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (self.0 >> 33) % below
        }
    }
}
