//! The model checker over voters, the lease and changes of the set of voters; docs/hardening.md tells what is modelled.
//!
//! What is small runs with all tests, to its end. The rest runs by hand, in release mode, with `--ignored --nocapture`,
//! `MODEL_THREADS=4` and, to go further than the table says, `MODEL_DEPTH`.

mod checker;
mod clock_drift;
mod cluster;
mod delivery;
mod describe;
mod exploration;
mod invariants;
mod leaseholder;
mod liveness;
mod member;
mod possible_actions;
mod restart;
mod transitions;

use cluster::{Budget, ClusterModel, FAST_CLOCK, PlantedFault, SLOW_CLOCK};
use exploration::{UNBOUNDED_DEPTH, explore, walk};
use yare::parameterized;

/// `MODEL_WALKS` asks for more.
const WALKS: u64 = 400;
const MAX_WALKS_TO_A_FAULT: u64 = 20_000;
/// Enough to use the budget up.
const WALK_STEPS: usize = 160;

const NONE: Budget = Budget::none();

fn three_members() -> ClusterModel {
    ClusterModel::with_members(3, NONE)
}

/// One of three voters is replaced by a fourth member.
fn one_voter_replaced() -> ClusterModel {
    ClusterModel { member_count: 4, target_voters: vec![0, 1, 3], ..three_members() }.with_clocks_for_all()
}

/// Two of three voters are replaced by two other members.
fn two_voters_replaced() -> ClusterModel {
    ClusterModel { member_count: 5, target_voters: vec![0, 3, 4], ..three_members() }.with_clocks_for_all()
}

/// The leaseholder's clock and those of the others are as far apart as the safety margin allows.
fn clocks_apart() -> ClusterModel {
    ClusterModel { clock_rates: vec![SLOW_CLOCK, FAST_CLOCK, FAST_CLOCK], ..three_members() }
}

/// The smallest configuration in which each mechanism is needed.
fn where_needed(fault: PlantedFault) -> ClusterModel {
    let (model, budget) = match fault {
        PlantedFault::IncarnationsIgnored | PlantedFault::FirstSeedTrusted => {
            (three_members(), Budget { disk_losses: 1, proposals: 1, ..NONE })
        }
        PlantedFault::ChangeWithoutOutgoing => (two_voters_replaced(), Budget { changes_started: 1, ..NONE }),
        PlantedFault::NoRenewalByBothSets => (
            ClusterModel { change_started: true, prompt_votes: true, ..one_voter_replaced() },
            Budget { changes_finished: 1, elections: 1, ..NONE },
        ),
        PlantedFault::NoQuietPeriod => (three_members(), Budget { elections: 1, crashes: 1, ..NONE }),
        PlantedFault::NoSafetyMargin => (clocks_apart(), Budget { ticks: 2, elections: 1, ..NONE }),
        PlantedFault::BallotsNotUnique => (three_members(), Budget { elections: 2, releases: 1, ..NONE }),
        PlantedFault::VoteBeforeWrite => (
            ClusterModel { ticks_since_grant: 2, ..clocks_apart() },
            Budget { elections: 1, renewals: 1, crashes: 1, ..NONE },
        ),
        PlantedFault::UncommittedChangeFinished => (
            ClusterModel { prompt_votes: true, ..two_voters_replaced() },
            Budget { changes_started: 1, changes_finished: 1, timeouts: 1, ..NONE },
        ),
        PlantedFault::ClaimNotRenounced => (
            ClusterModel { lease_held: false, ..three_members() },
            Budget { elections: 2, crashes: 1, inquiries: 1, ..NONE },
        ),
        PlantedFault::OwnVoteNotFirst => (
            ClusterModel { lease_held: false, ..three_members() },
            Budget { elections: 3, timeouts: 1, releases: 1, ..NONE },
        ),
        PlantedFault::RoundsNotChained => (three_members(), Budget { proposals: 2, ..NONE }),
        PlantedFault::FailedWriteForgotten => {
            (three_members(), Budget { proposals: 1, disk_losses: 1, crashes: 1, failed_writes: 1, ..NONE })
        }
    };
    ClusterModel { budget, ..model }
}

