//! The exact output of a program's command line, except for the program's name and paths.
//!
//! All programs share `vanewharf_runtime::program::main` and therefore these tests. The `tests/command_line.rs` of each
//! program defines `PROGRAM`, the path of its executable, and includes this file.

use super::PROGRAM;
use std::path::PathBuf;
use std::process::{Command, Output};

const VALID_SETTINGS: &str = r#"{"node_name": "node-0", "ip_address": "10.0.0.1", "zone": "east-a", "region": "east",
    "zones": {"east-a": "east"}, "listen_addresses": {}, "internal_ports": [7600, 7615], "seed_nodes": [],
    "initial_start": true, "limits": {"memory_mb": 200, "file_descriptors": 1024},
    "limits_table": {"revocation_global": false, "revocation": "5000ms", "grace_period": "2s", "ttl_max": "5s",
    "rate_allowance": 20, "retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 50,
    "warmup_overshoot": 1.5, "warmup_allowance": 5}}"#;
const HELP: &str = "Usage: <program> [options]

Options:
    -s, --settings FILE path of the settings file (default:
                        $VANEWHARF_SETTINGS)
    -c, --check         validate the settings file and exit
    -h, --help          print this help and exit
    -V, --version       print the version and exit
";

fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", env!("CARGO_PKG_NAME")));
    std::fs::write(&path, text).expect("a file in the test's directory");
    path
}

fn run(words: &[&str]) -> Output {
    Command::new(PROGRAM).env_remove("VANEWHARF_SETTINGS").args(words).output().expect("the program runs")
}

/// Decodes output and replaces the name of the program.
fn text(bytes: &[u8]) -> String {
    let text = String::from_utf8(bytes.to_vec()).expect("text");
    text.replace(
        std::path::Path::new(PROGRAM).file_name().and_then(|name| name.to_str()).expect("a name"),
        "<program>",
    )
}

#[track_caller]
fn assert_printed(words: &[&str], expected: &str) {
    let output = run(words);
    assert_eq!((text(&output.stdout).as_str(), text(&output.stderr).as_str()), (expected, ""));
    assert_eq!(output.status.code(), Some(0));
}

#[track_caller]
fn assert_refused(words: &[&str], expected: &str) {
    let output = run(words);
    assert_eq!((text(&output.stdout).as_str(), text(&output.stderr).as_str()), ("", expected));
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn help() {
    assert_printed(&["--help"], HELP);
    assert_printed(&["-h"], HELP);
}

#[test]
fn version() {
    let version = format!("<program> {}\n", env!("CARGO_PKG_VERSION"));
    assert_printed(&["--version"], &version);
    assert_printed(&["-V"], &version);
}

#[test]
fn check() {
    let file = settings_file("valid.json", VALID_SETTINGS);
    let path = file.to_str().expect("text");
    let message = "<program>: the settings file is valid\n";
    assert_printed(&["--check", "--settings", path], message);
    assert_printed(&["-c", "-s", path], message);
    let by_environment = Command::new(PROGRAM).env("VANEWHARF_SETTINGS", path).arg("--check").output();
    let by_environment = by_environment.expect("the program runs");
    assert_eq!((text(&by_environment.stdout).as_str(), by_environment.status.code()), (message, Some(0)));
}

#[test]
fn refusals() {
    assert_refused(&["--unknown"], "<program>: Unrecognized option: 'unknown'; see --help\n");
    assert_refused(&["word"], "<program>: Unexpected argument: 'word'; see --help\n");
    assert_refused(&["--settings"], "<program>: Argument to option 'settings' missing; see --help\n");
    assert_refused(&["--check"], "<program>: VANEWHARF_SETTINGS is not set\n");
    let absent = "<program>: cannot read /nowhere/at-all.json: No such file or directory (os error 2)\n";
    assert_refused(&["--check", "--settings", "/nowhere/at-all.json"], absent);
    let file = settings_file("bad.json", r#"{"ip_address": "nowhere"}"#);
    let path = file.to_str().expect("text");
    let output = run(&["--check", "--settings", path]);
    let message = String::from_utf8(output.stderr).expect("text");
    let (name, reason) = message.split_once(": ").expect("the program's name first");
    assert_eq!(reason, format!("cannot read {path}: ip_address: it is no address\n"));
    assert_eq!((PROGRAM.ends_with(&format!("/{name}")), output.status.code()), (true, Some(1)));
}
