//! The program's command line: its output and error messages, compared exactly except for program name, paths and
//! timestamps.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_vanewharf-gateway");
const VALID: &str = r#"{"name": "n0", "listen": "127.0.0.1:7001", "discovery": "127.0.0.1:1", "seed": "8c1f",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
    "known": {"index": 4, "snapshot": true, "endpoints": []},
    "settings": {"balancers": 2, "classes": [{"name": "look", "aim": 400.0, "gain": 1.0,
    "idempotency": "retryable", "hard_limit": 3000}], "family_info": {"most_units": 8},
    "tiers_of_service": [{"name": "basic", "rate": 1.0, "store_size": 2.0}]}}"#;
const HELP: &str = "HTTP gateway; ROUTER_CONFIG names the platform's configuration file

Usage: <program> [OPTIONS]

Options:
      --operator <OPERATOR>      The operator's configuration file; if omitted, only the platform's file applies [env: VANEWHARF_OPERATOR=]
      --log-format <LOG_FORMAT>  Format of the log on standard error [env: VANEWHARF_LOG_FORMAT=] [default: text] [possible values: text, json]
      --check                    Check the configuration files and exit
  -h, --help                     Print help
  -V, --version                  Print version
";

/// Runs the program with these arguments and, if given, this platform file.
fn run(arguments: &[&str], platform: Option<&Path>) -> Output {
    let mut command = Command::new(PROGRAM);
    for name in ["ROUTER_CONFIG", "VANEWHARF_OPERATOR", "VANEWHARF_LOG_FORMAT", "VANEWHARF_LOG"] {
        command.env_remove(name);
    }
    command.envs(platform.map(|path| ("ROUTER_CONFIG", path)));
    command.args(arguments).output().expect("the program runs")
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file in the test's directory");
    path
}

/// Standard output with the program's name replaced.
fn normalized_stdout(output: &Output) -> String {
    let name = Path::new(PROGRAM).file_name().and_then(|name| name.to_str()).expect("a file name");
    String::from_utf8(output.stdout.clone()).expect("UTF-8").replace(name, "<program>")
}

/// The level and message of the only log line, without its timestamp and module.
fn logged(output: &Output) -> (String, String) {
    let text = String::from_utf8(output.stderr.clone()).expect("UTF-8");
    assert_eq!(text.lines().count(), 1, "{text}");
    let mut words = text.trim_end().split_once("Z ").expect("a timestamp").1.trim_start().splitn(3, ' ');
    let mut word = || words.next().expect("a level, a module and a message").to_owned();
    let (level, module, message) = (word(), word(), word());
    assert!(module.ends_with(':'), "{text}");
    (level, message)
}

#[test]
fn help_and_version() {
    assert_eq!(normalized_stdout(&run(&["--help"], None)), HELP);
    let version = format!("<program> {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(normalized_stdout(&run(&["--version"], None)), version);
    assert_eq!(run(&["--unknown"], None).status.code(), Some(2));
}

#[test]
fn check() {
    let path = write_file("gateway-valid.json", VALID);
    let output = run(&["--check"], Some(&path));
    assert_eq!((normalized_stdout(&output).as_str(), output.status.code()), ("", Some(0)));
    let message = "the configuration is valid name=\"n0\" peers=false counter=false";
    assert_eq!(logged(&output), ("INFO".to_owned(), message.to_owned()));
}

#[test]
fn refusals() {
    let refused = |platform: Option<&Path>, reason: &str| {
        let output = run(&["--check"], platform);
        assert_eq!((normalized_stdout(&output).as_str(), output.status.code()), ("", Some(1)));
        assert_eq!(logged(&output), ("ERROR".to_owned(), format!("cannot serve: {reason}")));
    };
    refused(None, "ROUTER_CONFIG is not set");
    let absent = "cannot read /nowhere/at-all.json: No such file or directory (os error 2)";
    refused(Some(Path::new("/nowhere/at-all.json")), absent);
    let path = write_file("gateway-seed.json", &VALID.replace("8c1f", "seed"));
    refused(Some(&path), "seed is not a hexadecimal number: 'seed'");
    let path = write_file("gateway-text.json", "{");
    let reason = format!("cannot read {}: EOF while parsing an object at line 1 column 1", path.display());
    refused(Some(&path), &reason);
}
