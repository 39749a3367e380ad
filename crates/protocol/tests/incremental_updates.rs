//! Readers that receive changes instead of snapshots reach the publisher's state, or detect that they have not.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{
    Backend, BackendList, Ballot, Membership, PullResponse, Register, Revision, Version, VersionVector,
};
use vanewharf_protocol::version_store::{RegisterForm, VersionStore};

const START: Timestamp = Timestamp(1_000_000_000);
/// The maximum difference between the warm-up times at the publisher and at a reader.
const WARMUP_TOLERANCE_MS: u64 = 250;

/// Route names, each with a value that identifies the version of the route.
type Routes = BTreeMap<String, u64>;

fn register(number: u64, routes: &Routes, other_parts: u64) -> Register {
    let route = |(name, value): (&String, &u64)| {
        (
            name.clone(),
            json!({"hostname": "a host of about the usual length", "path_prefix": "/of/it/", "no": value}),
        )
    };
    let routes: serde_json::Map<_, _> = routes.iter().map(route).collect();
    let config = json!({"revision": format!("r{number}"), "routes": routes,
        "services": {"s": {"a": other_parts}},
        "limits": {"b": 1}, "odd": other_parts, "list": [other_parts, 2]});
    let config = RawValue::from_string(config.to_string()).ok();
    Register { revision: Revision(number), ballot: Ballot(number / 5), config, ..Register::empty() }
}

fn config_value(register: &Register) -> Value {
    serde_json::from_str(register.config.as_ref().expect("the register has a configuration").get())
        .expect("JSON")
}

fn backend(id: u64, warmup_left_ms: u64, draining: bool) -> Backend {
    let address = "10.0.0.9:80".parse().expect("an address");
    let (service, zone) = ("s".to_owned(), "z".to_owned());
    Backend { id: format!("i{id}"), service, address, zone, capacity: 3, draining, warmup_left_ms }
}

fn response(publisher: &VersionStore, reader: &VersionStore, now: Timestamp) -> PullResponse {
    publisher.response_to(&reader.versions_for_pull(), RegisterForm::Incremental, Duration::ZERO, now)
}

/// A publisher whose register and list of backends change at random.
struct RandomPublisher {
    random: SmallRng,
    store: VersionStore,
    now: Timestamp,
    routes: Routes,
    /// When the warm-up of each backend ends, and whether the backend is draining.
    backends: BTreeMap<u64, (Timestamp, bool)>,
}

impl RandomPublisher {
    fn new(seed: u64) -> RandomPublisher {
        RandomPublisher {
            random: SmallRng::seed_from_u64(seed),
            store: VersionStore::default(),
            now: START,
            routes: (0..40).map(|number| (format!("r{number}"), number)).collect(),
            backends: (0..30).map(|id| (id, (START, false))).collect(),
        }
    }

    fn publish(&mut self, number: u64) {
        self.now = self.now.after(Duration::from_millis(700));
        self.change_routes();
        self.store.set_register(Rc::new(register(number, &self.routes, number / 20)));
        self.change_backends();
        let version = Version { ballot: Ballot(number / 5), number };
        let list = BackendList { version, age_ms: 0, backends: self.listed_backends() };
        self.store.set_backend_list(list, self.now);
    }

    fn change_routes(&mut self) {
        for _ in 0..self.random.random_range(0..4) {
            let name = format!("r{}", self.random.random_range(0..50));
            if self.random.random_bool(0.3) {
                self.routes.remove(&name);
            } else {
                self.routes.insert(name, self.random.random_range(0..1000));
            }
        }
    }

    fn change_backends(&mut self) {
        let id = self.random.random_range(0..40);
        match self.random.random_range(0..3) {
            0 => drop(self.backends.remove(&id)),
            1 => drop(self.backends.insert(id, (self.now.after(Duration::from_secs(3)), false))),
            _ => self.backends.values_mut().take(1).for_each(|(_, draining)| *draining ^= true),
        }
    }

    fn listed_backends(&self) -> Vec<Backend> {
        let left_ms = |warm_at: &Timestamp| warm_at.since(self.now).as_millis() as u64;
        let listed =
            |(id, (warm_at, draining)): (&u64, &(Timestamp, bool))| backend(*id, left_ms(warm_at), *draining);
        let mut backends: Vec<_> = self.backends.iter().map(listed).collect();
        backends.sort_by(|one, other| one.id.cmp(&other.id));
        backends
    }
}