#[parameterized(
    incarnations = { PlantedFault::IncarnationsIgnored, 11 },
    first_seed = { PlantedFault::FirstSeedTrusted, 10 },
    outgoing = { PlantedFault::ChangeWithoutOutgoing, 6 },
    renewal = { PlantedFault::NoRenewalByBothSets, 5 },
    quiet = { PlantedFault::NoQuietPeriod, 9 },
    margin = { PlantedFault::NoSafetyMargin, 9 },
    ballots = { PlantedFault::BallotsNotUnique, 17 },
    disk = { PlantedFault::VoteBeforeWrite, 12 },
    uncommitted = { PlantedFault::UncommittedChangeFinished, 7 },
    renounced = { PlantedFault::ClaimNotRenounced, 13 },
    failed_write = { PlantedFault::FailedWriteForgotten, 15 },
    unchained = { PlantedFault::RoundsNotChained, 12 },
)]
fn a_planted_fault_is_caught(fault: PlantedFault, max_steps: usize) {
    let model = ClusterModel { planted_fault: Some(fault), ..where_needed(fault) };
    let violation = explore(&format!("{fault:?}"), &model, UNBOUNDED_DEPTH).expect("a path to what breaks");
    assert!(violation.steps <= max_steps, "{} steps", violation.steps);
}

fn assert_nothing_breaks(name: &str, model: ClusterModel, depth: usize) {
    assert_eq!(explore(name, &model, depth), None);
}

/// All states, with the mechanism in its place.
#[parameterized(
    incarnations = { PlantedFault::IncarnationsIgnored },
    outgoing = { PlantedFault::ChangeWithoutOutgoing },
    renewal = { PlantedFault::NoRenewalByBothSets },
    quiet = { PlantedFault::NoQuietPeriod },
    margin = { PlantedFault::NoSafetyMargin },
    ballots = { PlantedFault::BallotsNotUnique },
    uncommitted = { PlantedFault::UncommittedChangeFinished },
    unchained = { PlantedFault::RoundsNotChained },
)]
fn nothing_breaks_with_the_mechanism(fault: PlantedFault) {
    assert_nothing_breaks(&format!("with all, where {fault:?} breaks"), where_needed(fault), UNBOUNDED_DEPTH);
}

#[parameterized(
    disk = { PlantedFault::VoteBeforeWrite },
    renounced = { PlantedFault::ClaimNotRenounced },
    failed_write = { PlantedFault::FailedWriteForgotten },
)]
#[ignore = "larger: by hand in release mode"]
fn nothing_breaks_with_the_mechanism_either(fault: PlantedFault) {
    assert_nothing_breaks(&format!("with all, where {fault:?} breaks"), where_needed(fault), UNBOUNDED_DEPTH);
}

/// From each state, somebody comes to hold the lease once all members are up and all messages are delivered.
#[parameterized(
    crash = { Budget { elections: 1, crashes: 1, ..NONE } },
    disk_loss = { Budget { disk_losses: 1, ..NONE } },
    time = { Budget { ticks: 2, resignations: 1, ..NONE } },
)]
fn a_leaseholder_comes_about_from_every_state(budget: Budget) {
    let model = ClusterModel { check_liveness: true, budget, ..three_members() };
    assert_nothing_breaks("liveness", model, UNBOUNDED_DEPTH);
}

/// More losses than are tolerated: as long as no disk is lost, no invariant is broken, and the cluster works again once they
/// are back.
#[test]
fn two_of_three_down_at_once_cost_time_alone() {
    let model = ClusterModel {
        tolerated_losses: 2,
        check_liveness: true,
        prompt_votes: true,
        budget: Budget { crashes: 2, proposals: 1, ..NONE },
        ..three_members()
    };
    assert_nothing_breaks("two down", model, UNBOUNDED_DEPTH);
}

/// Two of three disks lost at once are more than the system tolerates, and this shows what breaks: what these two alone had
/// accepted is gone where the third one never had any register, as the cluster then starts anew like one whose power failed
/// in its first moments.
#[test]
fn two_of_three_disks_lost_at_once_lose_what_they_alone_had_accepted() {
    let model = ClusterModel {
        tolerated_losses: 2,
        prompt_votes: true,
        budget: Budget { disk_losses: 2, proposals: 1, ..NONE },
        ..three_members()
    };
    assert!(explore("two disks", &model, UNBOUNDED_DEPTH).is_some());
}

const MIXED: Budget = Budget { ticks: 2, elections: 2, renewals: 1, proposals: 1, crashes: 1, ..NONE };
const CHANGE: Budget = Budget { changes_started: 1, changes_finished: 1, renewals: 1, elections: 1, ..NONE };

