//! Tests of the `vanewharf` program: its output, the files that it writes, and its errors.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

/// An experiment that takes only seconds to run.
const SMALL: &str = r#"
name = "small"
seed = 3
length_s = 6
[fleet]
doors = 4
backends = 6
[meter]
period_s = 1
late_s = 0.5
[[product]]
name = "look"
share = 0.7
work_ms = 30
sla_ms = 500
expiry_ms = 2000
repeat = "inquiry-like"
[[product]]
name = "book"
share = 0.3
work_ms = 60
sla_ms = 900
expiry_ms = 3000
repeat = "once-only"
value = 3
units = 2
[[plan]]
name = "basic"
share = 1
rate = 4
burst = 10
width = [0.5, 1.0]
[load]
of_capacity = 0.5
"#;

/// A temporary directory of one test, deleted when dropped.
struct TestDirectory(PathBuf);

static DIRECTORIES: AtomicU32 = AtomicU32::new(0);

impl TestDirectory {
    fn new() -> TestDirectory {
        let number = DIRECTORIES.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("vanewharf-cli-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).expect("a new directory");
        TestDirectory(path)
    }

    fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("a new file");
        path
    }

    fn read_files(&self, name: &str) -> BTreeMap<String, Vec<u8>> {
        let files = fs::read_dir(self.0.join(name))
            .expect("the directory exists")
            .map(|file| file.expect("a directory entry").path());
        let named =
            |path: PathBuf| (path.file_name().expect("a file name").to_string_lossy().into_owned(), path);
        files.map(named).map(|(name, path)| (name, fs::read(path).expect("readable"))).collect()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn vanewharf(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_vanewharf")).args(arguments).output().expect("the program starts")
}

fn path_text(path: &Path) -> &str {
    path.to_str().expect("a UTF-8 path")
}

fn error_output(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn reports_are_deterministic_and_depend_on_the_seed() {
    let directory = TestDirectory::new();
    let file = directory.write_file("small.toml", SMALL);
    for (out, seed) in [("one", "3"), ("other", "3"), ("third", "4")] {
        let run = vanewharf(&[
            "lab",
            "run",
            path_text(&file),
            "--seed",
            seed,
            "--out",
            path_text(&directory.0.join(out)),
        ]);
        assert!(run.status.success(), "{}", error_output(&run));
    }
    let (one, other, third) =
        (directory.read_files("one"), directory.read_files("other"), directory.read_files("third"));
    assert_eq!(one, other);
    let names: Vec<_> = one.keys().map(String::as_str).collect();
    assert_eq!(names.len(), 11, "{names:?}");
    for (name, start) in
        [("seed-3-served.png", &b"\x89PNG"[..]), ("seed-3-load.svg", b"<svg"), ("summary.md", b"# small")]
    {
        assert!(one[name].starts_with(start), "{name}");
    }
    assert_ne!(one["seed-3-seconds.csv"], third["seed-4-seconds.csv"]);
}

#[test]
fn a_sweep_continues_after_a_point_that_violates_a_rule() {
    let directory = TestDirectory::new();
    // Clients that disconnect after a hundredth of a millisecond are gone before any gateway can respond.
    let swept = format!(
        "{SMALL}[rules]\nanswer_slack_ms = 0\n[[sweep]]\nkey = \"clients.stays\"\nvalues = [0.9, 0.000005, 0.8]\n"
    );
    let file = directory.write_file("swept.toml", &swept);
    let run = vanewharf(&["lab", "sweep", path_text(&file), "--out", path_text(&directory.0.join("out"))]);
    assert!(run.status.success(), "{}", error_output(&run));
    let files = directory.read_files("out");
    let text = String::from_utf8(files["sweep.csv"].clone()).expect("text");
    let lines: Vec<_> = text.lines().skip(1).collect();
    assert_eq!(lines.len(), 3, "{text}");
    let scores: Vec<f64> =
        lines.iter().map(|line| line.split(',').nth(2).unwrap().parse().expect("a score")).collect();
    assert!(scores[0] > 0.3 && scores[1] == 0.0 && scores[2] > 0.3, "{text}");
    assert!(lines[1].contains("one answer broken") && lines[0].ends_with(','), "{text}");
    assert!(
        files.contains_key("score.svg") && files.contains_key("score.png") && files.contains_key("sweep.md")
    );
}

#[test]
fn strict_runs_fail_where_a_rule_is_violated() {
    let directory = TestDirectory::new();
    let text = format!("{SMALL}[rules]\nanswer_slack_ms = 0\n[clients]\nstays = 0.000005\n");
    let file = directory.write_file("strict.toml", &text);
    let run = vanewharf(&["lab", "run", path_text(&file), "--strict"]);
    assert!(
        !run.status.success() && error_output(&run).contains("1 of 1 runs violated a rule"),
        "{}",
        error_output(&run)
    );
    assert!(vanewharf(&["lab", "run", path_text(&file)]).status.success());
}

const TRACE_SECTION: &str = r#"
[trace]
file = "day.csv"
[trace.mapping]
plan = "basic"
time_unit_s = 0.001
kinds = {get = "look", put = "book"}
columns = {time = "ts", customer = "user", kind = "op", units = "size"}
"#;

fn trace_rows() -> String {
    let mut text = "user,ts,op,size\n".to_owned();
    for no in 0..1_000u32 {
        let op = if no % 20 == 7 {
            "seek"
        } else if no % 4 == 0 {
            "put"
        } else {
            "get"
        };
        let at = if no % 50 == 9 { 0 } else { 1_000 + no * 10 };
        text += &format!("u{},{at},{op},{}\n", no % 40, 1 + no % 2);
    }
    text
}

#[test]
fn a_trace_is_imported_and_rejected_rows_are_counted_by_defect() {
    let directory = TestDirectory::new();
    let experiment = directory.write_file("traced.toml", &format!("{SMALL}{TRACE_SECTION}"));
    let trace = directory.write_file("day.csv", &trace_rows());
    let out = directory.0.join("own.csv");
    let run = vanewharf(&[
        "--log-format",
        "json",
        "trace",
        "import",
        path_text(&experiment),
        path_text(&trace),
        path_text(&out),
    ]);
    assert!(run.status.success(), "{}", error_output(&run));
    let log = error_output(&run);
    let entries: Vec<serde_json::Value> =
        log.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    let count = |text: &str| {
        let entry = entries
            .iter()
            .find(|entry| entry["fields"]["message"].as_str().is_some_and(|message| message.contains(text)));
        entry.map(|entry| entry["fields"]["count"].as_u64().expect("a count"))
    };
    assert_eq!((count("not mapped"), count("before that of the last accepted row")), (Some(50), Some(20)));
    let imported = fs::read_to_string(&out).expect("written");
    assert_eq!(imported.lines().count(), 1 + 930);
    let inspect = vanewharf(&["trace", "inspect", path_text(&experiment), path_text(&trace)]);
    let summary = String::from_utf8_lossy(&inspect.stdout).into_owned();
    assert!(summary.contains("930 requests of 38 customers"), "{summary}");

    // Two replays of the same trace write identical files.
    for out in ["one", "other"] {
        let run =
            vanewharf(&["lab", "run", path_text(&experiment), "--out", path_text(&directory.0.join(out))]);
        assert!(run.status.success(), "{}", error_output(&run));
    }
    assert_eq!(directory.read_files("one"), directory.read_files("other"));
    let summary = String::from_utf8(directory.read_files("one")["summary.md"].clone()).expect("text");
    assert!(summary.contains("930 first tries"), "{summary}");
}

#[test]
fn a_trace_without_a_mapped_column_or_valid_row_is_rejected() {
    let directory = TestDirectory::new();
    let experiment = directory.write_file("traced.toml", &format!("{SMALL}{TRACE_SECTION}"));
    let trace = directory.write_file("day.csv", &trace_rows().replace("user,ts", "user,time"));
    let run = vanewharf(&["trace", "inspect", path_text(&experiment), path_text(&trace)]);
    assert!(!run.status.success() && error_output(&run).contains("no column 'ts'"), "{}", error_output(&run));
    let none = directory.write_file("empty.csv", "user,ts,op,size\n");
    let run = vanewharf(&["trace", "inspect", path_text(&experiment), path_text(&none)]);
    assert!(!run.status.success() && error_output(&run).contains("no valid row"), "{}", error_output(&run));
}

#[test]
fn a_check_names_the_line_or_key_that_is_wrong() {
    let directory = TestDirectory::new();
    let good = directory.write_file("good.toml", SMALL);
    assert!(vanewharf(&["config", "check", path_text(&good)]).status.success());
    let gateway = r#"{"settings": {"balancers": 2, "classes": [{"name": "look", "aim": 400.0}],
        "tiers_of_service": [{"name": "basic", "rate": 2.0}]}}"#;
    assert!(
        vanewharf(&["config", "check", path_text(&directory.write_file("door.json", gateway))])
            .status
            .success()
    );
    let config = r#"{"revision": "r1", "routes": {"a": {"hostname": "h", "path_prefix": "/a/", "route_kind": "read_only",
        "deadline": "1s", "target": "1s", "service": "s", "tries": 1}}, "services": {"s": {"health_path": "/h",
        "connection_limit": 9}}, "limits": {"max_header_bytes": 1, "max_body_bytes": 1, "header_deadline": "1s",
        "idle_timeout": "1s"}}"#;
    assert!(
        vanewharf(&["config", "check", path_text(&directory.write_file("config.json", config))])
            .status
            .success()
    );
    let cases = [
        ("f.json", config.replace("\"tries\": 1", "\"tries\": 0"), "routes.a.tries"),
        ("g.json", r#"{"node_name": "central-1"}"#.to_owned(), "ip_address"),
        ("a.toml", SMALL.replace("doors = 4", "doors = \"few\""), "line 6"),
        ("b.toml", SMALL.replace("doors = 4", "doors = 0"), "fleet.doors"),
        ("c.toml", SMALL.replace("rate = 4", "rate = -4"), "plan.0.rate"),
        ("d.json", gateway.replace("400.0", "-400.0"), "classes.0.aim"),
        ("e.json", gateway.replace("\"balancers\": 2,", "\"balancers\": 2,,"), "line 1"),
    ];
    for (name, text, named) in cases {
        let run = vanewharf(&["config", "check", path_text(&directory.write_file(name, &text))]);
        assert!(
            !run.status.success() && error_output(&run).contains(named),
            "{name}: {}",
            error_output(&run)
        );
    }
    let missing = vanewharf(&["config", "check", "/nowhere/at-all.toml"]);
    assert!(!missing.status.success() && error_output(&missing).contains("at-all.toml"));
}

