//! The controller, the process of the control plane.
//!
//! Controllers elect a leaseholder, which executes operator orders, replicates the configuration register to a majority
//! of the voters, aggregates the proxies' reports and polls the platform for backends. Every controller serves the
//! state that the leaseholder publishes to the proxies' agents, and answers registry queries from clients.
//!
//! All tasks run on one thread, on the current `LocalSet`.

#![forbid(unsafe_code)]

mod internal_api;
mod operator_api;
mod orders;
mod platform;
mod public_api;
mod registry_api;
mod replica;
mod roles;
mod state;
pub mod storage;

use orders::OrderQueue;
use replica::Replica;
use roles::backend_polling::poll_platform;
use roles::freshness_attestation::attest_freshness;
use roles::leaseholder_following::follow_leaseholder;
use roles::membership_management::manage_membership;
use roles::report_aggregation::aggregate_reports;
use state::ControllerState;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use storage::{LostRecord, Record, Storage, StoredRecords};
use thiserror::Error;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use vanewharf_config::document::DocumentError;
use vanewharf_config::settings::Settings;
use vanewharf_consensus::{StartKind, Voter, VoterRecord};
use vanewharf_protocol::messages::Register;
use vanewharf_rpc::{Publisher, ServerDrain, serve_deduplicated_until_drained, serve_until_drained};
use vanewharf_runtime::environment::{Environment, Listener};
use vanewharf_runtime::program::ShutdownSignal;

/// Fraction of the grace period during which new requests are still accepted after the lease has been released, because
/// callers notice the shutdown with a delay.
const ACCEPT_GRACE_FRACTION: f64 = 0.1;
/// Fraction of the grace period after which calls that are still in flight are answered with an uncertain outcome.
const ANSWER_GRACE_FRACTION: f64 = 0.7;

/// A reason why the controller failed to start. The program prints it on exit.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings do not contain the listen address of the operator API.
    #[error("{0}")]
    Settings(#[from] DocumentError),
    /// The settings do not contain the directory for the controller's records.
    #[error("data_directory is not set; a controller stores its consensus state there")]
    NoDataDirectory,
    /// The stored records cannot be read.
    #[error("cannot read the records in data_directory: {0}")]
    ReadRecords(#[source] io::Error),
    /// A listening socket cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Listen address of the internal API, the operator API or the registry.
        address: SocketAddr,
        /// Error returned by the operating system.
        source: io::Error,
    },
}

/// A started controller, whose tasks run on the current `LocalSet`.
pub struct RunningController {
    replica: Rc<Replica>,
    drain: ServerDrain,
    grace_period: Duration,
}

impl RunningController {
    /// Returns whether this controller holds the lease, and therefore executes operator orders.
    pub fn holds_lease(&self) -> bool {
        self.replica.holds_lease()
    }

    /// Releases the lease, then answers every request that has been read before the grace period ends.
    pub async fn shut_down(&self) {
        let answer_deadline = Instant::now() + self.grace_period.mul_f64(ANSWER_GRACE_FRACTION);
        self.replica.shut_down().await;
        sleep(self.grace_period.mul_f64(ACCEPT_GRACE_FRACTION)).await;
        self.drain.shut_down(answer_deadline).await;
    }
}

/// Runs a controller until `shutdown` completes.
///
/// # Errors
/// Returns an error if the controller cannot be started, see [`start`].
pub async fn run(
    settings: Settings,
    environment: Environment,
    shutdown: ShutdownSignal,
) -> Result<(), StartError> {
    let controller = start(settings, environment).await?;
    let _ = shutdown.await;
    controller.shut_down().await;
    Ok(())
}

/// Starts a controller on the current `LocalSet`.
///
/// # Errors
/// Returns an error if a required setting is missing, the stored records cannot be read, or a listening socket cannot
/// be opened.
pub async fn start(settings: Settings, environment: Environment) -> Result<RunningController, StartError> {
    let settings = Rc::new(settings);
    let operator_address = settings.listen_address("control_plane")?;
    let registry_address = settings.listen_address("directory_service").ok();
    let publisher = Publisher::new(environment.clock());
    let replica = start_replica(&settings, &environment, &publisher).await?;
    let state =
        ControllerState::new(Rc::clone(&replica), publisher, environment.clone(), Rc::clone(&settings));
    let state = Rc::new(state);
    let orders = start_roles(&state);

    let drain = ServerDrain::default();
    let internal_listener = listen(&environment, replica.address)?;
    spawn_local(serve_internal_api(internal_listener, Rc::clone(&state), drain.clone()));
    for address in [Some(operator_address), registry_address].into_iter().flatten() {
        let public_listener = listen(&environment, address)?;
        spawn_local(serve_public_api(public_listener, Rc::clone(&state), orders.clone(), drain.clone()));
    }
    Ok(RunningController { replica, drain, grace_period: settings.limits_table.grace_period })
}

