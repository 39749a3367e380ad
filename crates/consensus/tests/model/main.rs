//! The model checker over voters, lease and change of members; docs/hardening.md tells what is
//! modelled. What is small runs with all tests, to its end; the rest by hand, in release mode, with `--ignored
//! --nocapture`, `MODEL_THREADS=4` and, to go further than the table says, `MODEL_DEPTH`.

mod drift;
mod liveness;
mod machine;
mod steps;

use machine::{Budget, FAST, Lease, Planted, SLOW};
use stateright::{Checker, HasDiscoveries, Model};
use std::time::Instant;
use yare::parameterized;

/// The first property that is broken, with a shortest path, or nothing; all states within the budget and the
/// depth.
fn explore(name: &str, lease: &Lease, depth: usize) -> Option<(&'static str, usize)> {
    let began = Instant::now();
    let said = |name: &str| std::env::var(name).ok().and_then(|said| said.parse().ok());
    let (threads, depth) = (said("MODEL_THREADS").unwrap_or(1), said("MODEL_DEPTH").unwrap_or(depth));
    let checker = lease.clone().checker().target_max_depth(depth).threads(threads);
    let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let (all, unique) = (checker.state_count(), checker.unique_state_count());
    let (reached, took) = (checker.max_depth(), began.elapsed().as_secs_f64());
    println!("{name}: {unique} states ({all} with repeats), depth {reached} of {depth}, {took:.1} s");
    let (what, path) = checker.discoveries().into_iter().next()?;
    let steps: Vec<_> =
        path.into_vec().into_iter().filter_map(|(state, step)| Some((state, step?))).collect();
    println!("  broken after {} steps: {what}", steps.len());
    steps.iter().for_each(|(state, step)| println!("    {}", lease.tell(state, step)));
    Some((what, steps.len()))
}

const ENOUGH: usize = 200;
const NONE: Budget = Budget::none();

fn swap() -> Lease {
    Lease { members: 4, change: vec![0, 1, 3], ..Lease::of(3, NONE) }.clocked()
}

fn apart() -> Lease {
    Lease { clocks: vec![SLOW, FAST, FAST], ..Lease::of(3, NONE) }
}

/// Where each mechanism is needed, in as few steps as may be.
fn needed(planted: Planted) -> Lease {
    let with = |lease: Lease, budget: Budget| Lease { budget, ..lease };
    let three = Lease::of(3, NONE);
    match planted {
        Planted::IncarnationsNotCounted | Planted::FirstSeedBelieved => {
            with(three, Budget { wipes: 1, values: 1, ..NONE })
        }
        Planted::ChangeWithoutOutgoing => {
            let lease = Lease { members: 5, change: vec![0, 3, 4], ..three }.clocked();
            with(lease, Budget { changes: 1, ..NONE })
        }
        Planted::NoRenewalByBoth => {
            let lease = Lease { begun: true, prompt: true, ..swap() };
            with(lease, Budget { conclusions: 1, tries: 1, ..NONE })
        }
        Planted::NoQuietTerm => with(three, Budget { tries: 1, crashes: 1, ..NONE }),
        Planted::NoMargin => with(apart(), Budget { ticks: 2, tries: 1, ..NONE }),
        Planted::BallotsNotUnique => with(three, Budget { tries: 2, releases: 1, ..NONE }),
        Planted::PromiseBeforeDisk => {
            let lease = Lease { since: 2, ..apart() };
            with(lease, Budget { tries: 1, renewals: 1, crashes: 1, ..NONE })
        }
        Planted::ConcludedUnkept => {
            let lease = Lease { members: 5, change: vec![0, 3, 4], prompt: true, ..three }.clocked();
            with(lease, Budget { changes: 1, conclusions: 1, timeouts: 1, ..NONE })
        }
        Planted::NotDisowned => {
            let lease = Lease { held: false, ..three };
            with(lease, Budget { tries: 2, crashes: 1, inquiries: 1, ..NONE })
        }
        Planted::RefusalForgotten => {
            with(three, Budget { values: 1, wipes: 1, crashes: 1, refusals: 1, ..NONE })
        }
    }
}

#[parameterized(
    incarnations = { Planted::IncarnationsNotCounted, 11 },
    first_seed = { Planted::FirstSeedBelieved, 10 },
    outgoing = { Planted::ChangeWithoutOutgoing, 6 },
    renewal = { Planted::NoRenewalByBoth, 5 },
    quiet = { Planted::NoQuietTerm, 9 },
    margin = { Planted::NoMargin, 9 },
    ballots = { Planted::BallotsNotUnique, 17 },
    disk = { Planted::PromiseBeforeDisk, 12 },
    concluded = { Planted::ConcludedUnkept, 7 },
    disowned = { Planted::NotDisowned, 13 },
    refusal = { Planted::RefusalForgotten, 15 },
)]
fn a_mechanism_taken_out_is_caught(planted: Planted, most: usize) {
    let lease = Lease { planted: Some(planted), ..needed(planted) };
    let (_, steps) = explore(&format!("{planted:?}"), &lease, ENOUGH).expect("a path to what breaks");
    assert!(steps <= most, "{steps} steps");
}

