use super::*;
use vanewharf_mailroom::messages::RegisterNo;

const START: At = At(1_000_000_000);

fn addr(no: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, no], 7600))
}

fn lease(ballot: u64, no: u8) -> VoteRequest {
    VoteRequest::Lease { ballot: Ballot(ballot), holder: addr(no) }
}

fn promised(ballot: u64) -> Promise {
    Promise { ballot: Ballot(ballot), holder: None, voters: Vec::new(), doors: 0 }
}

fn register(ballot: u64, no: u64) -> Register {
    Register { ballot: Ballot(ballot), no: RegisterNo(no), ..Register::none() }
}

fn keep(voter: &mut Voter, kept: Register, now: At) -> bool {
    let step = voter.hear(VoteRequest::Accept { register: kept }, now);
    step.save.into_iter().for_each(|save| voter.saved(save));
    matches!(step.vote, Vote::Accepted)
}

#[test]
fn one_holder_at_a_time_and_none_right_after_a_restart() {
    let mut voter = Voter::start(None, None, true, START);
    assert!(matches!(voter.hear(lease(1 << 8, 1), START).vote, Vote::Granted { .. }));
    let (soon, later) = (START.after(TERM / 2), START.after(TERM));
    assert!(matches!(voter.hear(lease(2 << 8, 2), soon).vote, Vote::Refused { .. }), "it is held");
    let renew = |ballot| VoteRequest::Renew { ballot: Ballot(ballot), holder: addr(1) };
    assert!(matches!(voter.hear(renew(1 << 8), soon).vote, Vote::Accepted));
    assert!(matches!(voter.hear(lease(2 << 8, 2), later).vote, Vote::Refused { .. }), "it was renewed");
    assert!(matches!(voter.hear(lease(2 << 8, 2), soon.after(TERM)).vote, Vote::Granted { .. }));
    assert!(matches!(voter.hear(renew(1 << 8), later.after(TERM)).vote, Vote::Refused { .. }));
    let mut back = Voter::start(Some(&promised(2 << 8)), None, false, START);
    assert!(
        matches!(back.hear(lease(3 << 8, 1), soon).vote, Vote::Refused { .. }),
        "granted before, perhaps"
    );
    assert!(matches!(back.hear(lease(3 << 8, 1), later).vote, Vote::Granted { .. }));
}

#[test]
fn a_restart_waits_no_longer_once_the_one_sworn_to_disowns_the_lease() {
    let mut back = Voter::start(Some(&promised(2 << 8)), None, false, START);
    back.released(Ballot(1 << 8), START);
    assert!(!back.vacant(START), "that is another's");
    back.released(Ballot(2 << 8), START);
    assert!(back.vacant(START));
}

#[test]
fn what_was_kept_under_an_older_ballot_gives_way_and_nothing_older_is_kept() {
    let mut voter = Voter::start(None, None, true, START);
    assert!(keep(&mut voter, register(1 << 8, 3), START));
    assert!(matches!(voter.hear(lease(2 << 8, 2), START).vote, Vote::Granted { .. }));
    assert!(!keep(&mut voter, register(1 << 8, 4), START), "promised to another since");
    assert!(keep(&mut voter, register(2 << 8, 3), START));
    assert!(!keep(&mut voter, register(2 << 8, 2), START), "older");
    assert_eq!(voter.register().rank(), (Ballot(2 << 8), RegisterNo(3)));
}

#[test]
fn the_count_of_doors_outlasts_a_restart_and_is_told_with_the_grant() {
    let mut voter = Voter::start(None, None, true, START);
    let saved = voter.count(8);
    assert!(voter.count(8).is_none() && voter.count(0).is_none(), "no news");
    let Some(Save::Promise(record)) = saved else { panic!("{saved:?}") };
    let mut back = Voter::start(Some(&record), None, false, START);
    let granted = back.hear(lease(1 << 8, 1), START.after(TERM)).vote;
    assert!(matches!(granted, Vote::Granted { doors: 8, .. }), "{granted:?}");
}

