//! Formats of the files in the data directory of a controller, and the state that a controller loads from them.

mod support;

use serde::Serialize;
use serde_json::json;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use support::programs::{Program, RunningProgram, settings, with_data_directory};
use support::wire::{Subnet, request, send_raw, status, wait_until};
use support::{assert_golden, golden_path, read_golden};
use tempfile::TempDir;
use tokio::runtime::{Builder, LocalOptions};
use vanewharf_consensus::VoterRecord;
use vanewharf_controller::storage::{Record, Storage, StoredRecords};
use vanewharf_protocol::messages::{AcceptedConfig, Ballot, Membership, Register, Revision};
use vanewharf_runtime::environment::Environment;

const CURRENT: &str = "data_directory/present";
const OLDER: &str = "data_directory/older";
const FILES: [&str; 4] = ["promise-0.json", "promise-1.json", "register-0.json", "register-1.json"];
const CONTROLLER_RPC_PORT: u16 = 7600;

fn voters() -> Vec<SocketAddr> {
    ["10.0.0.1:7600", "10.0.0.2:7600", "10.0.0.3:7600"]
        .map(|voter| voter.parse().expect("the address is valid"))
        .into()
}

fn voter_record(ballot: u64) -> VoterRecord {
    VoterRecord {
        ballot: Ballot(ballot),
        promised_to: Some(voters()[1]),
        initial_members: voters(),
        quota_divisor: 6,
        incarnation: 2,
        peer_incarnations: BTreeMap::from([(voters()[2], 5)]),
    }
}

fn register(revision: u64) -> Register {
    let config = String::from_utf8(read_golden("configuration/valid.json")).expect("the file is UTF-8");
    let config = config.trim_end().to_owned();
    Register {
        ballot: Ballot(256),
        revision: Revision(revision),
        config: Some(RawValue::from_string(config).expect("the configuration is JSON")),
        evacuated: ["west-a".to_owned()].into(),
        membership: Membership { epoch: 4, voters: voters(), outgoing: vec![voters()[0]] },
        accepted_configs: vec![AcceptedConfig { revision, digest: 77 }],
    }
}

/// Saves both records twice, with the storage task that a running controller uses.
fn write_records<P: Serialize, R: Serialize>(directory: &Path, voter_records: [P; 2], registers: [R; 2]) {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime can be built").block_on(async {
        let directory = Environment::of_machine(Some(directory.to_owned()))
            .expect("an environment can be created")
            .directory
            .expect("the environment has a directory");
        let stored = StoredRecords::load(&*directory).expect("the records can be loaded");
        let storage = Storage::start(directory, &stored);
        for voter_record in voter_records {
            storage.save(Record::Voter, &voter_record).await.expect("the record is written");
        }
        for register in registers {
            storage.save(Record::Register, &register).await.expect("the record is written");
        }
    });
}

#[track_caller]
fn assert_directory(name: &str, actual: &Path) {
    let mut files: Vec<_> = fs::read_dir(actual)
        .expect("the directory can be read")
        .map(|file| file.expect("a directory entry").file_name())
        .collect();
    files.sort_unstable();
    assert_eq!(files, FILES, "file names");
    for file in FILES {
        assert_golden(&format!("{name}/{file}"), &fs::read(actual.join(file)).expect("the file can be read"));
    }
}

/// Copies a golden directory to a temporary directory and applies a change to the copy.
fn copy(name: &str, change: impl FnOnce(&Path)) -> TempDir {
    let directory = TempDir::new().expect("a temporary directory can be created");
    for file in FILES {
        fs::copy(golden_path(name).join(file), directory.path().join(file)).expect("the file can be copied");
    }
    change(directory.path());
    directory
}

/// Starts a controller on this directory, and compares the membership, the promise and the register that it serves with
/// the golden files.
#[track_caller]
fn assert_served(golden: &str, directory: &Path) {
    let subnet = Subnet::reserve();
    let own = subnet.socket_address(1, CONTROLLER_RPC_PORT);
    let mut settings = with_data_directory(settings(subnet.ip(1), &voters()), directory);
    settings["initial_start"] = json!(false);
    let mut controller = RunningProgram::start(Program::Controller, &settings);
    let membership =
        wait_until("the controller responds", || send_raw(own, &request("GET", "/membership", "", "")));
    assert_golden(&format!("{golden}.membership.http"), &membership);
    let recover = r#"{"Recover":{"member":"10.0.0.9:7600","incarnation":1}}"#;
    let recovered = send_raw(own, &request("POST", "/vote", "", recover)).expect("a response");
    assert_eq!(status(&recovered), 200);
    assert_golden(&format!("{golden}.vote.http"), &recovered);
    controller.stop();
}

