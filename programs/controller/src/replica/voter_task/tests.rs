//! The state of a voter's disk after writes that were decided in quick succession.

use super::*;
use crate::storage::{Record, StoredRecords};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use tokio::runtime::{Builder, LocalOptions};
use vanewharf_consensus::{StartKind, Voter, VoterRecord};
use vanewharf_protocol::messages::{Ballot, Revision};
use vanewharf_rpc::Publisher;
use vanewharf_runtime::environment::{BoxFuture, Directory, Environment, FileOperation};
use vanewharf_runtime::invariants::Invariant;

/// Nothing listens on these addresses, so the voter under test hears from no peer.
const SEEDS: [&str; 3] = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];
const BALLOT: Ballot = Ballot(1 << 20);
const QUOTA_DIVISOR: u32 = 7;
const INCARNATION: u64 = 9;

fn seeds() -> Vec<SocketAddr> {
    SEEDS.iter().map(|seed| seed.parse().expect("an address")).collect()
}

/// A directory whose operations fail while `is_full` is set, as on a full disk.
struct FallibleDirectory {
    inner: Rc<dyn Directory>,
    is_full: Rc<Cell<bool>>,
}

impl Directory for FallibleDirectory {
    fn read_all(&self) -> io::Result<BTreeMap<String, Vec<u8>>> {
        self.inner.read_all()
    }

    fn execute(&self, operations: Vec<FileOperation>) -> BoxFuture<'static, io::Result<()>> {
        if self.is_full.get() {
            return Box::pin(async { Err(io::ErrorKind::StorageFull.into()) });
        }
        self.inner.execute(operations)
    }
}

/// A voter on an empty disk.
struct TestVoter {
    replica: Rc<Replica>,
    storage: Storage,
    disk_is_full: Rc<Cell<bool>>,
}

impl TestVoter {
    fn start(data_directory: &Path) -> TestVoter {
        let environment = Environment::of_machine(Some(data_directory.to_owned())).expect("a data directory");
        let inner = environment.directory.clone().expect("a data directory was passed");
        let disk_is_full = Rc::new(Cell::new(false));
        let directory: Rc<dyn Directory> =
            Rc::new(FallibleDirectory { inner, is_full: Rc::clone(&disk_is_full) });
        let stored = StoredRecords::load(&*directory).expect("the records are readable");
        let storage = Storage::start(directory, &stored);
        let publisher = Publisher::new(environment.clock());
        let voter = Voter::start(None, None, &seeds(), StartKind::Initial, publisher.now());
        let replica = Replica::start(seeds()[0], seeds(), voter, storage.clone(), publisher, environment);
        TestVoter { replica, storage, disk_is_full }
    }

    fn register(&self, revision: u64) -> Register {
        let membership = self.replica.membership();
        Register { ballot: BALLOT, revision: Revision(revision), membership, ..Register::empty() }
    }

    /// Waits until all requested writes are on disk.
    async fn flush(&self) {
        self.storage.sync_loaded().await.expect("the directory can be synced");
    }
}

/// Runs a test on a voter, and returns the records that a restart would load from its disk.
fn stored_records_after<F: Future<Output = ()>>(test: impl FnOnce(Rc<TestVoter>) -> F) -> StoredRecords {
    let data_directory = tempfile::tempdir().expect("a temporary directory");
    let runtime =
        Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).expect("a runtime");
    runtime.block_on(async {
        let voter = Rc::new(TestVoter::start(data_directory.path()));
        test(Rc::clone(&voter)).await;
        voter.flush().await;
    });
    let environment = Environment::of_machine(Some(data_directory.path().to_owned())).expect("a directory");
    StoredRecords::load(&*environment.directory.expect("a data directory was passed"))
        .expect("the records are readable")
}

fn lease_request() -> VoteRequest {
    VoteRequest::Lease { ballot: BALLOT, candidate: seeds()[1] }
}