fn assert_same_content(reader: &VersionStore, source: &VersionStore, case: &str) {
    let (own, theirs) = (reader.register.as_deref(), source.register.as_deref());
    assert_eq!(own.map(config_value), theirs.map(config_value), "{case}: register");
    let (own, theirs) = (reader.backend_list.as_deref(), source.backend_list.as_deref());
    let ids = |list: &BackendList| {
        list.backends.iter().map(|backend| (backend.id.clone(), backend.draining)).collect::<Vec<_>>()
    };
    assert_eq!(own.map(ids), theirs.map(ids), "{case}: backends");
    let warmups = |list: Option<&BackendList>| {
        let backends = list.map(|list| list.backends.clone()).unwrap_or_default();
        backends.into_iter().map(|backend| backend.warmup_left_ms).collect::<Vec<_>>()
    };
    for (own, theirs) in warmups(own).into_iter().zip(warmups(theirs)) {
        assert!(
            own.abs_diff(theirs) <= WARMUP_TOLERANCE_MS,
            "{case}: warm-up of {own} ms, at the source {theirs} ms"
        );
    }
}

#[test]
fn readers_that_apply_changes_reach_the_publishers_state() {
    for seed in 0..8 {
        let mut publisher = RandomPublisher::new(seed);
        let mut readers = vec![VersionStore::default(); 3];
        let (mut changes, mut snapshots) = (0, 0);
        for number in 1..60u64 {
            publisher.publish(number);
            for index in 0..readers.len() {
                if publisher.random.random_bool(0.4) {
                    continue;
                }
                // The last reader pulls from the first one.
                let source = if index == 2 { readers[0].clone() } else { publisher.store.clone() };
                let now = publisher.now;
                let response: PullResponse = serde_json::to_string(&response(&source, &readers[index], now))
                    .and_then(|text| serde_json::from_str(&text))
                    .expect("a response survives the round trip through JSON");
                changes += response.register_changes.len();
                snapshots += usize::from(response.register.is_some());
                readers[index].apply(response, now, now);
                assert_same_content(&readers[index], &source, &format!("seed {seed} number {number}"));
            }
        }
        assert!(changes > 60 && snapshots <= 8, "{changes} changes, {snapshots} snapshots");
    }
}

#[test]
fn changes_with_a_wrong_checksum_are_refused_and_a_snapshot_is_requested() {
    let (mut publisher, mut reader) = (VersionStore::default(), VersionStore::default());
    let routes = |factor: u64| (0..40u64).map(|one| (format!("r{one}"), one * factor)).collect::<Routes>();
    publisher.set_register(Rc::new(register(1, &routes(1), 0)));
    reader.apply(response(&publisher, &reader, START), START, START);
    let changed_routes = routes(1).into_iter().chain([("r2".to_owned(), 7)]).collect();
    publisher.set_register(Rc::new(register(2, &changed_routes, 0)));
    let mut incomplete = response(&publisher, &reader, START);
    incomplete.register_changes[0].edits.pop();
    incomplete.attested_age_ms = Some(1);
    assert!(!reader.apply(incomplete, START, START).register);
    assert_eq!(
        (reader.register.as_ref().map(|register| register.revision), reader.attested_at),
        (Some(Revision(1)), None)
    );
    assert_eq!(reader.versions_for_pull(), VersionVector::default(), "the reader asks for everything");
    let snapshot = response(&publisher, &reader, START);
    assert!(snapshot.register.is_some() && reader.apply(snapshot, START, START).register);
    assert_eq!(reader.versions().register, Revision(2));
}

#[test]
fn a_list_to_which_changes_do_not_apply_is_not_attested() {
    let (mut publisher, mut reader) = (VersionStore::default(), VersionStore::default());
    let list = |number, draining| {
        let backends = (0..9).map(|id| backend(id, 0, draining && id == 0)).collect();
        BackendList { version: Version { ballot: Ballot(1), number }, age_ms: 0, backends }
    };
    let attested = |publisher: &VersionStore, reader: &VersionStore| PullResponse {
        attested_age_ms: Some(0),
        ..response(publisher, reader, START)
    };
    publisher.set_backend_list(list(1, false), START);
    reader.apply(attested(&publisher, &reader), START.before(Duration::from_secs(5)), START);
    let attested_at = reader.attested_at;
    publisher.set_backend_list(list(2, true), START);
    let mut inapplicable = attested(&publisher, &reader);
    assert_eq!(inapplicable.backend_list_changes.len(), 1);
    inapplicable.backend_list_changes[0].from.number = 7;
    assert!(!reader.apply(inapplicable, START, START).backend_list);
    assert_eq!(reader.attested_at, attested_at, "the reader does not have the attested list");
    let updates = reader.apply(attested(&publisher, &reader), START, START);
    assert!(updates.backend_list && reader.attested_at == Some(START) && updates.attested_at == Some(START));
}

