use super::*;
use crate::membership::majority;
use crate::recovery::{RecoveryDecision, decide_recovery};
use crate::test_support::{START, address, addresses, membership};
use std::collections::BTreeMap;
use vanewharf_protocol::messages::{RegisterRank, Revision, VoteRequest};

/// The incarnation of a member that has lost its disk once.
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

/// Sends a register to the voter, completes the requested write, and returns whether the register was accepted.
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

/// Returns what a member with amnesia recovers from the responses of the others, or `None` if these do not suffice.
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
fn one_lease_is_granted_at_a_time_and_none_after_restart() {
    let mut voter = initial_voter();
    assert!(matches!(voter.handle_vote_request(lease(1 << 8, 1), START).vote, Vote::Granted { .. }));
    let (soon, later) = (START.after(LEASE_DURATION / 2), START.after(LEASE_DURATION));
    assert!(
        matches!(voter.handle_vote_request(lease(2 << 8, 2), soon).vote, Vote::Refused { .. }),
        "another candidate holds the lease"
    );
    assert!(matches!(voter.handle_vote_request(renew(1 << 8, 1), soon).vote, Vote::Accepted));
    assert!(
        matches!(voter.handle_vote_request(lease(2 << 8, 2), later).vote, Vote::Refused { .. }),
        "the lease was renewed"
    );
    let expired = soon.after(LEASE_DURATION);
    assert!(matches!(voter.handle_vote_request(lease(2 << 8, 2), expired).vote, Vote::Granted { .. }));
    let vote = voter.handle_vote_request(renew(1 << 8, 1), later.after(LEASE_DURATION)).vote;
    assert!(matches!(vote, Vote::Refused { .. }));
    let mut restarted = restarted_voter(Some(&record_with_ballot(2 << 8)), START);
    assert!(
        matches!(restarted.handle_vote_request(lease(3 << 8, 1), soon).vote, Vote::Refused { .. }),
        "a lease granted before the restart may still be valid"
    );
    assert!(matches!(restarted.handle_vote_request(lease(3 << 8, 1), later).vote, Vote::Granted { .. }));
}