#[test]
fn the_experiments_in_the_repository_are_valid() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../crates/simulator/experiments");
    let files: Vec<_> = fs::read_dir(directory)
        .expect("the directory exists")
        .map(|file| file.expect("a directory entry").path())
        .collect();
    assert!(files.len() >= 3);
    for file in files.iter().filter(|file| file.extension().is_some_and(|end| end == "toml")) {
        let run = vanewharf(&["config", "check", path_text(file)]);
        assert!(run.status.success(), "{}: {}", file.display(), error_output(&run));
    }
}

#[test]
fn hours_prints_when_a_node_may_be_drained() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/contract-hours.json");
    assert!(vanewharf(&["config", "check", path_text(&file)]).status.success());
    let at = |time: &str, node: &str| {
        let run = vanewharf(&["hours", path_text(&file), "--at", time, "--node", node]);
        assert!(run.status.success(), "{}", error_output(&run));
        String::from_utf8_lossy(&run.stdout).into_owned()
    };
    let open = at("2026-12-07T23:00:00Z", "lj-dvorana-a/objava/i-1");
    assert!(open.contains("open until 2026-12-08T03:29:55Z"), "{open}");
    let both = at("2026-12-07T19:00:00Z", "lj-dvorana-a/book-confirm/i-1");
    assert!(both.contains("2 contracts") && both.contains("opens 2026-12-07T21:30:05Z"), "{both}");
    let closed = at("2026-12-22T23:00:00Z", "mb-dvorana-b/lastnistvo/i-2");
    assert!(closed.contains("opens 2027-01-04T08:00:05Z"), "{closed}");
    let invalid = vanewharf(&["hours", path_text(&file), "--at", "tomorrow"]);
    assert!(!invalid.status.success() && error_output(&invalid).contains("--at tomorrow"));
}

