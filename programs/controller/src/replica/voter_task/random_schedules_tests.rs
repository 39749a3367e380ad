//! Tests the voter and its disk under random schedules. Leaseholders' requests, learned registers and other writes arrive in
//! quick succession, each disk operation takes a different time, and power is lost at a random moment. The records that a
//! restart loads must cover everything that was answered before.
//!
//! Time is simulated, so each seed is deterministic.

use super::*;
use crate::storage::{Record, StoredRecords};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use vanewharf_consensus::{StartKind, Voter, VoterRecord};
use vanewharf_protocol::messages::{Ballot, RegisterRank, Revision};
use vanewharf_rpc::Publisher;
use vanewharf_runtime::environment::{BoxFuture, Directory, Environment, Listener, Network, Stream};
use vanewharf_runtime::invariants::Invariant;
use vanewharf_simulated_disk::{DiskCondition, SimulatedDisk, UnsyncedData};

const SEEDS: u64 = 400;
/// Number of process starts per seed.
const STARTS: u64 = 4;
const REQUESTS_PER_START: u64 = 14;
/// Requests arrive within this time after the start; the process ends within twice this time.
const REQUEST_SPAN_MS: u64 = 150;
const SYNC_TIME: Duration = Duration::from_millis(2);
const BALLOTS: u64 = 4;
const REVISIONS: u64 = 12;
const MEMBERS: [&str; 3] = ["10.0.0.1:7600", "10.0.0.2:7600", "10.0.0.3:7600"];

fn members() -> Vec<SocketAddr> {
    MEMBERS.iter().map(|member| member.parse().expect("an address")).collect()
}

/// A network on which nothing is reachable, so that the voter receives only the test's input.
struct UnreachableNetwork;

impl Network for UnreachableNetwork {
    fn connect(&self, _to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) })
    }

    fn listen(&self, _at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn unique_id(&self) -> u64 {
        1
    }
}

/// The promises in all votes that were sent, over all starts of the process.
#[derive(Debug, Default)]
struct SentPromises {
    ballot: Ballot,
    accepted: RegisterRank,
    incarnations: BTreeMap<SocketAddr, u64>,
    /// Registers that were accepted although a newer one had been learned. Each could count towards a majority for a
    /// register that was superseded.
    accepted_after_newer: Vec<RegisterRank>,
}

impl SentPromises {
    fn record(&mut self, request: &VoteRequest, vote: &Vote) {
        match (request, vote) {
            (VoteRequest::Lease { ballot, .. }, Vote::Granted { .. })
            | (VoteRequest::Renew { ballot, .. }, Vote::Accepted) => self.ballot = self.ballot.max(*ballot),
            (VoteRequest::Accept { register }, Vote::Accepted) => {
                self.ballot = self.ballot.max(register.ballot);
                self.accepted = self.accepted.max(register.rank());
            }
            (VoteRequest::Recover { member, incarnation }, Vote::Recovered { promised, register }) => {
                self.ballot = self.ballot.max(*promised);
                self.accepted = self.accepted.max(register.rank());
                let known = self.incarnations.entry(*member).or_default();
                *known = (*known).max(*incarnation);
            }
            _ => {}
        }
    }

    fn assert_kept(&self, stored: &mut StoredRecords, seed: u64) {
        assert_eq!(self.accepted_after_newer, [], "seed {seed}");
        assert_eq!(
            stored.lost_records,
            [],
            "seed {seed}: a torn write was taken for the loss of a durable record"
        );
        let (record, register): (Option<VoterRecord>, Option<Register>) = stored.decode_all();
        let register = register.unwrap_or_else(Register::empty);
        assert!(register.rank() >= self.accepted, "seed {seed}: {:?} on disk, {self:?}", register.rank());
        let record = record.unwrap_or_default();
        let promised = record.ballot.max(register.ballot);
        assert!(promised >= self.ballot, "seed {seed}: {promised:?} on disk, {self:?}");
        for (member, incarnation) in &self.incarnations {
            let known = record.peer_incarnations.get(member).copied().unwrap_or(0);
            assert!(known >= *incarnation, "seed {seed}: {known} of {member} on disk, {self:?}");
        }
    }
}

/// What the test sends to the voter.
enum Input {
    Request(VoteRequest),
    /// A register published by the leaseholder, which this process has pulled.
    LearnRegister(Register),
    RecordQuotaDivisor(u32),
}

fn draw_register(rng: &mut SmallRng, replica: &Replica) -> Register {
    let ballot = Ballot(rng.random_range(1..=BALLOTS) << 20);
    let revision = Revision(rng.random_range(1..=REVISIONS));
    Register { ballot, revision, membership: replica.membership(), ..Register::empty() }
}