/// Learns a committed register, then votes for a newer one.
async fn learn_and_accept(voter: Rc<TestVoter>) {
    let (learned, accepted) = (voter.register(5), voter.register(6));
    voter.replica.publisher.update(|store| store.set_register(Rc::new(learned)));
    voter.replica.persist_published_register();
    let response = voter.replica.handle_vote_request(VoteRequest::Accept { register: accepted }).await;
    assert!(matches!(response.vote, Vote::Accepted), "{response:?}");
}

/// Records a quota divisor, then promises a ballot.
async fn record_divisor_and_promise(voter: Rc<TestVoter>) {
    voter.replica.record_quota_divisor(QUOTA_DIVISOR);
    let response = voter.replica.handle_vote_request(lease_request()).await;
    assert!(matches!(response.vote, Vote::Granted { .. }), "{response:?}");
}

/// Records the new incarnation of another member, then promises a ballot.
async fn recover_and_promise(voter: Rc<TestVoter>) {
    let recovery = VoteRequest::Recover { member: seeds()[2], incarnation: INCARNATION };
    let recovering = voter.replica.handle_vote_request(recovery);
    let (recovered, granted) = tokio::join!(recovering, voter.replica.handle_vote_request(lease_request()));
    assert!(matches!(recovered.vote, Vote::Recovered { .. }), "{recovered:?}");
    assert!(matches!(granted.vote, Vote::Granted { .. }), "{granted:?}");
}

#[test]
fn a_restart_loads_the_last_vote() {
    let register: Option<Register> =
        stored_records_after(learn_and_accept).decode(Record::Register).expect("a decodable record");
    assert_eq!(register.map(|register| register.revision), Some(Revision(6)));
    let record: Option<VoterRecord> =
        stored_records_after(record_divisor_and_promise).decode(Record::Voter).expect("a decodable record");
    let promised = record.map(|record| (record.ballot, record.quota_divisor));
    assert_eq!(promised, Some((BALLOT, QUOTA_DIVISOR)));
    let record: Option<VoterRecord> =
        stored_records_after(recover_and_promise).decode(Record::Voter).expect("a decodable record");
    let promised = record.map(|record| (record.ballot, record.peer_incarnations.get(&seeds()[2]).copied()));
    assert_eq!(promised, Some((BALLOT, Some(INCARNATION))));
}

/// A voter adopts a committed register without having voted for it. Accepting an older register after that could count
/// towards a majority for one that was superseded.
#[test]
fn a_register_older_than_a_learned_one_is_refused_while_the_learned_one_is_being_written() {
    let stored = stored_records_after(|voter| async move {
        let (learned, older) = (voter.register(5), voter.register(4));
        voter.replica.publisher.update(|store| store.set_register(Rc::new(learned)));
        voter.replica.persist_published_register();
        let response = voter.replica.handle_vote_request(VoteRequest::Accept { register: older }).await;
        assert!(matches!(response.vote, Vote::Refused { .. }), "{response:?}");
    });
    let register: Option<Register> = stored.decode(Record::Register).expect("a decodable record");
    assert_eq!(register.map(|register| register.revision), Some(Revision(5)));
}

/// A leaseholder resends a register that a voter failed to write, possibly after a newer register failed as well.
#[test]
fn a_register_is_accepted_after_the_write_of_a_newer_one_failed() {
    let stored = stored_records_after(|voter| async move {
        let accept = async |revision| {
            let register = voter.register(revision);
            voter.replica.handle_vote_request(VoteRequest::Accept { register }).await.vote
        };
        // The voter task handles no request before its directory is synced.
        voter.flush().await;
        accept(3).await;
        voter.disk_is_full.set(true);
        assert!(matches!(accept(4).await, Vote::StorageFailed));
        assert!(matches!(accept(5).await, Vote::StorageFailed));
        voter.disk_is_full.set(false);
        assert!(matches!(accept(4).await, Vote::Accepted));
    });
    let register: Option<Register> = stored.decode(Record::Register).expect("a decodable record");
    assert_eq!(register.map(|register| register.revision), Some(Revision(4)));
    assert_eq!(Invariant::DiskNeverGoesBack.violations(), 0);
}