fn whole(name: &str, lease: Lease, depth: usize) {
    assert_eq!(explore(name, &lease, depth), None);
}

/// All states, with the mechanism in its place.
#[parameterized(
    incarnations = { Planted::IncarnationsNotCounted },
    outgoing = { Planted::ChangeWithoutOutgoing },
    renewal = { Planted::NoRenewalByBoth },
    quiet = { Planted::NoQuietTerm },
    margin = { Planted::NoMargin },
    ballots = { Planted::BallotsNotUnique },
    concluded = { Planted::ConcludedUnkept },
)]
fn with_the_mechanism_nothing_breaks(planted: Planted) {
    whole(&format!("with all, where {planted:?} breaks"), needed(planted), ENOUGH);
}

#[parameterized(
    disk = { Planted::PromiseBeforeDisk },
    disowned = { Planted::NotDisowned },
    refusal = { Planted::RefusalForgotten },
)]
#[ignore = "larger: by hand in release mode"]
fn with_the_mechanism_nothing_breaks_either(planted: Planted) {
    whole(&format!("with all, where {planted:?} breaks"), needed(planted), ENOUGH);
}

/// From each state a holder comes about once all are up and all is delivered.
#[parameterized(
    crash = { Budget { tries: 1, crashes: 1, ..NONE } },
    wipe = { Budget { wipes: 1, ..NONE } },
    time = { Budget { ticks: 2, leaves: 1, ..NONE } },
)]
fn a_holder_comes_about_from_every_state(budget: Budget) {
    whole("liveness", Lease { live: true, budget, ..Lease::of(3, NONE) }, ENOUGH);
}

/// More than may be lost: without disks lost, none of the rules is broken, and all goes on once they are
/// back.
#[test]
fn two_of_three_down_at_once_cost_time_alone() {
    let budget = Budget { crashes: 2, values: 1, ..NONE };
    whole("two down", Lease { losses: 2, live: true, prompt: true, budget, ..Lease::of(3, NONE) }, ENOUGH);
}

/// Two of three disks lost at once are beyond what may be lost, and what breaks is told here: what the two
/// kept alone is gone, where the third never had any register, as a system whose power went in its first
/// moments is founded again.
#[test]
fn two_of_three_disks_lost_at_once_lose_what_they_alone_kept() {
    let budget = Budget { wipes: 2, values: 1, ..NONE };
    let lease = Lease { losses: 2, prompt: true, budget, ..Lease::of(3, NONE) };
    assert!(explore("two disks", &lease, ENOUGH).is_some());
}

const MIXED: Budget = Budget { ticks: 2, tries: 2, renewals: 1, values: 1, crashes: 1, ..NONE };

#[parameterized(
    late_votes = { "3 members, late votes, a crash", 10, Lease { budget: MIXED, ..apart() } },
    wipes = { "3 members, late votes, 2 wipes", 12, Lease {
        budget: Budget { ticks: 2, tries: 1, values: 1, wipes: 2, ..NONE }, ..Lease::of(3, NONE)
    } },
    all = { "3 members, all but changes", 8, Lease {
        prompt: true, budget: Budget { wipes: 1, repeats: 1, refusals: 1, inquiries: 1, ..MIXED }, ..apart()
    } },
    learns = { "3 members, late votes, registers learnt", 9, Lease {
        budget: Budget { learns: 1, ..MIXED }, ..apart()
    } },
    swapped = { "3 members, one swapped", 9, Lease {
        prompt: true, budget: Budget { changes: 1, conclusions: 1, renewals: 1, tries: 1, ..NONE }, ..swap()
    } },
    swapped_wipe = { "3 members, a swap concluded, a wipe", 9, Lease {
        begun: true,
        prompt: true,
        budget: Budget { conclusions: 1, renewals: 1, tries: 1, wipes: 1, values: 1, ..NONE },
        ..swap()
    } },
    grow = { "3 members grow to 5", 9, Lease {
        members: 5,
        change: vec![0, 1, 2, 3, 4],
        prompt: true,
        budget: Budget { changes: 1, conclusions: 1, renewals: 1, tries: 1, ..NONE },
        ..Lease::of(3, NONE)
    }.clocked() },
    four = { "4 members, a crash, a wipe", 8, Lease {
        prompt: true, budget: Budget { wipes: 1, ..MIXED }, ..Lease::of(4, NONE)
    } },
    five = { "5 members, a crash, 2 wipes", 7, Lease {
        prompt: true, budget: Budget { wipes: 2, ..MIXED }, ..Lease::of(5, NONE)
    } },
    live = { "3 members, a holder from each state", 8, Lease {
        prompt: true,
        live: true,
        budget: Budget { ticks: 2, tries: 1, values: 1, crashes: 1, wipes: 1, ..NONE },
        ..Lease::of(3, NONE)
    } },
)]
#[ignore = "millions of states: by hand in release mode"]
fn deep(name: &str, depth: usize, lease: Lease) {
    whole(name, lease, depth);
}
