//! Serialised forms of every message between the processes of the system.

mod support;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use support::{assert_golden, read_golden};
use vanewharf_protocol::messages::{
    AcceptedConfig, AttemptCounts, Backend, BackendList, BackendListChange, Ballot, ConfigEdit,
    ControllerEntry, FleetSummary, Follower, HostCounts, Membership, PeerEntry, ProxyEntry, ProxyReport,
    PullRequest, PullResponse, Register, RegisterChange, RegisterRank, Revision, TenantUsage, TokenCounts,
    TokenLeaseReport, Version, VersionVector, Vote, VoteRequest, VoteResponse,
};

fn golden_name(name: &str) -> String {
    format!("messages/{name}.json")
}

/// Asserts that the value serialises to the golden file, and that the golden file is unchanged by a round trip.
#[track_caller]
fn assert_message<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    let name = golden_name(name);
    assert_golden(&name, &serde_json::to_vec(value).expect("a message can be serialised"));
    let read: T = serde_json::from_slice(&read_golden(&name)).expect("the golden file can be deserialised");
    assert_golden(&name, &serde_json::to_vec(&read).expect("a message can be serialised"));
}

/// Asserts that text written by another build deserialises to the message in the golden file.
#[track_caller]
fn assert_deserialises_to<T: Serialize + DeserializeOwned>(name: &str, text: &str) {
    let read: T = serde_json::from_str(text).expect("the form can be deserialised");
    assert_golden(&golden_name(name), &serde_json::to_vec(&read).expect("a message can be serialised"));
}

fn socket_address(host: u8) -> SocketAddr {
    SocketAddr::new(ip_address(host), 7600)
}

fn ip_address(host: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, host])
}

fn raw_json(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).expect("the text is JSON")
}

fn text_set(texts: &[&str]) -> BTreeSet<String> {
    texts.iter().map(|text| text.to_string()).collect()
}

fn settled_membership() -> Membership {
    Membership { epoch: 3, voters: vec![socket_address(1), socket_address(2)], outgoing: Vec::new() }
}

fn joint_membership() -> Membership {
    Membership { outgoing: vec![socket_address(3)], ..settled_membership() }
}