#[parameterized(
    late_votes = { "3 members, late votes, a crash", 10, ClusterModel { budget: MIXED, ..clocks_apart() } },
    disk_losses = { "3 members, late votes, 2 disks lost", 12, ClusterModel {
        budget: Budget { ticks: 2, elections: 1, proposals: 1, disk_losses: 2, ..NONE },
        ..three_members()
    } },
    all = { "3 members, all but changes", 8, ClusterModel {
        prompt_votes: true,
        budget: Budget { disk_losses: 1, duplicates: 1, failed_writes: 1, inquiries: 1, ..MIXED },
        ..clocks_apart()
    } },
    adoptions = { "3 members, late votes, registers adopted", 9, ClusterModel {
        budget: Budget { adoptions: 1, ..MIXED },
        ..clocks_apart()
    } },
    replaced = { "3 members, one replaced", 9, ClusterModel {
        prompt_votes: true,
        budget: CHANGE,
        ..one_voter_replaced()
    } },
    replaced_disk_loss = { "3 members, a replacement finished, a disk lost", 9, ClusterModel {
        change_started: true,
        prompt_votes: true,
        budget: Budget {
            changes_finished: 1, renewals: 1, elections: 1, disk_losses: 1, proposals: 1, ..NONE
        },
        ..one_voter_replaced()
    } },
    grow = { "3 members grow to 5", 9, ClusterModel {
        member_count: 5,
        target_voters: vec![0, 1, 2, 3, 4],
        prompt_votes: true,
        budget: CHANGE,
        ..three_members()
    }.with_clocks_for_all() },
    four = { "4 members, a crash, a disk lost", 8, ClusterModel {
        prompt_votes: true,
        budget: Budget { disk_losses: 1, ..MIXED },
        ..ClusterModel::with_members(4, NONE)
    } },
    five = { "5 members, a crash, 2 disks lost", 7, ClusterModel {
        prompt_votes: true,
        budget: Budget { disk_losses: 2, ..MIXED },
        ..ClusterModel::with_members(5, NONE)
    } },
    live = { "3 members, a leaseholder from each state", 8, ClusterModel {
        prompt_votes: true,
        check_liveness: true,
        budget: Budget { ticks: 2, elections: 1, proposals: 1, crashes: 1, disk_losses: 1, ..NONE },
        ..three_members()
    } },
)]
#[ignore = "millions of states: by hand in release mode"]
fn nothing_breaks_in_a_larger_cluster(name: &str, depth: usize, model: ClusterModel) {
    assert_nothing_breaks(name, model, depth);
}

/// All kinds of events, with votes that come late, also after a crash or the loss of their voter's disk.
const EVERYTHING: Budget = Budget {
    ticks: 8,
    elections: 5,
    renewals: 8,
    proposals: 4,
    changes_started: 2,
    changes_finished: 3,
    resignations: 1,
    crashes: 2,
    disk_losses: 2,
    inquiries: 1,
    duplicates: 1,
    failed_writes: 1,
    timeouts: 1,
    adoptions: 2,
    releases: 2,
};

/// One of three voters is replaced, and then another one.
fn two_changes() -> ClusterModel {
    ClusterModel {
        member_count: 5,
        target_voters: vec![0, 1, 3],
        later_target_voters: vec![0, 3, 4],
        budget: EVERYTHING,
        ..three_members()
    }
    .with_clocks_for_all()
}

/// Three voters become five, and one of these is replaced.
fn growth_and_change() -> ClusterModel {
    ClusterModel {
        member_count: 6,
        target_voters: vec![0, 1, 2, 3, 4],
        later_target_voters: vec![0, 1, 2, 3, 5],
        budget: EVERYTHING,
        ..three_members()
    }
    .with_clocks_for_all()
}

#[parameterized(
    replaced_twice = { "3 members, two replaced one after the other", two_changes() },
    grown_and_replaced = { "3 members grow to 5, then one replaced", growth_and_change() },
    no_change = { "3 members, clocks apart", ClusterModel { budget: EVERYTHING, ..clocks_apart() } },
)]
fn nothing_breaks_on_random_walks(name: &str, model: ClusterModel) {
    let report = walk(name, &model, WALKS, WALK_STEPS);
    assert_eq!(report.broken, None);
    assert!(report.all_changes_made > 0 || model.target_voters.is_empty(), "walks that get there");
}

/// Walks find what breadth-first search finds too, and more: a ballot that is taken twice breaks after 13 steps, in the
/// 3,240,750th state of the smallest shape.
#[parameterized(
    outgoing = { PlantedFault::ChangeWithoutOutgoing, two_changes() },
    unchained = { PlantedFault::RoundsNotChained, two_changes() },
    own_vote = { PlantedFault::OwnVoteNotFirst, where_needed(PlantedFault::OwnVoteNotFirst) },
)]
fn random_walks_catch_a_planted_fault(fault: PlantedFault, model: ClusterModel) {
    let model = ClusterModel { planted_fault: Some(fault), ..model };
    let report = walk(&format!("{fault:?}"), &model, MAX_WALKS_TO_A_FAULT, WALK_STEPS);
    assert!(report.broken.is_some(), "{report:?}");
}
