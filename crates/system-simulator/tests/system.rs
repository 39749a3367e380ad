//! The made-up system: the same day by the same seed, no rule broken on short days, and none whatever write, sync, rename
//! or folder sync of a core machine's disk is the last before the power goes.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use vanewharf_system_simulator::day::{Outcome, Strike, play, struck};
use vanewharf_system_simulator::disk::Left;
use vanewharf_system_simulator::judge::{Seen, judge};
use vanewharf_system_simulator::many::each;
use vanewharf_system_simulator::town::{Asked, AtEnd, Heard, Order, ReadBack, Run, Town, What};
use vanewharf_system_simulator::world::Shape;

const SHAPE: Shape = Shape { offices: 3, doors: 4, seconds: 12, rate: 30, troubles: 4 };

const SEEDS: [u64; 2] = [28, 85];

fn sound(day: &Outcome) {
    assert!(day.broken.is_empty(), "seed {}: {:#?}\n{:#?}", day.seed, day.broken, day.told);
}

#[test]
fn a_seed_is_one_day_and_no_rule_breaks_on_short_ones() {
    let seeds: Vec<u64> = (0..24).chain([46, 724]).collect();
    let mut days = BTreeMap::new();
    each(
        seeds.iter().chain([&3]).copied().collect(),
        8,
        |seed| play(SHAPE, seed),
        |day| {
            sound(&day);
            let figures =
                (day.asked, day.served, day.refused, day.deeds.clone(), day.door.bytes, day.told.clone());
            let first = days.entry(day.seed).or_insert(figures.clone());
            assert_eq!(*first, figures, "seed {} was played twice", day.seed);
        },
    );
    assert_eq!(days.len(), seeds.len());
}

#[test]
fn whatever_deed_of_a_disk_is_the_last_nothing_acknowledged_is_lost() {
    vanewharf_runtime::log::disable();
    let shape = Shape { doors: 1, seconds: 5, rate: 2, troubles: 0, ..SHAPE };
    // Days with a change of the configuration, one that two operators race for, and an evacuation.
    let mut points = 0;
    for seed in SEEDS {
        let whole = play(shape, seed);
        sound(&whole);
        assert!(whole.acknowledged >= 5, "a day with something to lose: {whole:?}");
        let mut strikes = Vec::new();
        for (office, deeds) in whole.deeds.iter().enumerate() {
            for deed in 0..*deeds {
                let one = |left, all, wiped| Strike { office, deed, left, all, wiped };
                strikes.push(one(Left::Nothing, true, None));
                strikes.push(one(Left::All, true, Some((office + 1) % 3)));
                strikes.push(one(Left::Torn(deed), true, Some((office + 2) % 3)));
                strikes.push(one(Left::Torn(deed + 1), true, Some(office)));
                strikes.push(one(Left::Torn(deed + 2), false, None));
            }
        }
        points += strikes.len();
        each(
            strikes,
            8,
            |strike| (strike, struck(shape, seed, strike)),
            |(strike, day)| {
                assert!(day.broken.is_empty(), "seed {seed} {strike:?}: {:#?}", day.broken);
            },
        );
    }
    assert!(points >= 300, "{points} crash points");
    println!("{points} crash points");
}