fn draw_input(rng: &mut SmallRng, replica: &Replica) -> Input {
    let ballot = Ballot(rng.random_range(1..=BALLOTS) << 20);
    let peer = members()[rng.random_range(1..MEMBERS.len())];
    Input::Request(match rng.random_range(0..10) {
        0 => VoteRequest::Lease { ballot, candidate: peer },
        1 => VoteRequest::Renew { ballot, leaseholder: peer },
        2 => VoteRequest::Recover { member: peer, incarnation: rng.random_range(1..9) },
        3 => return Input::RecordQuotaDivisor(rng.random_range(1..9)),
        4 | 5 => return Input::LearnRegister(draw_register(rng, replica)),
        _ => VoteRequest::Accept { register: draw_register(rng, replica) },
    })
}

async fn send(replica: Rc<Replica>, input: Input, promises: Rc<RefCell<SentPromises>>) {
    match input {
        Input::Request(request) => {
            let learned = replica.publisher.store().register.as_deref().map(Register::rank);
            let response = replica.handle_vote_request(request.clone()).await;
            promises.borrow_mut().record(&request, &response.vote);
            if let (VoteRequest::Accept { register }, Vote::Accepted) = (&request, &response.vote)
                && Some(register.rank()) < learned
            {
                promises.borrow_mut().accepted_after_newer.push(register.rank());
            }
        }
        Input::LearnRegister(register) => {
            let published = replica.publisher.store().register.as_deref().map(Register::rank);
            if Some(register.rank()) > published {
                replica.publisher.update(|store| store.set_register(Rc::new(register)));
                replica.persist_published_register();
            }
        }
        Input::RecordQuotaDivisor(divisor) => replica.record_quota_divisor(divisor),
    }
}

/// Starts the process from its disk and runs it until a random moment.
async fn run_process(disk: SimulatedDisk, start: u64, seed: u64, promises: Rc<RefCell<SentPromises>>) {
    let mut rng = SmallRng::seed_from_u64(seed << 8 | start);
    let directory: Rc<dyn Directory> = Rc::new(disk.clone());
    let environment = Environment::new(Rc::new(UnreachableNetwork), Some(Rc::clone(&directory)), seed);
    let mut stored = StoredRecords::load(&*directory).expect("the records are readable");
    let (record, register): (Option<VoterRecord>, _) = stored.decode_all();
    let storage = Storage::start(directory, &stored);
    let publisher = Publisher::new(environment.clock());
    let kind = if start == 0 { StartKind::Initial } else { StartKind::Restart };
    let voter = Voter::start(record.as_ref(), register, &members(), kind, publisher.now());
    if start == 0 {
        storage.save(Record::Voter, &voter.record()).await.expect("writing to an empty disk");
    }
    let replica = Replica::start(members()[0], members(), voter, storage, publisher, environment);
    for _ in 0..REQUESTS_PER_START {
        let at = Duration::from_millis(rng.random_range(0..REQUEST_SPAN_MS));
        let (replica, promises) = (Rc::clone(&replica), Rc::clone(&promises));
        let input = draw_input(&mut rng, &replica);
        tokio::task::spawn_local(async move {
            sleep(at).await;
            send(replica, input, promises).await;
        });
    }
    if rng.random_bool(0.3) {
        let condition = if rng.random_bool(0.5) { DiskCondition::Full } else { DiskCondition::Hung };
        sleep(Duration::from_millis(rng.random_range(0..REQUEST_SPAN_MS))).await;
        disk.set_condition(condition);
        sleep(Duration::from_millis(rng.random_range(0..REQUEST_SPAN_MS))).await;
        disk.set_condition(DiskCondition::Healthy);
    }
    sleep(Duration::from_millis(rng.random_range(0..2 * REQUEST_SPAN_MS))).await;
}

fn run_seed(seed: u64) {
    let disk = SimulatedDisk::new(SYNC_TIME);
    disk.enable_random_latency(seed);
    let promises = Rc::new(RefCell::new(SentPromises::default()));
    let mut rng = SmallRng::seed_from_u64(seed);
    for start in 0..STARTS {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
        let tasks = LocalSet::new();
        let run = tasks.run_until(run_process(disk.clone(), start, seed, Rc::clone(&promises)));
        runtime.expect("a runtime").block_on(run);
        // Cancels all tasks, as the end of the process does.
        drop(tasks);
        disk.set_condition(DiskCondition::Healthy);
        match rng.random_range(0..5) {
            0 => disk.lose_power(UnsyncedData::Lost),
            1 => disk.lose_power(UnsyncedData::Kept),
            2 => disk.lose_power(UnsyncedData::Torn(rng.random())),
            // The process was killed without a power loss, so that unsynced data is kept.
            _ => {}
        }
        let mut stored = StoredRecords::load(&disk).expect("the records are readable");
        promises.borrow().assert_kept(&mut stored, seed);
    }
}

#[test]
fn a_restart_loads_all_promises_that_were_sent() {
    vanewharf_runtime::log::disable();
    (0..SEEDS).for_each(run_seed);
    assert_eq!(Invariant::DiskNeverGoesBack.violations(), 0);
}