#[test]
fn current_format_is_written() {
    let directory = TempDir::new().expect("a temporary directory can be created");
    write_records(directory.path(), [voter_record(512), voter_record(1024)], [register(7), register(8)]);
    assert_directory(CURRENT, directory.path());
}

#[test]
fn current_format_is_read() {
    let directory = copy(CURRENT, |_| {});
    assert_served("data_directory/served_newest", directory.path());
}

const MARKS_FILE: &str = "synced.json";

/// Storage writes the marks of synced records when it is idle, and a controller starts on a directory that contains them.
#[test]
fn synced_marks_are_written_and_read() {
    let directory = copy(CURRENT, |_| {});
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime can be built").block_on(async {
        let environment = Environment::of_machine(Some(directory.path().to_owned()))
            .expect("an environment can be created");
        let environment_directory = environment.directory.expect("the environment has a directory");
        let stored = StoredRecords::load(&*environment_directory).expect("the records can be loaded");
        let _storage = Storage::start(environment_directory, &stored);
        // The file is created before its content is written.
        while fs::read(directory.path().join(MARKS_FILE)).unwrap_or_default().is_empty() {
            tokio::task::yield_now().await;
        }
    });
    let marks = fs::read(directory.path().join(MARKS_FILE)).expect("the file can be read");
    assert_golden(&format!("data_directory/marks/{MARKS_FILE}"), &marks);
    assert_served("data_directory/served_newest", directory.path());
}

/// If a record is older than its synced mark, the controller treats the disk as lost and serves none of the records.
#[test]
fn a_record_older_than_its_synced_mark_means_a_lost_disk() {
    let directory = copy(CURRENT, |directory| {
        fs::copy(golden_path("data_directory/marks").join(MARKS_FILE), directory.join(MARKS_FILE))
            .expect("the file can be copied");
        fs::remove_file(directory.join("register-0.json")).expect("the file can be removed");
    });
    assert_served("data_directory/served_after_loss", directory.path());
    assert!(
        directory.path().join("promise-0.json.spoilt").exists(),
        "the records of the lost disk are kept under other names"
    );
}

/// Fields that older builds did not write have their defaults.
#[test]
fn older_format_is_read() {
    let directory = TempDir::new().expect("a temporary directory can be created");
    let voter_record = |ballot: u64| json!({"ballot": ballot, "holder": null, "founders": voters()});
    let register = |revision: u64| {
        json!({"ballot": 256, "no": revision, "config": null, "evacuated": [],
            "membership": {"epoch": 4, "voters": voters()}})
    };
    write_records(directory.path(), [voter_record(512), voter_record(1024)], [register(7), register(8)]);
    assert_directory(OLDER, directory.path());
    let directory = copy(OLDER, |_| {});
    assert_served("data_directory/served_older_form", directory.path());
}

/// The newest copy that exists is used, whichever of the two file names it has.
#[test]
fn one_copy_is_enough() {
    let directory = copy(CURRENT, |directory| {
        fs::remove_file(directory.join("promise-0.json")).expect("the file can be removed");
        fs::remove_file(directory.join("register-0.json")).expect("the file can be removed");
    });
    assert_served("data_directory/served_older_copy", directory.path());
}

/// If the newer copy is torn, the older copy is served and the torn file is renamed.
#[test]
fn torn_copy_is_renamed() {
    let truncate_by_one = |directory: &Path, file: &str| {
        let bytes = fs::read(directory.join(file)).expect("the file can be read");
        fs::write(directory.join(file), &bytes[..bytes.len() - 1]).expect("the file can be written");
    };
    let directory = copy(CURRENT, |directory| {
        truncate_by_one(directory, "promise-0.json");
        truncate_by_one(directory, "register-0.json");
    });
    assert_served("data_directory/served_older_copy", directory.path());
    for file in ["promise-0.json", "register-0.json"] {
        let renamed =
            fs::read(directory.path().join(format!("{file}.spoilt"))).expect("the torn file is renamed");
        let original = fs::read(golden_path(CURRENT).join(file)).expect("the file can be read");
        assert_eq!(renamed, original[..original.len() - 1], "{file}");
    }
}
