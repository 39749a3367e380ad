//! The files of a control plane's data directory, as bytes, and that a control plane starts on them.

mod support;

use serde::Serialize;
use serde_json::json;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use support::programs::{Program, Running, settings, with_data};
use support::wire::{Subnet, raw_call, request, status, until};
use support::{assert_golden, golden_path, read_golden};
use tempfile::TempDir;
use tokio::runtime::{Builder, LocalOptions};
use vanewharf_consensus::VoterRecord;
use vanewharf_controller::storage::{Record, Storage, StoredRecords};
use vanewharf_protocol::messages::{AcceptedConfig, Ballot, Membership, Register, Revision};
use vanewharf_runtime::environment::Environment;

const PRESENT: &str = "data_directory/present";
const OLDER: &str = "data_directory/older";
const FILES: [&str; 4] = ["promise-0.json", "promise-1.json", "register-0.json", "register-1.json"];
const CONTROL_INSIDE: u16 = 7600;

fn voters() -> Vec<SocketAddr> {
    ["10.0.0.1:7600", "10.0.0.2:7600", "10.0.0.3:7600"].map(|voter| voter.parse().expect("an address")).into()
}

fn promise(ballot: u64) -> VoterRecord {
    VoterRecord {
        ballot: Ballot(ballot),
        promised_to: Some(voters()[1]),
        initial_members: voters(),
        quota_divisor: 6,
        incarnation: 2,
        peer_incarnations: BTreeMap::from([(voters()[2], 5)]),
    }
}

fn register(no: u64) -> Register {
    let config = String::from_utf8(read_golden("configuration/valid.json")).expect("text");
    let config = config.trim_end().to_owned();
    Register {
        ballot: Ballot(256),
        revision: Revision(no),
        config: Some(RawValue::from_string(config).expect("JSON")),
        evacuated: ["west-a".to_owned()].into(),
        membership: Membership { epoch: 4, voters: voters(), outgoing: vec![voters()[0]] },
        accepted_configs: vec![AcceptedConfig { revision: no, digest: 77 }],
    }
}

/// Writes both records twice, as a running control plane does.
fn write_records<P: Serialize, R: Serialize>(to: &Path, promises: [P; 2], registers: [R; 2]) {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(async {
        let folder = Environment::of_machine(Some(to.to_owned()))
            .expect("a directory")
            .directory
            .expect("a directory");
        let stored = StoredRecords::load(&*folder).expect("a directory that can be read");
        let disk = Storage::start(folder, &stored);
        for promise in promises {
            disk.save(Record::Voter, &promise).await.expect("it is written");
        }
        for register in registers {
            disk.save(Record::Register, &register).await.expect("it is written");
        }
    });
}

#[track_caller]
fn assert_directory(name: &str, actual: &Path) {
    let mut files: Vec<_> =
        fs::read_dir(actual).expect("a directory").map(|file| file.expect("a file").file_name()).collect();
    files.sort_unstable();
    assert_eq!(files, FILES, "the files' names");
    for file in FILES {
        assert_golden(&format!("{name}/{file}"), &fs::read(actual.join(file)).expect("a file"));
    }
}

/// A copy of a golden directory, changed before the start.
fn copy(name: &str, change: impl FnOnce(&Path)) -> TempDir {
    let directory = TempDir::new().expect("a directory");
    for file in FILES {
        fs::copy(golden_path(name).join(file), directory.path().join(file)).expect("a copy");
    }
    change(directory.path());
    directory
}

/// What a control plane that starts on that directory says of its promise, its register and its voters.
#[track_caller]
fn assert_served(golden: &str, directory: &Path) {
    let subnet = Subnet::draw();
    let own = subnet.socket(1, CONTROL_INSIDE);
    let mut file = with_data(settings(subnet.ip(1), &voters()), directory);
    file["initial_start"] = json!(false);
    let mut control_plane = Running::start(Program::ControlPlane, &file);
    let membership = until("it listens", || raw_call(own, &request("GET", "/membership", "", "")));
    assert_golden(&format!("{golden}.membership.http"), &membership);
    let recover = r#"{"Recover":{"member":"10.0.0.9:7600","incarnation":1}}"#;
    let known = raw_call(own, &request("POST", "/vote", "", recover)).expect("an answer");
    assert_eq!(status(&known), 200);
    assert_golden(&format!("{golden}.vote.http"), &known);
    control_plane.stop();
}