/// Loads the stored records and starts the consensus replica from them.
async fn start_replica(
    settings: &Settings,
    environment: &Environment,
    publisher: &Publisher,
) -> Result<Rc<Replica>, StartError> {
    let directory = environment.directory.clone().ok_or(StartError::NoDataDirectory)?;
    let mut stored = StoredRecords::load(&*directory).map_err(StartError::ReadRecords)?;
    let (voter_record, register): (Option<VoterRecord>, Option<Register>) = stored.decode_all();
    for file in &stored.corrupt_files {
        spdlog::warn!(
            "stored record file is unusable (torn, corrupt, or on a disk that lost a record); renaming it",
            kv: { event = "record_corrupt", file = file.as_str() }
        );
    }
    for LostRecord { record, reason } in &stored.lost_records {
        spdlog::error!(
            "a durable record was lost; setting aside all stored records, the voter recovers from other members",
            kv: { event = "record_lost", record:? = record, reason = reason.to_string().as_str() }
        );
    }
    let storage = Storage::start(directory, &stored);
    let seeds: Vec<SocketAddr> =
        settings.seeds.iter().map(|seed| settings.controller_address(seed.ip())).collect();
    let is_first_start = settings.initial_start && stored.is_empty();
    let start_kind = if is_first_start { StartKind::Initial } else { StartKind::Restart };
    let voter = Voter::start(voter_record.as_ref(), register, &seeds, start_kind, publisher.now());
    if is_first_start && let Err(error) = storage.save(Record::Voter, &voter.record()).await {
        spdlog::warn!(
            "cannot write the initial members to disk",
            kv: { event = "initial_members_not_persisted", error: }
        );
    }
    let address = settings.controller_address(settings.ip);
    let is_amnesic = voter.is_amnesic();
    let replica =
        Replica::start(address, seeds, voter, storage.clone(), publisher.clone(), environment.clone());
    if let Some(voter_record) = voter_record {
        spawn_local(Rc::clone(&replica).query_previous_leaseholder(voter_record));
    }
    if is_amnesic {
        spawn_local(Rc::clone(&replica).recover_from_amnesia(storage));
    }
    Ok(replica)
}

/// Spawns the tasks described in [`roles`]. The runtime first polls them in the order in which they are spawned here.
fn start_roles(state: &Rc<ControllerState>) -> OrderQueue {
    spawn_local(follow_leaseholder(Rc::clone(state)));
    spawn_local(aggregate_reports(Rc::clone(state)));
    spawn_local(poll_platform(Rc::clone(state)));
    spawn_local(attest_freshness(Rc::clone(state)));
    let orders = OrderQueue::start(Rc::clone(&state.replica));
    spawn_local(manage_membership(Rc::clone(state), orders.clone()));
    orders
}

fn listen(environment: &Environment, address: SocketAddr) -> Result<Box<dyn Listener>, StartError> {
    environment.network.listen(address).map_err(|source| StartError::Listen { address, source })
}

async fn serve_internal_api(listener: Box<dyn Listener>, state: Rc<ControllerState>, drain: ServerDrain) {
    let handler = move |request| {
        let state = Rc::clone(&state);
        async move { internal_api::dispatch(&state, &request).await }
    };
    serve_deduplicated_until_drained(listener, handler, drain).await;
}

async fn serve_public_api(
    listener: Box<dyn Listener>,
    state: Rc<ControllerState>,
    orders: OrderQueue,
    drain: ServerDrain,
) {
    let handler = move |request| {
        let state = Rc::clone(&state);
        let orders = orders.clone();
        async move { public_api::dispatch(&state, &orders, &request).await }
    };
    serve_until_drained(listener, handler, drain).await;
}
