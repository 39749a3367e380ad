//! The model checker over voters, lease and change of members; docs/hardening-model.md tells what is modelled.

mod liveness;
mod machine;
mod steps;

use machine::{Budget, FAST, Lease, Planted, SLOW, State};
use stateright::{Checker, Model};
use std::time::Instant;

fn explore(name: &str, lease: Lease) -> Option<usize> {
    let began = Instant::now();
    let threads = std::env::var("MODEL_THREADS").ok().and_then(|n| n.parse().ok()).unwrap_or(2);
    let checker = lease.clone().checker().threads(threads).spawn_bfs().join();
    println!(
        "{name}: {} states ({} unique), depth {}, {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        began.elapsed()
    );
    let mut length = None;
    for (what, path) in checker.discoveries() {
        println!("broken: {what}");
        for (state, action) in path.into_vec() {
            if let Some(action) = action {
                println!("    {}", lease.tell(&state, &action));
                length = Some(length.unwrap_or(0) + 1)
            }
        }
    }
    length
}

fn scenarios(planted: Planted) -> Lease {
    let b = Budget::default();
    let lease = match planted {
        Planted::IncarnationsNotCounted | Planted::FirstSeedBelieved => {
            Lease::of(3, Budget { wipes: 1, values: 1, ..b })
        }
        Planted::ChangeWithoutOutgoing => Lease {
            members: 5,
            founders: 3,
            change: vec![0, 3, 4],
            ..Lease::of(3, Budget { changes: 1, ..b })
        }
        .clocked(),
        Planted::NoRenewalByBoth => Lease {
            members: 4,
            change: vec![0, 1, 3],
            ..Lease::of(3, Budget { changes: 1, conclusions: 1, renewals: 1, tries: 1, ..b })
        }
        .clocked(),
        Planted::NoQuietTerm => Lease::of(3, Budget { tries: 1, crashes: 1, ..b }),
        Planted::NoMargin => Lease {
            clocks: vec![SLOW, FAST, FAST],
            ..Lease::of(3, Budget { ticks: 3, tries: 1, renewals: 1, ..b })
        },
        Planted::BallotsNotUnique => Lease::of(3, Budget { tries: 2, releases: 1, ..b }),
        Planted::PromiseBeforeDisk => Lease {
            clocks: vec![SLOW, FAST, FAST],
            ..Lease::of(3, Budget { ticks: 2, tries: 1, renewals: 1, crashes: 1, ..b })
        },
        Planted::ConcludedUnkept => Lease {
            members: 5,
            change: vec![0, 3, 4],
            ..Lease::of(3, Budget { changes: 1, conclusions: 1, timeouts: 1, ..b })
        }
        .clocked(),
        Planted::NotDisowned => {
            Lease { held: false, ..Lease::of(3, Budget { tries: 2, crashes: 1, inquiries: 1, ..b }) }
        }
        Planted::RefusalForgotten => {
            Lease::of(3, Budget { values: 1, wipes: 1, crashes: 1, refusals: 1, ..b })
        }
    };
    Lease { planted: Some(planted), ..lease }
}

#[yare::parameterized(
    incarnations = { Planted::IncarnationsNotCounted },
    first_seed = { Planted::FirstSeedBelieved },
    outgoing = { Planted::ChangeWithoutOutgoing },
    renewal = { Planted::NoRenewalByBoth },
    quiet = { Planted::NoQuietTerm },
    margin = { Planted::NoMargin },
    ballots = { Planted::BallotsNotUnique },
    disk = { Planted::PromiseBeforeDisk },
    concluded = { Planted::ConcludedUnkept },
    disowned = { Planted::NotDisowned },
    refusal = { Planted::RefusalForgotten },
)]
fn planted(planted: Planted) {
    let lease = scenarios(planted);
    let whole = explore(&format!("without {planted:?}"), Lease { planted: None, ..lease.clone() });
    let caught = explore(&format!("{planted:?}"), lease);
    assert!(caught.is_some(), "not caught");
    assert!(whole.is_none(), "broken without");
}
