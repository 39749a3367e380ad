use super::*;
use crate::messages::{Ballot, Membership, PullResponse, Version, VersionVector};
use crate::store::VersionStore;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::rc::Rc;

const START: Timestamp = Timestamp(1_000_000_000);

fn register(no: u64, routes: &BTreeMap<String, u64>, odd: u64) -> Register {
    let route = |(name, no): (&String, &u64)| {
        (
            name.clone(),
            json!({"hostname": "a host of about the usual length", "path_prefix": "/of/it/", "no": no}),
        )
    };
    let routes: serde_json::Map<_, _> = routes.iter().map(route).collect();
    let config = json!({"revision": format!("r{no}"), "routes": routes, "services": {"s": {"a": odd}},
        "limits": {"b": 1}, "odd": odd, "list": [odd, 2]});
    let config = RawValue::from_string(config.to_string()).ok();
    Register { revision: Revision(no), ballot: Ballot(no / 5), config, ..Register::empty() }
}

fn value(register: &Register) -> Value {
    serde_json::from_str(register.config.as_ref().expect("there is one").get()).expect("JSON")
}

fn server(id: u64, cold_ms: u64, draining: bool) -> Backend {
    let address = "10.0.0.9:80".parse().expect("an address");
    let (service, zone) = ("s".to_owned(), "z".to_owned());
    Backend { id: format!("i{id}"), service, address, zone, capacity: 3, draining, warmup_left_ms: cold_ms }
}

/// Readers that fall behind by chance, some through another reader, have what the teller has each time they come.
#[test]
fn readers_that_follow_changes_have_what_the_teller_has() {
    for seed in 0..8 {
        let mut chance = SmallRng::seed_from_u64(seed);
        let (mut teller, mut now) = (VersionStore::default(), START);
        let mut readers = vec![VersionStore::default(); 3];
        let mut routes: BTreeMap<String, u64> = (0..40).map(|no| (format!("r{no}"), no)).collect();
        let mut cold: BTreeMap<u64, (Timestamp, bool)> = (0..30).map(|no| (no, (START, false))).collect();
        let (mut changed, mut snapshots) = (0, 0);
        for no in 1..60u64 {
            now = now.after(Duration::from_millis(700));
            for _ in 0..chance.random_range(0..4) {
                let name = format!("r{}", chance.random_range(0..50));
                if chance.random_bool(0.3) {
                    routes.remove(&name);
                } else {
                    routes.insert(name, chance.random_range(0..1000));
                }
            }
            teller.set_register(Rc::new(register(no, &routes, no / 20)));
            let one = chance.random_range(0..40);
            match chance.random_range(0..3) {
                0 => drop(cold.remove(&one)),
                1 => drop(cold.insert(one, (now.after(Duration::from_secs(3)), false))),
                _ => cold.values_mut().take(1).for_each(|(_, draining)| *draining ^= true),
            }
            let left = |until: &Timestamp| until.since(now).as_millis() as u64;
            let servers = cold.iter().map(|(id, (until, draining))| server(*id, left(until), *draining));
            let mut servers: Vec<_> = servers.collect();
            servers.sort_by(|one, other| one.id.cmp(&other.id));
            let version = Version { ballot: Ballot(no / 5), number: no };
            teller.set_backend_list(BackendList { version, age_ms: 0, backends: servers }, now);
            for reader in 0..readers.len() {
                if chance.random_bool(0.4) {
                    continue;
                }
                // The last one hears through the first.
                let have = readers[reader].versions();
                let from = if reader == 2 { &readers[0] } else { &teller };
                let mail: PullResponse =
                    serde_json::to_string(&from.response_to(&have, false, Duration::ZERO, now))
                        .and_then(|text| serde_json::from_str(&text))
                        .expect("JSON there and back");
                changed += mail.register_changes.len();
                snapshots += usize::from(mail.register.is_some());
                let expected = (from.register.clone(), from.backend_list.clone(), from.backend_list_taken_at);
                readers[reader].apply(mail, now, now);
                let (mine, theirs) = (readers[reader].register.as_deref(), expected.0.as_deref());
                assert_eq!(mine.map(value), theirs.map(value), "seed {seed} register {no}");
                let ids = |list: &BackendList| {
                    list.backends.iter().map(|one| (one.id.clone(), one.draining)).collect::<Vec<_>>()
                };
                let lists = (readers[reader].backend_list.as_deref(), expected.1.as_deref());
                assert_eq!(lists.0.map(ids), lists.1.map(ids), "seed {seed} list {no}");
                let warm = |list: &BackendList| {
                    list.backends.iter().map(|one| one.warmup_left_ms).collect::<Vec<_>>()
                };
                let both = lists
                    .0
                    .map(warm)
                    .unwrap_or_default()
                    .into_iter()
                    .zip(lists.1.map(warm).unwrap_or_default());
                both.for_each(|(mine, theirs)| {
                    assert!(mine.abs_diff(theirs) <= 250, "seed {seed}: {mine} {theirs}")
                });
            }
        }
        assert!(changed > 60 && snapshots <= 8, "{changed} changes, {snapshots} snapshots");
    }
}