/// A register whose configuration has unusual spacing and key order, which must be preserved.
fn full_register() -> Register {
    Register {
        ballot: Ballot(0x0102_0304),
        revision: Revision(17),
        config: Some(raw_json(r#"{ "revision":"r5",  "b":1.50, "a":[ ]}"#)),
        evacuated: text_set(&["east-a", "west-a"]),
        membership: joint_membership(),
        accepted_configs: vec![
            AcceptedConfig { revision: 4, digest: u64::MAX },
            AcceptedConfig { revision: 5, digest: 7 },
        ],
    }
}

fn backend_list_version() -> Version {
    Version { ballot: Ballot(9), number: 4 }
}

fn version_vector() -> VersionVector {
    VersionVector {
        register: Revision(17),
        backend_list: backend_list_version(),
        fleet_summary: Version { ballot: Ballot(9), number: u64::MAX },
    }
}

fn backend() -> Backend {
    Backend {
        id: "i-1".to_owned(),
        service: "reads".to_owned(),
        address: "10.0.1.1:8080".parse().expect("the address is valid"),
        zone: "east-a".to_owned(),
        capacity: 250,
        draining: true,
        warmup_left_ms: 1200,
    }
}

fn backend_list() -> BackendList {
    BackendList { version: backend_list_version(), age_ms: 35, backends: vec![backend()] }
}

fn proxy_entry() -> ProxyEntry {
    ProxyEntry {
        name: "frontend-0".to_owned(),
        address: "10.0.0.9:8206".parse().expect("the address is valid"),
        zone: "east-a".to_owned(),
        region: "east".to_owned(),
        ready: true,
    }
}

fn controller_entry() -> ControllerEntry {
    ControllerEntry { ip: ip_address(1), zone: "east-a".to_owned() }
}

fn admitted() -> BTreeMap<String, u64> {
    [("ana".to_owned(), 12), ("bor".to_owned(), 0)].into()
}

fn quota_shares() -> BTreeMap<String, f64> {
    [("ana".to_owned(), 83.25), ("bor".to_owned(), 1.0)].into()
}

fn empty_fleet_summary() -> FleetSummary {
    FleetSummary { version: backend_list_version(), ..FleetSummary::default() }
}

fn full_fleet_summary() -> FleetSummary {
    FleetSummary {
        version: backend_list_version(),
        proxies: vec![proxy_entry()],
        quota_divisor: 6,
        tenants: [("ana".to_owned(), TenantUsage { requests_per_s: 412.5, quota_shares: 500.0 })].into(),
        token_lenders: Some(3),
        home_region_hosts: text_set(&["shop.example"]),
        controllers: [controller_entry()].into(),
        unhealthy: [("i-1".to_owned(), 0.125)].into(),
    }
}

fn plain_report() -> ProxyReport {
    ProxyReport {
        proxy: proxy_entry(),
        incarnation: 77,
        age_ms: 0,
        quota_divisor: 0,
        admitted: BTreeMap::new(),
        quota_shares: BTreeMap::new(),
        hosts: BTreeMap::new(),
        attempts: BTreeMap::new(),
    }
}

fn full_report() -> ProxyReport {
    ProxyReport {
        age_ms: 15,
        quota_divisor: 6,
        admitted: admitted(),
        quota_shares: quota_shares(),
        hosts: [("shop.example".to_owned(), HostCounts { requests: 100, home_region_requests: 40 })].into(),
        attempts: [("i-1".to_owned(), AttemptCounts { attempts: 20, failed: 3 })].into(),
        ..plain_report()
    }
}

fn token_lease_report() -> TokenLeaseReport {
    TokenLeaseReport { ip: ip_address(1), incarnation: 5, admitted: admitted(), quota_shares: quota_shares() }
}

fn follower() -> Follower {
    Follower {
        controller: controller_entry(),
        persisted: Some(RegisterRank { ballot: Ballot(9), revision: Revision(17) }),
    }
}

fn edits() -> Vec<ConfigEdit> {
    vec![
        ConfigEdit {
            part: "customers".to_owned(),
            entry: Some("ana".to_owned()),
            value: Some(raw_json(r#"{"rate_per_s": 2.0}"#)),
        },
        ConfigEdit { part: "routes".to_owned(), entry: Some("r-old".to_owned()), value: None },
        ConfigEdit { part: "revision".to_owned(), entry: None, value: Some(raw_json(r#""r6""#)) },
    ]
}

fn register_change(membership: Membership) -> RegisterChange {
    RegisterChange {
        from: Revision(16),
        revision: Revision(17),
        ballot: Ballot(9),
        evacuated: text_set(&["west-a"]),
        membership,
        edits: edits(),
        checksum: 0xdead_beef,
    }
}

fn list_change() -> BackendListChange {
    BackendListChange {
        from: Version { ballot: Ballot(9), number: 3 },
        version: backend_list_version(),
        age_ms: 12,
        upserted: vec![backend()],
        removed: vec!["i-0".to_owned()],
    }
}

fn full_pull_response() -> PullResponse {
    PullResponse {
        register: Some(full_register()),
        register_changes: vec![register_change(joint_membership())],
        backend_list: Some(backend_list()),
        backend_list_changes: vec![list_change()],
        fleet_summary: Some(full_fleet_summary()),
        attested_age_ms: Some(180),
        delay_ms: 90,
        leaseholder: Some(socket_address(2)),
    }
}

#[test]
fn single_values() {
    assert_message("ballot", &Ballot(u64::MAX));
    assert_message("register_no", &Revision(17));
    assert_message("version", &backend_list_version());
    assert_message("vector", &version_vector());
    assert_message("vector_empty", &VersionVector::default());
    assert_message("holds_answer", &true);
}

#[test]
fn membership() {
    assert_message("membership_unknown", &Membership::default());
    assert_message("membership_settled", &settled_membership());
    assert_message("membership_joint", &joint_membership());
}

#[test]
fn register() {
    assert_message("register_none", &Register::empty());
    assert_message("register_full", &full_register());
    assert_message("taken", &AcceptedConfig { revision: 4, digest: u64::MAX });
}

#[test]
fn backend_lists() {
    assert_message("server", &backend());
    assert_message("list", &backend_list());
    assert_message("list_empty", &BackendList::default());
}

#[test]
fn fleet_summary() {
    assert_message("door_row", &proxy_entry());
    assert_message("office_row", &controller_entry());
    assert_message("use", &TenantUsage { requests_per_s: 412.5, quota_shares: 500.0 });
    assert_message("ledger_empty", &empty_fleet_summary());
    assert_message("ledger_full", &full_fleet_summary());
}

#[test]
fn reports() {
    assert_message("report_plain", &plain_report());
    assert_message("report_full", &full_report());
    assert_message("tried", &AttemptCounts { attempts: 20, failed: 3 });
    assert_message("lent", &token_lease_report());
    assert_message("follower_kept", &follower());
    assert_message("follower_amnesic", &Follower { persisted: None, ..follower() });
}

#[test]
fn peers() {
    let row = PeerEntry { ip: ip_address(9), region: "east".to_owned(), last_contact_ms: 400 };
    let over_ipv6 = PeerEntry { ip: "2001:db8::9".parse().expect("the address is valid"), ..row.clone() };
    assert_message("neighbour", &row);
    assert_message("neighbours", &vec![row, over_ipv6]);
    assert_message("neighbours_none", &Vec::<PeerEntry>::new());
}

#[test]
fn tokens() {
    assert_message("tokens", &TokenCounts::from([("ana".to_owned(), 20), ("bor".to_owned(), 0)]));
    assert_message("tokens_none", &TokenCounts::new());
}

#[test]
fn pull_request() {
    let empty = PullRequest {
        versions: VersionVector::default(),
        wait_ms: 0,
        follower: None,
        token_leases: None,
        reports: Vec::new(),
    };
    let by_agent = PullRequest {
        versions: version_vector(),
        wait_ms: 300,
        reports: vec![full_report()],
        ..empty.clone()
    };
    let by_controller = PullRequest {
        follower: Some(follower()),
        token_leases: Some(token_lease_report()),
        ..by_agent.clone()
    };
    assert_message("pull_empty", &empty);
    assert_message("pull_door", &by_agent);
    assert_message("pull_office", &by_controller);
}

#[test]
fn pull_response() {
    assert_message("mail_empty", &PullResponse::default());
    assert_message("mail_full", &full_pull_response());
    let register = PullResponse { register: Some(full_register()), ..PullResponse::default() };
    assert_message("mail_register", &register);
    let changes = vec![register_change(settled_membership())];
    assert_message(
        "mail_register_changes",
        &PullResponse { register_changes: changes, ..PullResponse::default() },
    );
    assert_message(
        "mail_list",
        &PullResponse { backend_list: Some(backend_list()), ..PullResponse::default() },
    );
    assert_message(
        "mail_list_changes",
        &PullResponse { backend_list_changes: vec![list_change()], ..PullResponse::default() },
    );
    assert_message(
        "mail_ledger",
        &PullResponse { fleet_summary: Some(full_fleet_summary()), ..PullResponse::default() },
    );
    assert_message(
        "mail_sure",
        &PullResponse { attested_age_ms: Some(0), delay_ms: 2000, ..PullResponse::default() },
    );
    assert_message(
        "mail_holder",
        &PullResponse { leaseholder: Some(socket_address(2)), ..PullResponse::default() },
    );
}

#[test]
fn changes() {
    assert_message("register_change", &register_change(joint_membership()));
    assert_message("list_change", &list_change());
    for (name, edit) in ["edit_set", "edit_gone", "edit_whole_part"].iter().zip(edits()) {
        assert_message(name, &edit);
    }
}

#[test]
fn vote_requests() {
    let (ballot, candidate) = (Ballot(9), socket_address(2));
    assert_message("vote_request_pre_vote", &VoteRequest::PreVote { candidate });
    assert_message("vote_request_lease", &VoteRequest::Lease { ballot, candidate });
    assert_message("vote_request_renew", &VoteRequest::Renew { ballot, leaseholder: candidate });
    assert_message("vote_request_accept", &VoteRequest::Accept { register: full_register() });
    assert_message("vote_request_release", &VoteRequest::Release { ballot });
    let recover = VoteRequest::Recover { member: socket_address(3), incarnation: 2 };
    assert_message("vote_request_recover", &recover);
}

#[test]
fn votes() {
    let promised = Ballot(9);
    assert_message("vote_granted", &Vote::Granted { register: full_register(), quota_divisor: 6 });
    assert_message("vote_willing", &Vote::WouldGrant { promised });
    assert_message("vote_accepted", &Vote::Accepted);
    assert_message("vote_known", &Vote::Recovered { promised, register: full_register() });
    assert_message("vote_refused", &Vote::Refused { promised, leaseholder: Some(socket_address(2)) });
    assert_message("vote_refused_vacant", &Vote::Refused { promised, leaseholder: None });
    assert_message("vote_outlived", &Vote::Superseded { incarnation: 4 });
    assert_message("vote_amnesic", &Vote::Amnesic { seeds: vec![socket_address(1), socket_address(2)] });
    assert_message("vote_unable", &Vote::StorageFailed);
}

#[test]
fn vote_responses() {
    let plain = VoteResponse { incarnation: 0, incarnations: BTreeMap::new(), vote: Vote::Accepted };
    let full = VoteResponse {
        incarnation: 2,
        incarnations: [(socket_address(3), 5)].into(),
        vote: Vote::Granted { register: Register::empty(), quota_divisor: 0 },
    };
    assert_message("cast_plain", &plain);
    assert_message("cast_full", &full);
}

/// Fields that older builds omit have their defaults.
#[test]
fn older_forms() {
    let proxy =
        r#"{"name":"frontend-0","address":"10.0.0.9:8206","zone":"east-a","region":"east","ready":true}"#;
    let report =
        format!(r#"{{"door":{proxy},"life":77,"age_ms":0,"let_through":{{}},"slices":{{}},"hosts":{{}}}}"#);
    assert_deserialises_to::<ProxyReport>("report_plain", &report);
    let register = r#"{"ballot":0,"no":0,"config":null,"evacuated":[],"membership":{"epoch":0,"voters":[]}}"#;
    assert_deserialises_to::<Register>("register_none", register);
    let granted = format!(r#"{{"Granted":{{"register":{register}}}}}"#);
    assert_deserialises_to::<Vote>("vote_granted_older", &granted);
    assert_deserialises_to::<VoteResponse>("cast_plain", r#"{"incarnation":0,"vote":"Accepted"}"#);
    assert_deserialises_to::<ConfigEdit>("edit_gone", r#"{"part":"routes","entry":"r-old"}"#);
    assert_deserialises_to::<PullResponse>("mail_empty", r#"{"held_ms":0}"#);
    assert_deserialises_to::<PullRequest>(
        "pull_empty",
        r#"{"have":{"register":0,"list":{"ballot":0,"no":0},"ledger":{"ballot":0,"no":0}},"wait_ms":0,"reports":[]}"#,
    );
    assert_deserialises_to::<FleetSummary>(
        "ledger_empty",
        r#"{"version":{"ballot":9,"no":4},"doors":[],"counted":0,"tenants":{},"homed":[],"offices":[]}"#,
    );
}

/// Fields that newer builds add are ignored.
#[test]
fn newer_fields() {
    assert_deserialises_to::<Ballot>("ballot", "18446744073709551615");
    let newer = r#"{"incarnation":0,"vote":"Accepted","a_field_of_tomorrow":[1]}"#;
    assert_deserialises_to::<VoteResponse>("cast_plain", newer);
    let newer = r#"{"held_ms":0,"a_field_of_tomorrow":{"a":null}}"#;
    assert_deserialises_to::<PullResponse>("mail_empty", newer);
}