#[test]
fn what_was_not_saved_is_not_held() {
    let mut voter = Voter::start(None, None, true, START);
    let step = voter.hear(VoteRequest::Accept { register: register(1 << 8, 1) }, START);
    assert!(step.save.is_some(), "the disk then refuses it");
    assert_eq!(voter.register().no, RegisterNo(0));
}

#[test]
fn one_that_forgot_does_nothing_until_it_is_reminded() {
    let mut voter = Voter::start(None, None, false, START);
    for vote_request in
        [lease(1 << 8, 1), VoteRequest::Accept { register: register(1 << 8, 1) }, VoteRequest::Recover]
    {
        assert!(matches!(voter.hear(vote_request, START.after(TERM)).vote, Vote::Unable));
    }
    let told = vec![(Ballot(5 << 8), register(3 << 8, 7)), (Ballot(4 << 8), register(4 << 8, 6))];
    let (promised, register) = recovered(told);
    assert_eq!(register.rank(), (Ballot(4 << 8), RegisterNo(6)));
    voter.restore(promised, register, START);
    assert!(!keep(&mut voter, self::register(4 << 8, 9), START), "the others have promised to 5");
    assert!(keep(&mut voter, self::register(5 << 8, 9), START));
}

#[test]
fn one_that_forgot_goes_by_a_majority_or_by_all_where_nothing_was_ever_kept() {
    let told = |no| (Ballot(1 << 8), register(1 << 8, no));
    assert!(enough(&[told(3), told(3)], 0, 2, 3));
    assert!(!enough(&[told(3)], 1, 2, 3), "the other may remember more");
    assert!(enough(&[told(0)], 1, 2, 3) && enough(&[], 2, 2, 3), "nobody has anything");
    assert!(!enough(&[], 1, 2, 3) && !enough(&[told(0)], 0, 2, 3), "one was not heard");
}

/// All histories of three voters and two holders of a fixed length, by a seeded walk: no two words are ever kept by
/// majorities under one number, and none that was is lost to a later holder.
#[test]
fn what_a_majority_kept_is_found_by_every_later_holder() {
    use rand_walk::Walk;
    for seed in 0..400 {
        let mut walk = Walk(seed);
        let mut voters: Vec<_> = (0..3).map(|_| Voter::start(None, None, true, START)).collect();
        let mut now = START;
        let mut acknowledged: Option<Register> = None;
        for turn in 1..60u64 {
            now = now.after(TERM);
            let ballot = Ballot(turn << 8);
            // Some of the voters hear, in any order; one may have lost its disk since, and recovered.
            if walk.draw(6) == 0 {
                let lost = walk.draw(3) as usize;
                let mut fresh = Voter::start(None, None, false, now);
                let others = (0..3).filter(|&no| no != lost);
                let told = others.map(|no| (voters[no].promised(), voters[no].register().clone())).collect();
                let (promised, register) = recovered(told);
                fresh.restore(promised, register, now);
                voters[lost] = fresh;
                now = now.after(TERM);
            }
            let heard: Vec<_> = (0..3).filter(|_| walk.draw(3) > 0).collect();
            let mut granted = Vec::new();
            for &no in &heard {
                let vote_request = VoteRequest::Lease { ballot, holder: addr(1) };
                if let Vote::Granted { register, .. } = voters[no].hear(vote_request, now).vote {
                    granted.push(register);
                }
            }
            if granted.len() < majority(3) {
                continue;
            }
            let found = granted.into_iter().max_by_key(Register::rank).expect("a majority");
            if let Some(acknowledged) = &acknowledged {
                assert!(found.no >= acknowledged.no, "seed {seed}: an acknowledged register is lost");
                let same = found.no > acknowledged.no || found.evacuated == acknowledged.evacuated;
                assert!(same, "seed {seed}: two words under one number");
            }
            let mut next = Register { ballot, ..found };
            for fresh in [false, true] {
                if fresh {
                    next.no = RegisterNo(next.no.0 + 1);
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