/// The model checker leaves pre-votes out, which is sound only as long as they do not change the voter.
#[test]
fn pre_vote_does_not_change_voter() {
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
fn restarted_voter_may_campaign_once_ballot_is_renounced() {
    let mut restarted = restarted_voter(Some(&record_with_ballot(2 << 8)), START);
    restarted.end_grant_suspension(Ballot(1 << 8), START);
    assert!(
        !restarted.may_campaign(START),
        "a renounced ballot other than the promised one must not end the suspension"
    );
    restarted.end_grant_suspension(Ballot(2 << 8), START);
    assert!(restarted.may_campaign(START));
}

#[test]
fn newer_ballot_replaces_register_and_older_ones_are_refused() {
    let mut voter = initial_voter();
    assert!(accept(&mut voter, register(1 << 8, 3), START));
    assert!(matches!(voter.handle_vote_request(lease(2 << 8, 2), START).vote, Vote::Granted { .. }));
    assert!(
        !accept(&mut voter, register(1 << 8, 4), START),
        "a register under a ballot below the promised one must be refused"
    );
    assert!(accept(&mut voter, register(2 << 8, 3), START));
    assert!(
        !accept(&mut voter, register(2 << 8, 2), START),
        "a register of a lower revision must be refused"
    );
    assert_eq!(voter.register().rank(), RegisterRank { ballot: Ballot(2 << 8), revision: Revision(3) });
}

#[test]
fn quota_divisor_survives_restart_and_is_granted() {
    let mut voter = initial_voter();
    let write = voter.update_quota_divisor(8);
    assert!(
        voter.update_quota_divisor(8).is_none() && voter.update_quota_divisor(0).is_none(),
        "an unchanged or unknown divisor needs no write"
    );
    let Some(DurableWrite::VoterRecord(record)) = write else { panic!("{write:?}") };
    let mut restarted = restarted_voter(Some(&record), START);
    let vote = restarted.handle_vote_request(lease(1 << 8, 1), START.after(LEASE_DURATION)).vote;
    assert!(matches!(vote, Vote::Granted { quota_divisor: 8, .. }), "{vote:?}");
}

#[test]
fn register_is_not_accepted_before_its_write() {
    let mut voter = initial_voter();
    let output = voter.handle_vote_request(VoteRequest::Accept { register: register(1 << 8, 1) }, START);
    assert!(output.write.is_some(), "accepting a register needs a write, which then fails");
    assert_eq!(voter.register().revision, Revision(0));
}

#[test]
fn amnesic_voter_votes_only_after_recovery() {
    let mut voter = restarted_voter(None, START);
    let accept_request = VoteRequest::Accept { register: register(1 << 8, 1) };
    for request in [lease(1 << 8, 1), accept_request, recover(2, 1)] {
        let vote = voter.handle_vote_request(request, START.after(LEASE_DURATION)).vote;
        assert!(matches!(&vote, Vote::Amnesic { seeds: reported } if *reported == seeds()), "{vote:?}");
    }
    let (mut one, mut other) = (initial_voter(), voter_with_register(4 << 8, 6));
    one.mark_persisted(DurableWrite::Register(Box::new(register(3 << 8, 7))));
    assert!(matches!(one.handle_vote_request(lease(5 << 8, 1), START).vote, Vote::Granted { .. }));
    let others = &mut [(2, &mut one), (3, &mut other)];
    let (record, recovered) =
        recover_from(1, others, SECOND_INCARNATION).expect("recovery, as both others responded");
    let recovered_rank = RegisterRank { ballot: Ballot(4 << 8), revision: Revision(6) };
    assert_eq!((record.ballot, recovered.rank()), (Ballot(5 << 8), recovered_rank));
    voter.complete_recovery(&record, recovered, START);
    assert!(!accept(&mut voter, register(4 << 8, 9), START), "another member has promised ballot 5 << 8");
    assert!(accept(&mut voter, register(5 << 8, 9), START));
    assert!(
        matches!(voter.handle_vote_request(lease(6 << 8, 1), START).vote, Vote::Refused { .. }),
        "a lease granted before the disk was lost may still be valid"
    );
}

#[test]
fn later_incarnation_is_persisted_and_earlier_one_refused() {
    let mut voter = voter_with_register(4 << 8, 6);
    let output = voter.handle_vote_request(recover(2, 7 << 32), START);
    let Some(DurableWrite::VoterRecord(record)) = output.write else { panic!("no write of the incarnation") };
    let mut restarted = restarted_voter(Some(&record), START);
    let vote = restarted.handle_vote_request(recover(2, 6 << 32), START).vote;
    assert!(matches!(vote, Vote::Superseded { incarnation } if incarnation == 7 << 32));
    let again = restarted.handle_vote_request(recover(2, 7 << 32), START);
    assert!(
        matches!(again.vote, Vote::Recovered { .. }) && again.write.is_none(),
        "a repeated request is answered without a write"
    );
    assert_eq!(restarted.response(Vote::StorageFailed).incarnations, BTreeMap::from([(address(2), 7 << 32)]));
}

#[test]
fn failed_record_write_is_repeated_with_next_dependent_vote() {
    for request in [recover(2, 7 << 32), renew(5 << 8, 1)] {
        let mut voter = voter_with_register(4 << 8, 6);
        assert!(
            voter.handle_vote_request(request.clone(), START).write.is_some(),
            "the vote needs a write, which then fails"
        );
        let Some(write) = voter.handle_vote_request(request.clone(), START).write else {
            panic!("voted although the record is not on disk")
        };
        voter.mark_persisted(write);
        assert!(voter.handle_vote_request(request, START).write.is_none(), "the record is on disk already");
    }
}

#[test]
fn record_keeps_its_json_field_names() {
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
    let first_version = r#"{"ballot":7,"holder":null,"founders":[]}"#;
    let read: VoterRecord = serde_json::from_str(first_version).expect("a record of the first version");
    assert_eq!(read, VoterRecord { ballot: Ballot(7), ..VoterRecord::default() });
}

/// Runs three voters through seeded random histories of elections, accept rounds and disk losses. No two registers may
/// be accepted by majorities under one revision, and every later leaseholder has to find the last acknowledged
/// register.
#[test]
fn later_leaseholders_find_every_acknowledged_register() {
    for seed in 0..400 {
        let mut random = random::LinearCongruential(seed);
        let mut voters: Vec<_> = (0..3).map(|_| initial_voter()).collect();
        let mut now = START;
        let mut acknowledged: Option<Register> = None;
        for turn in 1..60u64 {
            now = now.after(LEASE_DURATION);
            let ballot = Ballot(turn << 8);
            // In one turn of six, one voter has lost its disk and recovered.
            if random.draw(6) == 0 {
                let lost = random.draw(3) as usize;
                let mut recovered = restarted_voter(None, now);
                let others = voters.iter_mut().enumerate().filter(|(index, _)| *index != lost);
                let mut others: Vec<_> = others.map(|(index, voter)| (index as u8 + 1, voter)).collect();
                let from_others = recover_from(lost as u8 + 1, &mut others, turn << 32);
                let (record, register) = from_others.expect("recovery, as both others responded");
                recovered.complete_recovery(&record, register, now);
                voters[lost] = recovered;
                now = now.after(LEASE_DURATION);
            }
            let reached: Vec<_> = (0..3).filter(|_| random.draw(3) > 0).collect();
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
                    "seed {seed}: an acknowledged register was lost"
                );
                let same =
                    found.revision > acknowledged.revision || found.evacuated == acknowledged.evacuated;
                assert!(same, "seed {seed}: two registers were accepted under one revision");
            }
            let mut next = Register { ballot, ..found };
            for is_new in [false, true] {
                if is_new {
                    next.revision = Revision(next.revision.0 + 1);
                    next.evacuated = [format!("{turn}")].into();
                }
                let reached: Vec<_> = (0..3).filter(|_| random.draw(4) > 0).collect();
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

mod random {
    /// A linear congruential generator, seeded with its first state.
    pub struct LinearCongruential(pub u64);

    impl LinearCongruential {
        pub fn draw(&mut self, below: u64) -> u64 {
            self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (self.0 >> 33) % below
        }
    }
}