#[test]
fn present_form_is_written() {
    let directory = TempDir::new().expect("a directory");
    write_records(directory.path(), [promise(512), promise(1024)], [register(7), register(8)]);
    assert_directory(PRESENT, directory.path());
}

#[test]
fn present_form_is_read() {
    let directory = copy(PRESENT, |_| {});
    assert_served("data_directory/served_newest", directory.path());
}

const MARKS: &str = "synced.json";

/// The marks of synced writes are written once the disk has nothing to do, and a control plane starts beside them.
#[test]
fn marks_of_synced_writes_are_written_and_read() {
    let directory = copy(PRESENT, |_| {});
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(async {
        let environment = Environment::of_machine(Some(directory.path().to_owned())).expect("a directory");
        let folder = environment.directory.expect("a directory");
        let stored = StoredRecords::load(&*folder).expect("a directory that can be read");
        let _disk = Storage::start(folder, &stored);
        // The file is there before its content is.
        while fs::read(directory.path().join(MARKS)).unwrap_or_default().is_empty() {
            tokio::task::yield_now().await;
        }
    });
    let marks = fs::read(directory.path().join(MARKS)).expect("a file");
    assert_golden(&format!("data_directory/marks/{MARKS}"), &marks);
    assert_served("data_directory/served_newest", directory.path());
}

/// Where the marks say that more was durable than is found, the control plane has amnesia and serves nothing of it.
#[test]
fn less_than_the_marks_say_is_a_lost_disk() {
    let directory = copy(PRESENT, |directory| {
        fs::copy(golden_path("data_directory/marks").join(MARKS), directory.join(MARKS)).expect("a copy");
        fs::remove_file(directory.join("register-0.json")).expect("a file");
    });
    assert_served("data_directory/served_after_loss", directory.path());
    assert!(directory.path().join("promise-0.json.spoilt").exists(), "what was found is kept");
}

/// What older builds did not write has its default.
#[test]
fn older_form_is_read() {
    let directory = TempDir::new().expect("a directory");
    let promise = |ballot: u64| json!({"ballot": ballot, "holder": null, "founders": voters()});
    let register = |no: u64| {
        json!({"ballot": 256, "no": no, "config": null, "evacuated": [],
            "membership": {"epoch": 4, "voters": voters()}})
    };
    write_records(directory.path(), [promise(512), promise(1024)], [register(7), register(8)]);
    assert_directory(OLDER, directory.path());
    let directory = copy(OLDER, |_| {});
    assert_served("data_directory/served_older_form", directory.path());
}

/// Whichever copy is newer stands, whatever its number.
#[test]
fn one_copy_is_enough() {
    let directory = copy(PRESENT, |directory| {
        fs::remove_file(directory.join("promise-0.json")).expect("a file");
        fs::remove_file(directory.join("register-0.json")).expect("a file");
    });
    assert_served("data_directory/served_older_copy", directory.path());
}

/// The older copy is served in place of a torn one, which is set aside.
#[test]
fn torn_copy_is_set_aside() {
    let torn = |directory: &Path, file: &str| {
        let bytes = fs::read(directory.join(file)).expect("a file");
        fs::write(directory.join(file), &bytes[..bytes.len() - 1]).expect("it is written");
    };
    let directory = copy(PRESENT, |directory| {
        torn(directory, "promise-0.json");
        torn(directory, "register-0.json");
    });
    assert_served("data_directory/served_older_copy", directory.path());
    for file in ["promise-0.json", "register-0.json"] {
        let aside = fs::read(directory.path().join(format!("{file}.spoilt"))).expect("it is set aside");
        let whole = fs::read(golden_path(PRESENT).join(file)).expect("a file");
        assert_eq!(aside, whole[..whole.len() - 1], "{file}");
    }
}
