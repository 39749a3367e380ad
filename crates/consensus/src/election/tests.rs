use super::*;
use crate::membership::{begin_change, initial_membership};
use std::time::Duration;
use vanewharf_protocol::messages::Revision;

const START: Timestamp = Timestamp(1_000_000_000);

fn addr(no: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, no], 7600))
}

fn set(voters: std::ops::Range<u8>) -> Membership {
    initial_membership(voters.map(addr).collect())
}

fn cast(vote: Vote) -> VoteResponse {
    VoteResponse { incarnation: 0, incarnations: BTreeMap::new(), vote }
}

fn register(ballot: u64, no: u64, membership: Membership) -> Register {
    Register { ballot: Ballot(ballot), revision: Revision(no), membership, ..Register::empty() }
}

fn granted(register: Register) -> VoteResponse {
    cast(Vote::Granted { register, quota_divisor: 8 })
}

fn refused(promised: u64) -> VoteResponse {
    cast(Vote::Refused { promised: Ballot(promised), leaseholder: None })
}

fn rank(ballot: u64, no: u64) -> RegisterRank {
    RegisterRank { ballot: Ballot(ballot), revision: Revision(no) }
}

#[test]
fn an_election_is_won_with_the_newest_register_of_a_majority() {
    let mut election = Election::start(addr(1), set(1..4), rank(1, 1));
    assert!(election.record_response(addr(1), granted(register(1, 1, set(1..4)))).is_continue());
    assert!(election.record_response(addr(2), refused(9)).is_continue());
    let newer = register(2, 4, set(1..4));
    let outcome = election.record_response(addr(3), granted(newer.clone()));
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::Won(Box::new(newer))));
    assert_eq!((election.highest_refused_ballot(), election.proxy_count()), (Ballot(9), 8));
}

#[test]
fn voters_of_a_newer_register_are_asked_besides_and_needed() {
    let mut election = Election::start(addr(1), set(1..4), rank(1, 1));
    assert!(election.record_response(addr(1), granted(register(1, 1, set(1..4)))).is_continue());
    let change = begin_change(&set(1..4), &[addr(1), addr(4), addr(5)].into());
    let newer = register(1, 2, change);
    let outcome = election.record_response(addr(2), granted(newer.clone()));
    let others = [3, 4, 5].map(addr).into();
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::QueryAlso(others)));
    assert!(
        election.record_response(addr(3), granted(register(1, 1, set(1..4)))).is_continue(),
        "of the new set only 1"
    );
    let outcome = election.record_response(addr(5), granted(register(0, 0, set(1..4))));
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::Won(Box::new(newer))));
}

#[test]
fn one_that_has_left_does_not_lead() {
    let mut election = Election::start(addr(1), set(1..4), rank(1, 1));
    assert!(election.record_response(addr(1), granted(register(1, 1, set(1..4)))).is_continue());
    assert!(matches!(
        election.record_response(addr(2), granted(register(1, 2, set(2..5)))),
        ControlFlow::Break(ElectionOutcome::QueryAlso(others)) if others == [3, 4].map(addr).into()
    ));
    let outcome = election.record_response(addr(3), granted(register(1, 1, set(1..4))));
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::NotAVoter));
}

#[test]
fn a_register_is_kept_by_a_majority_or_hopeless() {
    let begin = || AcceptRound::start(&register(1, 2, set(1..4)));
    let mut keeping = begin();
    assert!(keeping.record_response(addr(1), cast(Vote::Accepted)).is_continue());
    assert!(keeping.record_response(addr(2), refused(2)).is_continue());
    assert_eq!(keeping.record_response(addr(3), cast(Vote::Accepted)), ControlFlow::Break(true));
    let mut keeping = begin();
    assert!(keeping.record_response(addr(1), refused(2)).is_continue());
    assert!(keeping.record_response(addr(2), cast(Vote::Accepted)).is_continue());
    assert_eq!(keeping.record_response(addr(3), refused(2)), ControlFlow::Break(false));
}

#[test]
fn a_renewal_falls_short_or_is_overtaken() {
    let begin = || RenewalRound::start(Ballot(4), set(1..4));
    let mut renewing = begin();
    assert!(renewing.record_response(addr(1), cast(Vote::Accepted)).is_continue());
    assert!(renewing.record_response(addr(2), refused(3)).is_continue());
    assert_eq!(renewing.outcome(), RenewalOutcome::Incomplete, "it has promised nothing higher");
    assert!(renewing.record_response(addr(3), refused(5)).is_continue());
    assert_eq!(renewing.outcome(), RenewalOutcome::Superseded);
    let mut renewing = begin();
    assert!(renewing.record_response(addr(1), refused(5)).is_continue());
    assert!(renewing.record_response(addr(2), cast(Vote::Accepted)).is_continue());
    assert!(renewing.record_response(addr(3), cast(Vote::Accepted)).is_break(), "a majority is enough");
    assert_eq!(renewing.outcome(), RenewalOutcome::Renewed);
}

#[test]
fn a_term_lasts_from_when_it_was_asked_for() {
    let term = HeldLease::granted(Ballot(1), START);
    let ends = START.after(LEASE_DURATION - LEASE_SAFETY_MARGIN);
    assert!(term.is_valid(ends.before(Duration::from_millis(1))) && !term.is_valid(ends));
    assert!(!term.may_serve(START), "not before what was kept is kept under it");
    let later = term.renewed(START.after(LEASE_DURATION / 2));
    assert!(later.is_valid(ends) && later.renewed(START) == later, "an older answer takes nothing back");
}

#[test]
fn who_says_that_it_holds_nothing_never_wins_by_votes_on_their_way() {
    let mut claim = BallotClaim::new(Ballot(7));
    let term = Some(HeldLease::granted(Ballot(7), START));
    assert!(claim.answer_inquiry(Ballot(7), term, START) && claim.is_valid_for(Ballot(7)));
    assert!(
        !claim.answer_inquiry(Ballot(3), term, START) && claim.is_valid_for(Ballot(7)),
        "that is an older one"
    );
    assert!(!claim.answer_inquiry(Ballot(7), None, START) && !claim.is_valid_for(Ballot(7)));
    let mut lapsed = BallotClaim::new(Ballot(7));
    assert!(
        !lapsed.answer_inquiry(Ballot(7), term, START.after(LEASE_DURATION))
            && !lapsed.is_valid_for(Ballot(7))
    );
}

#[test]
fn one_with_amnesia_counts_above_what_was_heard_of_it_and_asks_anew() {
    let seeds = vec![addr(1), addr(2), addr(3)];
    let mut recovering = RecoveryRound::start(addr(1), seeds, 0);
    let first = recovering.incarnation();
    let known = || cast(Vote::Recovered { promised: Ballot(5), register: register(4, 6, set(1..4)) });
    recovering.record_response(addr(2), known());
    recovering.record_response(addr(3), cast(Vote::Superseded { incarnation: first + 1 }));
    assert_eq!(recovering.next_step(0), RecoveryStep::Query([2, 3].map(addr).into()));
    assert!(recovering.incarnation() > first + 1 && recovering.respondents().is_empty());
    recovering.record_response(addr(2), known());
    assert!(matches!(recovering.next_step(0), RecoveryStep::Query(_)), "one other is no majority");
    recovering.record_response(addr(3), known());
    let RecoveryStep::Restore(promise, register) = recovering.next_step(0) else {
        panic!("both others told")
    };
    assert_eq!((promise.ballot, promise.incarnation), (Ballot(5), recovering.incarnation()));
    assert_eq!(register.rank(), rank(4, 6));
}
