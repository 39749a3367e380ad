//! What a voter's disk holds after writes that were decided close together.

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

/// Nobody listens there: the voter under test has no peers to hear of.
const SEEDS: [&str; 3] = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];
const BALLOT: Ballot = Ballot(1 << 20);
const PROXY_COUNT: u32 = 7;
const INCARNATION: u64 = 9;

fn seeds() -> Vec<SocketAddr> {
    SEEDS.iter().map(|seed| seed.parse().expect("an address")).collect()
}

/// A directory that can be made to refuse writes, as a full disk does.
struct FlakyDirectory {
    inner: Rc<dyn Directory>,
    refuses: Rc<Cell<bool>>,
}

impl Directory for FlakyDirectory {
    fn read_all(&self) -> io::Result<BTreeMap<String, Vec<u8>>> {
        self.inner.read_all()
    }

    fn execute(&self, operations: Vec<FileOperation>) -> BoxFuture<'static, io::Result<()>> {
        if self.refuses.get() {
            return Box::pin(async { Err(io::ErrorKind::StorageFull.into()) });
        }
        self.inner.execute(operations)
    }
}

/// A voter on an empty disk.
struct TestVoter {
    replica: Rc<Replica>,
    storage: Storage,
    refuses: Rc<Cell<bool>>,
}

impl TestVoter {
    fn start(data_directory: &Path) -> TestVoter {
        let environment = Environment::of_machine(Some(data_directory.to_owned())).expect("a data directory");
        let inner = environment.directory.clone().expect("it was given one");
        let refuses = Rc::new(Cell::new(false));
        let directory: Rc<dyn Directory> = Rc::new(FlakyDirectory { inner, refuses: Rc::clone(&refuses) });
        let stored = StoredRecords::load(&*directory).expect("it can be read");
        let storage = Storage::start(directory, &stored);
        let publisher = Publisher::new(environment.clock());
        let voter = Voter::start(None, None, &seeds(), StartKind::Initial, publisher.now());
        let replica = Replica::start(seeds()[0], seeds(), voter, storage.clone(), publisher, environment);
        TestVoter { replica, storage, refuses }
    }

    fn register(&self, revision: u64) -> Register {
        let membership = self.replica.membership();
        Register { ballot: BALLOT, revision: Revision(revision), membership, ..Register::empty() }
    }

    /// Waits until all writes that were requested are on disk.
    async fn flush(&self) {
        self.storage.sync_found().await.expect("the directory can be synced");
    }
}

/// Runs a test on a voter, and returns what a restart would find on its disk.
fn disk_after<F: Future<Output = ()>>(test: impl FnOnce(Rc<TestVoter>) -> F) -> StoredRecords {
    let data_directory = tempfile::tempdir().expect("a temporary directory");
    let runtime =
        Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).expect("a runtime");
    runtime.block_on(async {
        let voter = Rc::new(TestVoter::start(data_directory.path()));
        test(Rc::clone(&voter)).await;
        voter.flush().await;
    });
    let environment = Environment::of_machine(Some(data_directory.path().to_owned())).expect("a directory");
    StoredRecords::load(&*environment.directory.expect("it was given one")).expect("it can be read")
}

fn lease_request() -> VoteRequest {
    VoteRequest::Lease { ballot: BALLOT, candidate: seeds()[1] }
}

/// A committed register that was learned, and then a vote for a newer one.
async fn learn_and_accept(voter: Rc<TestVoter>) {
    let (learned, accepted) = (voter.register(5), voter.register(6));
    voter.replica.publisher.update(|store| store.set_register(Rc::new(learned)));
    voter.replica.persist_published_register();
    let response = voter.replica.handle_vote_request(VoteRequest::Accept { register: accepted }).await;
    assert!(matches!(response.vote, Vote::Accepted), "{response:?}");
}

/// The count of proxies, and then a promise.
async fn count_and_promise(voter: Rc<TestVoter>) {
    voter.replica.record_proxy_count(PROXY_COUNT);
    let response = voter.replica.handle_vote_request(lease_request()).await;
    assert!(matches!(response.vote, Vote::Granted { .. }), "{response:?}");
}

/// Another member's new incarnation, and then a promise.
async fn recover_and_promise(voter: Rc<TestVoter>) {
    let recovery = VoteRequest::Recover { member: seeds()[2], incarnation: INCARNATION };
    let recovering = voter.replica.handle_vote_request(recovery);
    let (recovered, granted) = tokio::join!(recovering, voter.replica.handle_vote_request(lease_request()));
    assert!(matches!(recovered.vote, Vote::Recovered { .. }), "{recovered:?}");
    assert!(matches!(granted.vote, Vote::Granted { .. }), "{granted:?}");
}

#[test]
fn what_was_voted_last_is_what_a_restart_finds() {
    let register: Option<Register> =
        disk_after(learn_and_accept).decode(Record::Register).expect("a known form");
    assert_eq!(register.map(|register| register.revision), Some(Revision(6)));
    let record: Option<VoterRecord> =
        disk_after(count_and_promise).decode(Record::Voter).expect("a known form");
    let promised = record.map(|record| (record.ballot, record.quota_divisor));
    assert_eq!(promised, Some((BALLOT, PROXY_COUNT)));
    let record: Option<VoterRecord> =
        disk_after(recover_and_promise).decode(Record::Voter).expect("a known form");
    let promised = record.map(|record| (record.ballot, record.peer_incarnations.get(&seeds()[2]).copied()));
    assert_eq!(promised, Some((BALLOT, Some(INCARNATION))));
}

/// The voter adopts what is committed without having voted for it; what is older may have lost against it.
#[test]
fn a_register_older_than_one_that_was_learned_is_not_accepted_while_that_is_being_written() {
    let stored = disk_after(|voter| async move {
        let (learned, older) = (voter.register(5), voter.register(4));
        voter.replica.publisher.update(|store| store.set_register(Rc::new(learned)));
        voter.replica.persist_published_register();
        let response = voter.replica.handle_vote_request(VoteRequest::Accept { register: older }).await;
        assert!(matches!(response.vote, Vote::Refused { .. }), "{response:?}");
    });
    let register: Option<Register> = stored.decode(Record::Register).expect("a known form");
    assert_eq!(register.map(|register| register.revision), Some(Revision(5)));
}

/// The leaseholder sends a register again that the disk refused, and may do so after a newer one was refused as well.
#[test]
fn a_register_is_accepted_after_a_newer_one_that_the_disk_refused() {
    let stored = disk_after(|voter| async move {
        let accept = async |revision| {
            let register = voter.register(revision);
            voter.replica.handle_vote_request(VoteRequest::Accept { register }).await.vote
        };
        // The voter begins once its directory is synced.
        voter.flush().await;
        accept(3).await;
        voter.refuses.set(true);
        assert!(matches!(accept(4).await, Vote::StorageFailed));
        assert!(matches!(accept(5).await, Vote::StorageFailed));
        voter.refuses.set(false);
        assert!(matches!(accept(4).await, Vote::Accepted));
    });
    let register: Option<Register> = stored.decode(Record::Register).expect("a known form");
    assert_eq!(register.map(|register| register.revision), Some(Revision(4)));
    assert_eq!(Invariant::DiskNeverGoesBack.violations(), 0);
}