/// A new leaseholder publishes a list or a register while a pull that it sent before it won the lease is in flight. The
/// response then contains both as changes of the versions that it had before.
#[test]
fn changes_to_the_current_versions_need_no_snapshot() {
    let (mut publisher, mut reader) = (VersionStore::default(), VersionStore::default());
    let routes: Routes = (0..40u64).map(|one| (format!("r{one}"), one)).collect();
    let list = |number, draining| {
        let backends = (0..9).map(|id| backend(id, 0, draining && id == 0)).collect();
        BackendList { version: Version { ballot: Ballot(1), number }, age_ms: 0, backends }
    };
    publisher.set_register(Rc::new(register(1, &routes, 0)));
    publisher.set_backend_list(list(1, false), START);
    reader.apply(response(&publisher, &reader, START), START, START);
    publisher.set_register(Rc::new(register(2, &routes, 1)));
    publisher.set_backend_list(list(2, true), START);
    let mut outdated = response(&publisher, &reader, START);
    assert_eq!((outdated.register_changes.len(), outdated.backend_list_changes.len()), (1, 1));
    outdated.attested_age_ms = Some(0);
    reader.set_register(Rc::new(register(2, &routes, 1)));
    reader.set_backend_list(list(2, true), START);
    assert!(!reader.apply(outdated, START, START).any(), "nothing in the response is newer");
    assert_eq!(reader.versions(), publisher.versions());
    assert_eq!(reader.attested_at, Some(START), "the reader has everything that its publisher has");
}

/// While a snapshot is needed, the requested versions differ from the current ones. The process goes on to serve the
/// current ones to its own readers, and a snapshot that is no newer ends the need, as its sender has nothing newer.
#[test]
fn a_reader_that_needs_a_snapshot_serves_its_versions_and_accepts_a_snapshot_of_the_same_version() {
    let (mut publisher, mut reader) = (VersionStore::default(), VersionStore::default());
    let list = |number| {
        let backends = (0..9).map(|id| backend(id, 0, id < number)).collect();
        BackendList { version: Version { ballot: Ballot(1), number }, age_ms: 0, backends }
    };
    publisher.set_backend_list(list(1), START);
    reader.apply(response(&publisher, &reader, START), START, START);
    let lagging = publisher.clone();
    publisher.set_backend_list(list(2), START);
    let mut inapplicable = response(&publisher, &reader, START);
    inapplicable.backend_list_changes[0].from.number = 7;
    assert!(reader.apply(inapplicable, START, START).needs_snapshot);
    assert_eq!(reader.versions().backend_list.number, 1, "the current version is unchanged");
    assert_eq!(reader.versions_for_pull().backend_list, Version::default());
    assert!(reader.is_newer_than(&VersionVector::default()), "the current list is still served");
    let snapshot = PullResponse { attested_age_ms: Some(0), ..response(&lagging, &reader, START) };
    assert!(snapshot.backend_list.is_some());
    assert!(!reader.apply(snapshot, START, START).needs_snapshot);
    assert_eq!(reader.versions_for_pull().backend_list.number, 1);
    assert_eq!(reader.attested_at, Some(START), "the reader has everything that the sender attests");
    assert!(reader.apply(response(&publisher, &reader, START), START, START).backend_list);
}

#[test]
fn a_change_of_membership_alone_is_applied_unless_its_checksum_is_wrong() {
    let (mut publisher, mut reader) = (VersionStore::default(), VersionStore::default());
    let routes: Routes = (0..40u64).map(|one| (format!("r{one}"), one)).collect();
    for number in 1..=2 {
        publisher.set_register(Rc::new(register(number, &routes, 0)));
        reader.apply(response(&publisher, &reader, START), START, START);
    }
    let config = |store: &VersionStore| {
        store
            .register
            .as_ref()
            .and_then(|register| register.config.clone())
            .expect("the register has a configuration")
    };
    let before = config(&reader);
    let voters = vec!["10.0.0.9:7600".parse().expect("an address")];
    let membership = Membership { epoch: 2, voters, outgoing: Vec::new() };
    let after = Register { revision: Revision(3), membership: membership.clone(), ..register(2, &routes, 0) };
    publisher.set_register(Rc::new(after));
    let mut correct = response(&publisher, &reader, START);
    assert!(correct.register_changes.iter().all(|change| change.edits.is_empty()));
    // A change with a wrong checksum is refused, even though it edits nothing.
    let mut wrong =
        PullResponse { register_changes: correct.register_changes.clone(), ..PullResponse::default() };
    wrong.register_changes[0].checksum ^= 1;
    let mut second_reader = reader.clone();
    assert!(!second_reader.apply(wrong, START, START).register);
    correct.attested_age_ms = Some(0);
    assert!(reader.apply(correct, START, START).register);
    assert_eq!((config(&reader).get(), reader.versions().register), (before.get(), Revision(3)));
    assert_eq!(reader.register.as_ref().map(|register| register.membership.clone()), Some(membership));
}
