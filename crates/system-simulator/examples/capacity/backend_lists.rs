//! Measures backend lists: their messages, changes to them, and the work of a proxy that receives them.

use crate::fleet::{ConfigVersion, SERVICES, config, hash, limits_table, register, service, zone, zones};
use crate::measure::{compressed_size, measure, to_json};
use std::rc::Rc;
use tokio::sync::mpsc;
use vanewharf_clock::{MonotonicClock, Timestamp};
use vanewharf_gateway::router::RoutingPolicy;
use vanewharf_policy::interface::Ticks;
use vanewharf_protocol::history::{BackendListHistory, TimedBackendList};
use vanewharf_protocol::messages::{Backend, BackendList, Ballot, FleetSummary, PullResponse, Version};
use vanewharf_proxy::gate_state::GateState;
use vanewharf_proxy::pools::{Location, ProxyPolicy, ProxyPolicyConfig};
use vanewharf_proxy::update::Update;

/// Number of backends that a release replaces at the same time.
const RELEASED_BACKENDS: usize = 100;
/// Routes of a proxy's configuration in most columns, and in the column on many routes.
const FEW_ROUTES: usize = 10;
const MANY_ROUTES: usize = 48_000;

/// Prints a table by the number of backends.
pub fn measure_all() {
    println!(
        "\n| backends | message bytes, compressed | serialize, parse ms | retained MB | release of 100: record change ms, \
         bytes, compressed, apply change ms | proxy: first list ms, retained MB | first list with 48,000 routes ms | each later \
         list ms | each fleet summary ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for count in [1_000, 6_000, 24_000] {
        let old = list(1, backends(count, 0));
        let new = list(2, released_backends(count));
        let message = message_columns(&old);
        let release = release_columns(&old, &new);
        println!("| {count} | {message} | {release} | {} |", proxy_columns(old, new));
    }
}

fn backends(count: usize, from: usize) -> Vec<Backend> {
    let backend = |number: usize| Backend {
        id: format!("{}-{:08x}", service(number), hash(number) as u32),
        service: service(number),
        address: ([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 8080).into(),
        zone: zone(number / SERVICES),
        capacity: 4,
        draining: false,
        warmup_left_ms: 0,
    };
    let mut backends: Vec<_> = (from..from + count).map(backend).collect();
    backends.sort_by(|one, other| one.id.cmp(&other.id));
    backends
}

/// The backends after a release: some have been replaced by new ones that have to warm up.
fn released_backends(count: usize) -> Vec<Backend> {
    let mut released = backends(count, 0);
    released.truncate(count - RELEASED_BACKENDS);
    let new = backends(RELEASED_BACKENDS, count);
    released.extend(new.into_iter().map(|backend| Backend { warmup_left_ms: 3_000, ..backend }));
    released.sort_by(|one, other| one.id.cmp(&other.id));
    released
}

fn list(number: u64, backends: Vec<Backend>) -> BackendList {
    BackendList { version: Version { ballot: Ballot(1), number }, age_ms: 0, backends }
}

fn message_columns(list: &BackendList) -> String {
    let response = PullResponse { backend_list: Some(list.clone()), ..PullResponse::default() };
    let writing = measure(|| to_json(&response));
    let reading =
        measure(|| serde_json::from_slice::<PullResponse>(&writing.output).expect("a pull response"));
    format!(
        "{}, {} | {:.1}, {:.1} | {:.1}",
        writing.output.len(),
        compressed_size(&writing.output),
        writing.milliseconds,
        reading.milliseconds,
        reading.retained_mb
    )
}

fn release_columns(old: &BackendList, new: &BackendList) -> String {
    let now = Timestamp(16_000);
    let old = TimedBackendList { list: old, read_at: Timestamp(10_000) };
    let new = TimedBackendList { list: new, read_at: now };
    let (mut sender, mut receiver) = (BackendListHistory::default(), BackendListHistory::default());
    let recording = measure(|| sender.record_replacement(Some(old), new));
    let changes = sender.changes_since(old.list.version, now, now).expect("a change");
    let changes_json = to_json(&changes);
    let applying = measure(|| receiver.apply_changes(old, changes, now).expect("the change applies"));
    format!(
        "{:.1}, {}, {}, {:.1}",
        recording.milliseconds,
        changes_json.len(),
        compressed_size(&changes_json),
        applying.milliseconds
    )
}

fn start_policy() -> ProxyPolicy {
    let limits = limits_table();
    let gate_state = Rc::new(GateState::new(MonotonicClock::start(), &limits));
    let location = Location { zone: zone(0), region: "region-00".to_owned(), zones: zones() };
    let config = ProxyPolicyConfig { location, limits, initial_start: false, seed: 1 };
    ProxyPolicy::new(config, gate_state, Rc::default(), mpsc::unbounded_channel().0)
}

fn proxy_columns(old: BackendList, new: BackendList) -> String {
    let (old, new) = (Rc::new(old), Rc::new(new));
    let update = |list: &Rc<BackendList>, read_at| Update::BackendList { list: Rc::clone(list), read_at };
    let first_list = |routes: usize| {
        let mut policy = start_policy();
        let register = Rc::new(register(1, config(routes, 10, 1, ConfigVersion::Original)));
        policy.apply_update(Ticks(10), Update::Register(register));
        let read_at = MonotonicClock::start().now();
        let applying = measure(|| policy.apply_update(Ticks(20), update(&old, read_at)).is_some());
        (policy, applying, read_at)
    };
    let (_, with_many_routes, _) = first_list(MANY_ROUTES);
    let (mut policy, first, read_at) = first_list(FEW_ROUTES);
    let next = measure(|| policy.apply_update(Ticks(30), update(&new, read_at)).is_some());
    let summary = Rc::new(FleetSummary { quota_divisor: 5_400, ..FleetSummary::default() });
    let summary = measure(|| policy.apply_update(Ticks(40), Update::FleetSummary(summary)).is_some());
    format!(
        "{:.0}, {:.1} | {:.0} | {:.1} | {:.1}",
        first.milliseconds,
        first.retained_mb,
        with_many_routes.milliseconds,
        next.milliseconds,
        summary.milliseconds
    )
}
