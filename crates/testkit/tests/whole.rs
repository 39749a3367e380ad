//! The whole system on loopback, through what it is built to live through.

use serde_json::{Value, json};
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::Membership;
use vanewharf_testkit::http::call;
use vanewharf_testkit::stand_ins::Manner;
use vanewharf_testkit::town::{OFFICES, Town, config};

const READ: &str = "/read/x";
const WRITE: &str = "/write/x";

fn town(doors: usize) -> Town {
    let town = Town::start(doors, |_| {});
    assert_eq!(town.order("POST", "/-/Configuration.Replace", &config(1, |_| {})).status(), 200);
    (0..doors).for_each(|door| drop(town.until_status(door, READ, Some("key-a"), 200)));
    town
}

fn replace(town: &Town, revision: u64, change: impl FnOnce(&mut Value)) -> u16 {
    town.order("POST", "/-/Configuration.Replace", &config(revision, change)).status()
}

fn revision(town: &Town) -> String {
    let read: Value =
        serde_json::from_str(&town.order("GET", "/-/Configuration.Read", "").body).expect("JSON");
    read["revision"].as_str().expect("a version").to_owned()
}

#[test]
fn a_request_is_let_in_by_route_key_and_quota_and_reaches_one_backend() {
    let town = town(1);
    let status = |method, path, key| town.ask(0, method, path, key).expect("answered").status();
    assert_eq!(status("GET", "/none/x", Some("key-a")), 404);
    assert_eq!((status("GET", READ, None), status("GET", READ, Some("key-z"))), (401, 401));
    let answer = town.ask_as(0, "POST", WRITE, Some("key-c"), "one").expect("answered");
    assert_eq!((answer.status(), answer.field("Backend-Seal")), (200, Some("s.1")));
    let ran: Vec<_> =
        town.backends.iter().flat_map(|backend| backend.ran()).filter(|ran| ran.attempt == "one").collect();
    assert_eq!((ran.len(), ran[0].customer.as_deref(), ran[0].key.as_deref()), (1, Some("bor"), None));
    assert_eq!(answer.body, "i-writes-west-a", "its tenant is at home there alone");
    // A burst of 4 at the first start, and what the rules allow beyond it once; one is spent.
    let refused = town.until("the quota binds", || {
        town.ask(0, "GET", READ, Some("key-c")).ok().filter(|answer| answer.status() == 429)
    });
    let wait: f64 =
        refused.field("Retry-After").and_then(|wait| wait.parse().ok()).expect("when to come back");
    assert!(wait > 0.0 && wait <= 1.5, "{wait}");
    let found = town.until("doors are named", || {
        let asked =
            call(town.registry(1), "GET", "/-/resolution?name=shop.example&region=west&zone=west-a", &[], "");
        asked.ok().filter(|answer| answer.status() == 200)
    });
    let found: Value = serde_json::from_str(&found.body).expect("JSON");
    assert_eq!(found["addresses"], json!([town.door(0).to_string()]));
    assert_eq!(call(town.readiness(0), "GET", "/-/readiness", &[], "").expect("answered").status(), 200);
}

#[test]
fn what_is_invalid_is_refused_by_name_and_the_first_body_under_a_number_stays() {
    let town = town(1);
    let unknown = |config: &mut Value| config["routes"]["r-read"]["service"] = json!("nobody");
    let refused = town.order("POST", "/-/Configuration.Replace", &config(2, unknown));
    assert!(refused.status() == 400 && refused.body.contains("routes.r-read"), "{refused:?}");
    assert_eq!(town.order("POST", "/-/Nothing", "").status(), 404);
    assert_eq!(town.order("POST", "/-/Evacuation.Begin/nowhere", "").status(), 404);
    assert_eq!(replace(&town, 3, |config| config["routes"]["r-read"]["path_prefix"] = json!("/first/")), 200);
    assert_eq!(
        replace(&town, 3, |config| config["routes"]["r-read"]["path_prefix"] = json!("/second/")),
        409,
        "two operators must not both be confirmed under one number"
    );
    assert_eq!(replace(&town, 3, |config| config["routes"]["r-read"]["path_prefix"] = json!("/first/")), 200);
    assert_eq!(replace(&town, 2, |_| {}), 200, "older, and changes nothing");
    town.until_status(0, "/first/x", Some("key-a"), 200);
    assert_eq!(town.ask(0, "GET", "/second/x", Some("key-a")).expect("answered").status(), 404);
    assert_eq!(revision(&town), "r3");
}