/// What the judge must not let pass: each is one history with one thing wrong.
#[test]
fn the_judge_sees_what_it_is_there_for() {
    type Spoil = fn(&Town, Instant);
    let spoils: [(&str, Spoil); 19] = [
        ("", |_, _| {}),
        ("CONFIG", |town, _| town.history.borrow_mut().read_back = Some(body(1))),
        ("CONFIG", |town, at| heard(town, at, 7, 2, 99)),
        ("CONFIG", |town, at| {
            heard(town, at, 9, 2, 3);
            heard(town, at, 8, 2, 4);
        }),
        ("CONFIG", |town, at| {
            let asked = Asked {
                sent: at + after(9.0),
                door: 0,
                revision: 1,
                attempt: 1,
                status: Some(200),
                took: after(0.1),
            };
            town.history.borrow_mut().asked.insert(1, asked);
        }),
        ("REVOKED", |town, at| run(town, at + after(9.0), "gone", 1, false)),
        ("QUOTA", |town, at| (0..60).for_each(|no| run(town, at, "key", no, false))),
        ("TWICE", |town, at| (0..2).for_each(|_| run(town, at, "key", 5, true))),
        ("LEASE", |town, at| town.history.borrow_mut().two_holders.push(at)),
        // Two bodies under one number: both are acknowledged, or the answer to one is lost.
        ("CONFIG", |town, at| order(town, at, other_body(), Some(at), None, None)),
        ("CONFIG", |town, at| order(town, at, other_body(), None, Some(at), None)),
        // What was acknowledged is refused when it comes again.
        ("DUTY", |town, at| order(town, at, replace(2), None, None, Some(409))),
        // What was refused is in force, and another body than the one that was acknowledged.
        ("CONFIG", |town, at| {
            order(town, at, other_body(), None, None, Some(409));
            read(town, at, other_text());
        }),
        // A read that began after an acknowledgement, or after another read, and is older.
        ("STALE", |town, at| read(town, at, body(1))),
        ("STALE", |town, at| {
            order(town, at, replace(3), None, None, None);
            read(town, at, body(3));
            read(town, at + after(1.0), body(2));
        }),
        ("CONFIG", |town, at| read(town, at, body(9))),
        ("AGREE", |town, _| at_end(town, "central-1", Some((6, 2)))),
        ("AGREE", |town, _| at_end(town, "central-1", None)),
        ("AGREE", |town, _| town.history.borrow_mut().at_end[0].had = Some((5, 1))),
    ];
    for (rule, spoil) in spoils {
        let (begun, town) = (Instant::now(), Town::new("10.9.0.100:80".parse().expect("an address")));
        let at = begun + after(6.0);
        {
            let mut history = town.history.borrow_mut();
            for (revision, keys) in [(1, vec!["key", "gone"]), (2, vec!["key"])] {
                let what = What::Replace { revision, body: body(revision) };
                history.orders.push(Order {
                    what,
                    sent: begun,
                    acked: Some(begun + after(1.0)),
                    taken: None,
                    refused: None,
                });
                history.keys.insert(revision, keys.into_iter().map(str::to_owned).collect());
                history.quotas.insert(revision, [("ana".to_owned(), (4.0, 4.0))].into());
            }
            history.read_back = Some(body(2));
            history.at_end = vec![AtEnd { name: "central-0".to_owned(), had: Some((7, 2)) }];
        }
        heard(&town, at, 7, 2, 3);
        spoil(&town, at);
        let broken = judge(&Seen { town: &town, troubles: &[], offices: 3, moves: &[], begun });
        let rules: Vec<_> = broken.iter().map(|one| one.rule).collect();
        assert_eq!(rules.first().copied().unwrap_or(""), rule, "{broken:?}");
    }
}

fn replace(revision: u64) -> What {
    What::Replace { revision, body: body(revision) }
}

fn other_text() -> String {
    "{\"revision\":\"r2\",\"routes\":{}}".to_owned()
}

fn other_body() -> What {
    What::Replace { revision: 2, body: other_text() }
}

fn order(
    town: &Town,
    sent: Instant,
    what: What,
    acked: Option<Instant>,
    taken: Option<Instant>,
    refused: Option<u16>,
) {
    town.history.borrow_mut().orders.push(Order { what, sent, acked, taken, refused });
}

fn read(town: &Town, sent: Instant, text: String) {
    town.history.borrow_mut().read_backs.push(ReadBack { sent, came: sent + after(0.1), text });
}

fn at_end(town: &Town, name: &str, had: Option<(u64, u64)>) {
    town.history.borrow_mut().at_end.push(AtEnd { name: name.to_owned(), had });
}

fn after(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn body(revision: u64) -> String {
    format!("{{\"revision\":\"r{revision}\"}}")
}

fn heard(town: &Town, at: Instant, no: u64, revision: u64, body: u64) {
    town.history.borrow_mut().heard.push(Heard { door: 0, life: 1, at, no, revision, body });
}

fn run(town: &Town, at: Instant, key: &str, attempt: u64, once_only: bool) {
    let (backend, tenant, key) = ("i".to_owned(), "ana".to_owned(), key.to_owned());
    let run = Run { at, sent: at, attempt, once_only, backend, tenant, key, door: 0, revision: 2 };
    town.history.borrow_mut().runs.push(run);
}
