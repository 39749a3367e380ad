//! Formats of the documents that the programs and the deployment read: the configuration of the operator, the settings
//! file of the platform, and `deploy/*.toml`.

mod support;

use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::path::{Path, PathBuf};
use support::{assert_golden, read_golden};
use vanewharf_config::configuration::{Config, RouteKind, WeightedService};
use vanewharf_config::settings::{PortRange, Settings};

const CONFIGURATION: &str = "configuration/valid.json";
const SETTINGS: &str = "configuration/settings.json";

/// The JSON pointer of a field, and the invalid value that replaces it. Null stands for a missing field.
type Fault = (&'static str, Value);

/// Applies each fault on its own to the valid document, and returns the resulting error messages, one per line.
fn error_messages<T: Debug>(
    golden: &str,
    faults: Vec<Fault>,
    parse: impl Fn(&[u8]) -> Result<T, String>,
) -> String {
    let valid: Value = serde_json::from_slice(&read_golden(golden)).expect("the golden file is JSON");
    let error_message = |(pointer, value): Fault| {
        let mut document = valid.clone();
        let text = value.to_string();
        let (parent, name) = pointer.rsplit_once('/').expect("a JSON pointer begins with a slash");
        document.pointer_mut(parent).expect("the parent exists")[name] = value;
        let error = parse(document.to_string().as_bytes()).expect_err(pointer);
        format!("{pointer} = {text}: {error}\n")
    };
    faults.into_iter().map(error_message).collect()
}

fn parse_configuration(text: &[u8]) -> Result<Config, String> {
    Config::parse(text).map_err(|error| error.to_string())
}

fn parse_settings(text: &[u8]) -> Result<Settings, String> {
    Settings::parse(text).map_err(|error| error.to_string())
}

fn weighted_service(service: &str, weight: f64) -> WeightedService {
    WeightedService { service: service.to_owned(), weight }
}

#[test]
fn valid_configuration() {
    let config = parse_configuration(&read_golden(CONFIGURATION)).expect("the configuration is valid");
    assert_eq!(config.revision.0, 7);
    let (read, split) = (&config.routes["r-read"], &config.routes["r-split"]);
    assert_eq!((read.hostname.as_str(), read.path_prefix.as_str()), ("shop.example", "/read/"));
    assert_eq!((read.kind, split.kind), (RouteKind::ReadOnly, RouteKind::Mutating));
    assert_eq!((read.deadline.as_millis(), read.latency_target.as_millis()), (2000, 500));
    assert_eq!((read.precedence, read.max_attempts, read.public), (1, 2, false));
    assert_eq!((split.precedence, split.max_attempts, split.public), (0, 1, false));
    assert_eq!(read.home_regions, ["east"]);
    assert_eq!(read.services, [weighted_service("reads", 1.0)]);
    assert_eq!(split.services, [weighted_service("reads", 1.0), weighted_service("writes", 2.5)]);
    let (reads, writes) = (&config.services["reads"], &config.services["writes"]);
    assert_eq!((reads.health_path.as_str(), reads.connection_limit), ("/health", 100));
    assert_eq!((reads.warmup.as_millis(), reads.warmup_per_s), (3000, 20.0));
    assert_eq!((writes.warmup.as_millis(), writes.warmup_per_s), (0, 0.0));
    let limits = &config.limits;
    assert_eq!((limits.max_header_bytes, limits.max_body_bytes), (16384, 1_048_576));
    assert_eq!((limits.header_deadline.as_millis(), limits.idle_timeout.as_millis()), (3000, 15000));
    let customers = config.customers.expect("the configuration has customers");
    let (ana, bor) = (&customers["ana"], &customers["bor"]);
    assert_eq!(ana.access_keys, ["key-a", "key-b"]);
    assert_eq!((ana.rate_per_s, ana.burst_allowance), (500.0, 500.0));
    assert_eq!((bor.rate_per_s, bor.burst_allowance, bor.precedence), (0.0, 0.0, 0));
}

#[test]
fn refused_configurations() {
    let faults = vec![
        ("/revision", json!(null)),
        ("/revision", json!(7)),
        ("/revision", json!("7")),
        ("/revision", json!("r-7")),
        ("/routes", json!(null)),
        ("/routes", json!([])),
        ("/routes/r-read", json!(1)),
        ("/routes/r-read/hostname", json!(null)),
        ("/routes/r-read/path_prefix", json!("read/")),
        ("/routes/r-read/path_prefix", json!("/read")),
        ("/routes/r-read/route_kind", json!("any")),
        ("/routes/r-read/deadline", json!("0ms")),
        ("/routes/r-read/deadline", json!("2 s")),
        ("/routes/r-read/deadline", json!(2000)),
        ("/routes/r-read/deadline", json!("2000000000s")),
        ("/routes/r-read/target", json!("62s")),
        ("/routes/r-read/precedence", json!(-1)),
        ("/routes/r-read/precedence", json!(0.5)),
        ("/routes/r-read/service", json!("nowhere")),
        ("/routes/r-read/service", json!(null)),
        ("/routes/r-read/tries", json!(0)),
        ("/routes/r-read/public", json!("yes")),
        ("/routes/r-read/home_regions", json!("east")),
        ("/routes/r-read/home_regions", json!([1])),
        ("/routes/r-split/weighted_split", json!([])),
        ("/routes/r-split/weighted_split", json!([{"service": "reads"}])),
        ("/services", json!(null)),
        ("/services/reads/health_path", json!(null)),
        ("/services/reads/connection_limit", json!("many")),
        ("/services/reads/warmup", json!("soon")),
        ("/limits", json!(null)),
        ("/limits/max_header_bytes", json!(null)),
        ("/limits/max_body_bytes", json!(1.5)),
        ("/limits/header_deadline", json!(null)),
        ("/limits/idle_timeout", json!("ms")),
        ("/customers/ana/access_keys", json!(null)),
        ("/customers/bor/access_keys", json!(["key-a"])),
        ("/customers/ana/rate_per_s", json!(-1)),
        ("/customers", json!([])),
    ];
    let mut messages = error_messages(CONFIGURATION, faults, parse_configuration);
    for text in ["", "{", "[]", "{} {}"] {
        let error = parse_configuration(text.as_bytes()).expect_err(text);
        messages.push_str(&format!("{text}: {error}\n"));
    }
    assert_golden("configuration/refused_configurations.txt", messages.as_bytes());
}

#[test]
fn valid_settings() {
    let settings = parse_settings(&read_golden(SETTINGS)).expect("the settings are valid");
    assert_eq!((settings.name.as_str(), settings.ip.to_string().as_str()), ("central-0", "10.0.0.1"));
    assert_eq!((settings.zone.as_str(), settings.region.as_str()), ("east-a", "east"));
    assert_eq!(settings.zones["west-a"], "west");
    let listen_address = |kind| settings.listen_address(kind).expect("the address is configured").to_string();
    assert_eq!(listen_address("control_plane"), "10.0.0.1:8200");
    assert_eq!(listen_address("directory_service"), "10.0.0.1:8201");
    assert_eq!(listen_address("frontend"), "10.0.0.1:8206");
    assert_eq!(listen_address("readiness"), "10.0.0.1:8207");
    assert_eq!(settings.internal_ports, PortRange { first: 7600, last: 7615 });
    let peer = "10.0.0.2".parse().expect("the address is valid");
    assert_eq!(settings.controller_address(peer).to_string(), "10.0.0.2:7600");
    assert_eq!(settings.agent_address(peer).to_string(), "10.0.0.2:7601");
    assert_eq!(settings.agent_loopback_address().to_string(), "127.0.0.1:7602");
    assert_eq!(settings.seeds[1].to_string(), "10.0.0.2:8200");
    assert_eq!((settings.initial_start, settings.memory_mb, settings.file_descriptors), (true, 200, 1024));
    assert_eq!(settings.data_directory.as_deref(), Some(Path::new("/var/lib/vanewharf")));
    assert_eq!(settings.tolerated_machine_losses, 2);
    let limits = &settings.limits_table;
    assert!(!limits.revocation_global);
    let durations = [limits.revocation, limits.grace_period, limits.ttl_max, limits.retry_window];
    assert_eq!(durations.map(|duration| duration.as_millis()), [5000, 2000, 5000, 10000]);
    assert_eq!((limits.rate_allowance, limits.retry_ratio, limits.retry_allowance), (20.0, 0.2, 50.0));
    assert_eq!((limits.warmup_overshoot, limits.warmup_allowance), (1.5, 5.0));
    let cloud = settings.cloud_api.expect("the settings have cloud_api");
    assert_eq!((cloud.address.to_string().as_str(), cloud.rate_per_s), ("10.0.0.9:80", 20.0));
    assert_eq!(cloud.allowed_lag.as_millis(), 500);
}

#[test]
fn refused_settings() {
    let required = [
        "/node_name",
        "/ip_address",
        "/zone",
        "/region",
        "/zones",
        "/listen_addresses",
        "/internal_ports",
        "/seed_nodes",
        "/initial_start",
        "/limits",
        "/limits/memory_mb",
        "/limits/file_descriptors",
        "/limits_table",
        "/limits_table/revocation_global",
        "/limits_table/revocation",
        "/limits_table/grace_period",
        "/limits_table/ttl_max",
        "/limits_table/rate_allowance",
        "/limits_table/retry_ratio",
        "/limits_table/retry_window",
        "/limits_table/retry_allowance",
        "/limits_table/warmup_overshoot",
        "/limits_table/warmup_allowance",
        "/fault_tolerance/machine_losses",
        "/cloud_api/address",
        "/cloud_api/rate_per_s",
        "/cloud_api/allowed_lag",
    ];
    let mut faults: Vec<Fault> = required.into_iter().map(|pointer| (pointer, json!(null))).collect();
    faults.extend([
        ("/ip_address", json!("nowhere")),
        ("/internal_ports", json!([7600])),
        ("/internal_ports", json!([7600, 7601])),
        ("/internal_ports", json!([7600, 70000])),
        ("/seed_nodes", json!(["10.0.0.1"])),
        ("/listen_addresses/frontend", json!(8206)),
        ("/initial_start", json!("yes")),
        ("/data_directory", json!(1)),
        ("/limits_table/grace_period", json!("2")),
    ]);
    let messages = error_messages(SETTINGS, faults, parse_settings);
    assert_golden("configuration/refused_settings.txt", messages.as_bytes());
}

/// Optional settings that are missing have their defaults.
#[test]
fn optional_settings() {
    let mut document: Value =
        serde_json::from_slice(&read_golden(SETTINGS)).expect("the golden file is JSON");
    for name in ["data_directory", "fault_tolerance", "cloud_api", "a_field_of_tomorrow"] {
        document.as_object_mut().expect("the settings are an object").remove(name);
    }
    let settings = parse_settings(document.to_string().as_bytes()).expect("the settings are valid");
    assert_eq!(
        (settings.data_directory, settings.tolerated_machine_losses, settings.cloud_api.is_none()),
        (None, 1, true)
    );
    let readiness =
        |settings: &Settings| settings.listen_address("readiness").map_err(|error| error.to_string());
    document["listen_addresses"] = json!({});
    let settings = parse_settings(document.to_string().as_bytes()).expect("the settings are valid");
    assert_eq!(readiness(&settings), Err("listen_addresses.readiness is missing".to_owned()));
}

/// Returns the root directory of the workspace: the nearest parent directory that contains `deploy`.
fn workspace_root() -> PathBuf {
    let ancestors = Path::new(env!("CARGO_MANIFEST_DIR")).ancestors();
    ancestors
        .into_iter()
        .find(|directory| directory.join("deploy").is_dir())
        .expect("the workspace root exists")
        .to_owned()
}

fn read_deploy_file(file: &str) -> toml::Table {
    let text =
        std::fs::read_to_string(workspace_root().join("deploy").join(file)).expect("the file can be read");
    text.parse().expect("the file is TOML")
}

/// Returns the keys of a table, each with the type of its value.
fn key_types(table: &toml::Table) -> BTreeSet<String> {
    table.iter().map(|(key, value)| format!("{key}: {}", value.type_str())).collect()
}

fn type_set(expected: &[&str]) -> BTreeSet<String> {
    expected.iter().map(|key_type| key_type.to_string()).collect()
}

#[track_caller]
fn assert_names_program(command: &toml::Value) {
    let words: Vec<_> = command.as_str().expect("the command is a string").split(' ').collect();
    let program = words.strip_prefix(&["exec"]).unwrap_or(&words);
    assert!(matches!(program, [path] if path.starts_with("target/release/")), "{words:?}");
}

#[test]
fn deployed_balancer() {
    let table = read_deploy_file("balancer.toml");
    let expected =
        ["build: string", "run: string", "sim: string", "policy: array", "node: array", "packages: array"];
    assert_eq!(key_types(&table), type_set(&expected));
    assert_names_program(&table["run"]);
    assert_names_program(&table["sim"]);
}

#[test]
fn deployed_gateway_operator_file() {
    let table = read_deploy_file("door.toml");
    assert_eq!(key_types(&table), type_set(&["kill_after_s: float", "settings: table", "peers: table"]));
    let section = |name: &str| table[name].as_table().expect("the section is a table");
    assert_eq!(key_types(section("peers")), type_set(&["listen: string", "doors: array"]));
    let expected =
        ["me: integer", "balancers: integer", "locality: string", "allowed: table", "family_info: table"];
    assert_eq!(key_types(section("settings")), type_set(&expected));
    let settings_section =
        |name: &str| key_types(section("settings")[name].as_table().expect("the section is a table"));
    assert_eq!(settings_section("allowed"), type_set(&["peer_messages: boolean"]));
    assert_eq!(settings_section("family_info"), type_set(&["most_units: integer", "peer_in_per_s: integer"]));
}

/// Asserts that the value is an array of strings that are not empty.
#[track_caller]
fn assert_nonempty_strings(value: &toml::Value) {
    let strings = value.as_array().expect("the value is an array");
    assert!(
        strings.iter().all(|string| string.as_str().is_some_and(|string| !string.is_empty())),
        "{strings:?}"
    );
}

#[test]
fn deployed_system() {
    let table = read_deploy_file("system.toml");
    assert_eq!(key_types(&table), type_set(&["build: string", "packages: array", "roles: table"]));
    assert_nonempty_strings(&table["packages"]);
    let mut placements = Vec::new();
    for (name, role) in table["roles"].as_table().expect("roles is a table") {
        let role = role.as_table().expect("the role is a table");
        let expected = ["run: string", "on: string", "share: float", "serves: array"];
        assert_eq!(key_types(role), type_set(&expected), "{name}");
        assert_names_program(&role["run"]);
        let serves = role["serves"].as_array().expect("serves is an array");
        let serves: Vec<_> =
            serves.iter().map(|kind| kind.as_str().expect("serves contains strings")).collect();
        placements.push(format!("{} {}", role["on"].as_str().expect("on is a string"), serves.join(" ")));
    }
    placements.sort_unstable();
    assert_eq!(placements, ["central controller registry", "frontend ", "frontend frontend"]);
}