/// Compares the complete output for each kind of file, except for the file's path.
#[test]
fn a_check_prints_what_kind_of_file_it_is() {
    let directory = TestDirectory::new();
    let check = |name: &str, text: &str| {
        let file = directory.write_file(name, text);
        let run = vanewharf(&["config", "check", path_text(&file)]);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(path_text(&file), "<file>");
        format!("{:?} {}{}", run.status.code(), text(&run.stdout), text(&run.stderr))
    };
    assert_eq!(
        check("small.toml", SMALL),
        "Some(0) small: valid experiment with 4 gateways and 6 backends\n"
    );
    let gateway = r#"{"settings": {"balancers": 2, "classes": [{"name": "look", "aim": 400.0}],
        "tiers_of_service": [{"name": "basic", "rate": 2.0}]}}"#;
    assert_eq!(check("door.json", gateway), "Some(0) <file>: valid gateway settings\n");
    let config = r#"{"revision": "r1", "routes": {}, "services": {}, "limits": {"max_header_bytes": 1,
        "max_body_bytes": 1, "header_deadline": "1s", "idle_timeout": "1s"}, "customers": {}}"#;
    let accepted = "Some(0) <file>: valid configuration r1 with 0 routes to 0 services and 0 customers\n";
    assert_eq!(check("config.json", config), accepted);
    let settings = r#"{"node_name": "node-0", "ip_address": "10.0.0.1", "zone": "east-a", "region": "east",
        "zones": {"east-a": "east"}, "listen_addresses": {}, "internal_ports": [7600, 7615], "seed_nodes": [],
        "initial_start": true, "limits": {"memory_mb": 200, "file_descriptors": 1024},
        "limits_table": {"revocation_global": false, "revocation": "5000ms", "grace_period": "2s", "ttl_max": "5s",
        "rate_allowance": 20, "retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 50,
        "warmup_overshoot": 1.5, "warmup_allowance": 5}}"#;
    let starts = "Some(0) <file>: valid settings of node node-0 in zone east-a\n";
    assert_eq!(check("settings.json", settings), starts);
    let rejected = check("bad.json", &config.replace("r1", "1"));
    let (time, line) = rejected.split_once("Z ").expect("a timestamp first");
    assert!(time.starts_with("Some(1) 20"), "{rejected}");
    assert_eq!(line, "ERROR <file>: revision: a version is r and a number\n");
}