#[test]
fn a_drain_and_an_evacuation_are_followed_and_outlast_all_processes() {
    let mut town = town(1);
    let shown: Vec<_> =
        town.backends.iter().map(|backend| (backend, backend.id != "i-reads-east-a")).collect();
    town.platform.show(&shown);
    let to = |town: &Town, id: &str| {
        town.ask(0, "GET", READ, Some("key-a"))
            .is_ok_and(|answer| answer.status() == 200 && answer.body == id)
    };
    let all_to = |town: &Town, id: &str| (0..12).all(|_| to(town, id)).then_some(());
    town.until("the draining one gets nothing", || all_to(&town, "i-reads-west-a"));
    town.platform.show(&town.backends.iter().map(|backend| (backend, true)).collect::<Vec<_>>());
    assert_eq!(town.order("POST", "/-/Evacuation.Begin/west-a", "").status(), 200);
    town.until("the zone gets nothing", || all_to(&town, "i-reads-east-a"));
    (0..=OFFICES).for_each(|machine| town.kill(machine));
    (0..=OFFICES).for_each(|machine| town.boot(machine));
    town.until_status(0, READ, Some("key-a"), 200);
    let before = town.backends[1].ran().len();
    // A restarted door's buckets fill from nothing, so that some are refused at first.
    (0..12).for_each(|_| town.until("it is served elsewhere", || to(&town, "i-reads-east-a").then_some(())));
    assert_eq!(town.backends[1].ran().len(), before);
    assert_eq!(town.order("POST", "/-/Evacuation.Finish/west-a", "").status(), 200);
    assert_eq!(revision(&town), "r1");
}

#[test]
fn what_was_acknowledged_outlives_any_postmaster_and_any_disk() {
    let mut town = town(1);
    for (turn, lost) in [0, 1, 2, 0].into_iter().enumerate() {
        let newer = turn as u64 + 2;
        assert_eq!(replace(&town, newer, |_| {}), 200);
        town.kill(lost);
        town.wipe(lost);
        assert_eq!(revision(&town), format!("r{newer}"), "with {lost} gone");
        town.boot(lost);
        // With its empty disk it answers for nothing until it has caught up: the next turn needs it to have.
        town.until("it has caught up", || {
            let others = (0..OFFICES).filter(|office| *office != lost);
            let recovered = call(town.office(lost), "GET", "/-/Configuration.Read", &[], "").ok()?;
            (matches!(recovered.status(), 200 | 307) && others.count() == 2).then_some(())
        });
    }
    (0..OFFICES).for_each(|office| town.kill(office));
    (0..OFFICES).for_each(|office| town.boot(office));
    assert_eq!(revision(&town), "r5");
}

#[test]
fn a_door_that_hears_nothing_lets_no_key_in_where_revocations_bind_it() {
    let mut town = Town::start(2, |bounds| {
        bounds["revocation_global"] = json!(true);
        bounds["revocation"] = json!("2500ms");
    });
    assert_eq!(replace(&town, 1, |_| {}), 200);
    (0..2).for_each(|door| drop(town.until_status(door, READ, Some("key-a"), 200)));
    town.kill_sorter(0);
    assert_eq!(replace(&town, 2, |config| config["customers"]["ana"]["access_keys"] = json!(["key-b"])), 200);
    let refused = town.until_status(0, READ, Some("key-b"), 503);
    assert!(refused.field("Retry-After").is_some(), "another door may serve it");
    assert_eq!(town.ask(0, "GET", READ, Some("key-a")).expect("answered").status(), 503);
    town.until_status(1, READ, Some("key-a"), 401);
    assert_eq!(town.ask(1, "GET", READ, Some("key-b")).expect("answered").status(), 200);
}

#[test]
fn what_may_have_run_is_never_sent_again_nor_promised_not_to_have() {
    let town = town(1);
    let be = |manner| town.backends.iter().for_each(|backend| backend.be(manner));
    let ran = |attempt: &str| {
        let all = town.backends.iter().flat_map(|backend| backend.ran());
        all.filter(|ran| ran.attempt == attempt).count()
    };
    let post =
        |attempt: &str| town.ask_as(0, "POST", WRITE, Some("key-a"), attempt).expect("answered").status();
    be(Manner::LosesAnswers);
    assert_eq!((post("lost"), ran("lost")), (502, 1));
    be(Manner::Fails);
    assert_eq!((post("failed"), ran("failed")), (500, 1), "the backend's own answer");
    be(Manner::Sheds);
    assert_eq!((post("shed"), ran("shed")), (503, 0), "it never ran");
    be(Manner::AnswersTwice);
    let answer = town.until("it is served again", || {
        town.ask(0, "GET", READ, Some("key-a")).ok().filter(|answer| answer.status() == 200)
    });
    assert!(answer.body.starts_with("i-reads"), "not another's answer: {answer:?}");
}

#[test]
fn where_doors_hold_less_than_a_request_they_borrow_and_a_dead_lender_is_passed_over() {
    let mut town = Town::start(2, |bounds| bounds["rate_allowance"] = json!(1));
    let quota = |config: &mut Value| config["customers"]["bor"]["burst_allowance"] = json!(30);
    assert_eq!(replace(&town, 1, quota), 200);
    (0..2).for_each(|door| drop(town.until_status(door, READ, Some("key-a"), 200)));
    let served = |town: &Town| {
        let answers =
            (0..60).map(|no| town.ask(no % 2, "GET", READ, Some("key-c")).expect("answered").status());
        answers.filter(|status| *status == 200).count()
    };
    // The lenders have 30 and a little that has refilled; no door has a slice of its own.
    let before = served(&town);
    assert!((8..=36).contains(&before), "{before}");
    town.kill(0);
    town.until("tokens refill, and the others lend them", || (served(&town) > 0).then_some(()));
}