#[test]
fn what_leads_elsewhere_than_it_says_is_not_followed_and_a_snapshot_is_asked_for() {
    let (mut teller, mut reader) = (VersionStore::default(), VersionStore::default());
    let routes = |no: u64| (0..40u64).map(|one| (format!("r{one}"), one * no)).collect::<BTreeMap<_, _>>();
    let changed = |no: u64| [(format!("r{no}"), 7)];
    let tell = |teller: &VersionStore, reader: &VersionStore| {
        teller.response_to(&reader.versions(), false, Duration::ZERO, START)
    };
    teller.set_register(Rc::new(register(1, &routes(1), 0)));
    reader.apply(tell(&teller, &reader), START, START);
    teller.set_register(Rc::new(register(2, &routes(1).into_iter().chain(changed(2)).collect(), 0)));
    let mut mail = tell(&teller, &reader);
    mail.register_changes[0].edits.pop();
    mail.attested_age_ms = Some(1);
    assert!(!reader.apply(mail, START, START).register);
    assert_eq!(
        (reader.register.as_ref().map(|register| register.revision), reader.attested_at),
        (Some(Revision(1)), None)
    );
    assert_eq!(reader.versions(), VersionVector::default(), "as one that has nothing");
    let snapshot = tell(&teller, &reader);
    assert!(snapshot.register.is_some() && reader.apply(snapshot, START, START).register);
    assert_eq!(reader.versions().register, Revision(2));
}

#[test]
fn a_list_that_could_not_be_followed_is_not_taken_for_the_newest() {
    let (mut teller, mut reader) = (VersionStore::default(), VersionStore::default());
    let list = |no, draining| {
        let servers = (0..9).map(|id| server(id, 0, draining && id == 0)).collect();
        BackendList { version: Version { ballot: Ballot(1), number: no }, age_ms: 0, backends: servers }
    };
    let tell = |teller: &VersionStore, reader: &VersionStore| {
        let mail = teller.response_to(&reader.versions(), false, Duration::ZERO, START);
        PullResponse { attested_age_ms: Some(0), ..mail }
    };
    teller.set_backend_list(list(1, false), START);
    reader.apply(tell(&teller, &reader), START.before(Duration::from_secs(5)), START);
    let sure = reader.attested_at;
    teller.set_backend_list(list(2, true), START);
    let mut mail = tell(&teller, &reader);
    assert_eq!(mail.backend_list_changes.len(), 1);
    mail.backend_list_changes[0].from.number = 7;
    assert!(!reader.apply(mail, START, START).backend_list);
    assert_eq!(reader.attested_at, sure, "it has not what its teller has");
    let news = reader.apply(tell(&teller, &reader), START, START);
    assert!(news.backend_list && reader.attested_at == Some(START) && news.attested_at == Some(START));
}

#[test]
fn a_change_of_voters_alone_is_followed_and_one_that_leads_to_another_text_is_not() {
    let (mut teller, mut reader) = (VersionStore::default(), VersionStore::default());
    let routes: BTreeMap<_, _> = (0..40u64).map(|one| (format!("r{one}"), one)).collect();
    let tell = |teller: &VersionStore, reader: &VersionStore| {
        teller.response_to(&reader.versions(), false, Duration::ZERO, START)
    };
    for no in 1..=2 {
        teller.set_register(Rc::new(register(no, &routes, 0)));
        reader.apply(tell(&teller, &reader), START, START);
    }
    let document =
        |store: &VersionStore| store.register.as_ref().and_then(|one| one.config.clone()).expect("one");
    let before = document(&reader);
    let voters = vec!["10.0.0.9:7600".parse().expect("an address")];
    let membership = Membership { epoch: 2, voters, outgoing: Vec::new() };
    let after = Register { revision: Revision(3), membership: membership.clone(), ..register(2, &routes, 0) };
    teller.set_register(Rc::new(after));
    let mut mail = tell(&teller, &reader);
    assert!(mail.register_changes.iter().all(|change| change.edits.is_empty()));
    // One whose sum is another's is not believed, though it edits nothing.
    let mut other =
        PullResponse { register_changes: mail.register_changes.clone(), ..PullResponse::default() };
    other.register_changes[0].checksum ^= 1;
    let mut doubtful = reader.clone();
    assert!(!doubtful.apply(other, START, START).register);
    mail.attested_age_ms = Some(0);
    assert!(reader.apply(mail, START, START).register);
    assert_eq!((document(&reader).get(), reader.versions().register), (before.get(), Revision(3)));
    assert_eq!(reader.register.as_ref().map(|register| register.membership.clone()), Some(membership));
}
