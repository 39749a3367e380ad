//! The controller: the program of the control plane.
//!
//! Controllers elect a leaseholder among them, which executes operator orders, replicates the configuration register to a
//! majority of the voters, aggregates what proxies report and polls the platform for backends. All controllers serve what
//! the leaseholder publishes to the proxies' agents, and answer the clients' registry queries.
//!
//! Everything runs on one thread, in tasks of the current local set.

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

/// The share of the grace period for which further requests are accepted once the lease is released: callers learn late
/// that this controller goes.
const ACCEPT_SHARE: f64 = 0.1;
/// The share of the grace period after which calls in flight are answered as uncertain.
const GIVE_UP_SHARE: f64 = 0.7;

/// Why a controller cannot be started. Its text is printed to whoever starts the program.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings lack the address of the operator's API.
    #[error("{0}")]
    Settings(#[from] DocumentError),
    /// The settings name no directory for the controller's records.
    #[error("data_directory is missing: a postmaster needs a disk")]
    NoDataDirectory,
    /// The controller's records cannot be read.
    #[error("the disk cannot be read: {0}")]
    ReadRecords(#[source] io::Error),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Of the internal API, the operator's or the registry.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
}

/// A controller whose tasks run on the current local set.
pub struct RunningController {
    replica: Rc<Replica>,
    drain: ServerDrain,
    grace_period: Duration,
}

impl RunningController {
    /// Whether it holds the lease, and so executes operator orders, now.
    pub fn holds_lease(&self) -> bool {
        self.replica.holds_lease()
    }

    /// Releases the lease, and answers all requests that are read within the grace period.
    pub async fn shut_down(&self) {
        let give_up_at = Instant::now() + self.grace_period.mul_f64(GIVE_UP_SHARE);
        self.replica.shut_down().await;
        sleep(self.grace_period.mul_f64(ACCEPT_SHARE)).await;
        self.drain.shut_down(give_up_at).await;
    }
}

/// Runs a controller until `shutdown` completes.
///
/// # Errors
/// Where it cannot be started: see [`start`].
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

/// Starts a controller on the current local set.
///
/// # Errors
/// Where the settings lack something, the records cannot be read, or an address cannot be listened on.
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

/// Reads the controller's records and starts the replica from them.
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
            "a stored record is torn or corrupt; the file is renamed and the other copy is used",
            kv: { event = "record_corrupt", file = file.as_str() }
        );
    }
    for LostRecord { record, reason } in &stored.lost_records {
        spdlog::error!(
            "a record that was on this disk is lost; the disk counts as lost, and the voter recovers from other members",
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
            "the initial members are not on disk",
            kv: { event = "initial_members_not_persisted", error: }
        );
    }
    let address = settings.controller_address(settings.ip);
    let is_amnesic = voter.is_amnesic();
    let replica =
        Replica::start(address, seeds, voter, storage.clone(), publisher.clone(), environment.clone());
    if let Some(voter_record) = voter_record {
        spawn_local(Rc::clone(&replica).query_earlier_leaseholder(voter_record));
    }
    if is_amnesic {
        spawn_local(Rc::clone(&replica).recover_from_amnesia(storage));
    }
    Ok(replica)
}

/// The order in which tasks are spawned is that in which the runtime first polls them.
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