#[test]
fn a_machine_at_a_new_address_takes_a_lost_voters_place() {
    let mut town = Town::sized(4, 1, |_| {});
    assert_eq!(replace(&town, 1, |_| {}), 200);
    town.kill(0);
    town.wipe(0);
    let voters = |town: &Town, out: usize, into: usize| {
        let ip = |office: usize| town.inside(office).ip();
        let path = format!("/-/Voters.Replace/{}/{}", ip(out), ip(into));
        // The holder is one of the two that are left; the third hears of it.
        town.until("the order is taken", || {
            let answers = (1..4).filter_map(|no| call(town.office(no), "POST", &path, &[], "").ok());
            let clear: Vec<_> =
                answers.map(|answer| answer.status()).filter(|status| *status != 307).collect();
            clear.into_iter().find(|status| matches!(status, 200 | 409))
        })
    };
    assert_eq!(voters(&town, 3, 3), 409, "it is no voter");
    assert_eq!(voters(&town, 0, 1), 409, "two voters do not become one: the set must not shrink");
    let set = membership(&town, 1).expect("it answers");
    assert!(set.voters.len() == 3 && set.outgoing.is_empty(), "{set:?}");
    town.until("the fourth is heard of", || (voters(&town, 0, 3) == 200).then_some(()));
    assert_eq!(voters(&town, 0, 3), 200, "again changes nothing");
    town.kill(1);
    assert_eq!(replace(&town, 2, |_| {}), 200, "the fourth and the third are a majority");
    assert_eq!(revision(&town), "r2");
}

fn membership(town: &Town, office: usize) -> Option<Membership> {
    let told = call(town.inside(office), "GET", endpoints::MEMBERSHIP, &[], "").ok()?;
    serde_json::from_str(&told.body).ok()
}

#[test]
fn a_voter_that_stays_away_gives_way_to_one_that_follows_and_the_holder_can_be_replaced() {
    let mut town = Town::sized(4, 1, |_| {});
    assert_eq!(replace(&town, 1, |_| {}), 200);
    let at = |town: &Town, office: usize| town.inside(office);
    town.kill(0);
    let lost = at(&town, 0);
    let replaced = |town: &Town| {
        membership(town, 3).filter(|set| set.outgoing.is_empty() && !set.voters.contains(&lost)).map(drop)
    };
    town.until("the fourth votes in the first one's place", || replaced(&town));
    // Of the three that vote now, any may go; so may the one that takes orders.
    let holder = |town: &Town| {
        (0..4).find(|no| {
            let asked = call(town.office(*no), "GET", "/-/Configuration.Read", &[], "");
            asked.is_ok_and(|answer| answer.status() == 200)
        })
    };
    town.boot(0);
    let holds = town.until("one takes orders", || holder(&town));
    let path = format!("/-/Voters.Replace/{}/{}", at(&town, holds).ip(), lost.ip());
    town.until("the holder leaves", || (town.order("POST", &path, "").status() == 200).then_some(()));
    let left = at(&town, holds);
    town.until("it does not vote any more", || {
        let set = membership(&town, 0).filter(|set| set.outgoing.is_empty())?;
        (set.voters.contains(&lost) && !set.voters.contains(&left)).then_some(())
    });
    town.until("another takes orders", || holder(&town).filter(|now| *now != holds));
    town.kill(holds);
    assert_eq!(replace(&town, 2, |_| {}), 200, "nothing of it is needed");
    assert_eq!(revision(&town), "r2");
}

#[test]
fn of_five_postmasters_any_two_may_go_with_their_disks() {
    let mut town = Town::sized(5, 1, |_| {});
    assert_eq!(replace(&town, 1, |_| {}), 200);
    for (turn, lost) in [[0, 1], [3, 4], [2, 0]].into_iter().enumerate() {
        // Three are told at the first start; the others become voters one by one, and those with empty disks recover.
        let votes = |office: usize| {
            let told = call(town.inside(office), "GET", endpoints::MEMBERSHIP, &[], "").ok()?;
            let told: Membership = serde_json::from_str(&told.body).ok()?;
            // One with amnesia would say so.
            let request = r#"{"Renew":{"ballot":0,"holder":"127.0.0.1:1"}}"#;
            let vote = call(town.inside(office), "POST", endpoints::VOTE, &[], request).ok()?;
            let set = told.voters.len() == 5 && told.outgoing.is_empty();
            (set && vote.body.contains("Refused")).then_some(())
        };
        town.until("all five are voters", || (0..5).all(|office| votes(office).is_some()).then_some(()));
        let newer = 10 * (turn as u64 + 1);
        assert_eq!(replace(&town, newer, |_| {}), 200);
        for lost in lost {
            town.kill(lost);
            town.wipe(lost);
        }
        assert_eq!(revision(&town), format!("r{newer}"), "with {lost:?} gone");
        assert_eq!(replace(&town, newer + 1, |_| {}), 200, "the rest is a majority");
        lost.into_iter().for_each(|lost| town.boot(lost));
        assert_eq!(revision(&town), format!("r{}", newer + 1));
    }
}
