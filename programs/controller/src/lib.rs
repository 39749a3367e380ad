//! The control plane's program: keeps the operator's register, lists and sums what all doors need, and is the registry that
//! clients ask where to go.

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
use roles::token_lender::TokenLender;
use state::ControllerState;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use storage::{Record, Storage};
use tokio::time::sleep;
use vanewharf_config::settings::Settings;
use vanewharf_consensus::{StartKind, Voter, VoterRecord};
use vanewharf_discovery::FleetAggregator;
use vanewharf_protocol::messages::ControllerEntry;
use vanewharf_quota::TokenBuckets;
use vanewharf_rpc::Publisher;
use vanewharf_rpc::{serve, serve_deduplicated};
use vanewharf_runtime::environment::Environment;
use vanewharf_runtime::program::End;

/// Calls that are under way at the end are answered.
const LAST_ANSWERS: Duration = Duration::from_millis(600);

/// A controller whose tasks run on the current local set.
pub struct RunningController {
    replica: Rc<Replica>,
}

impl RunningController {
    /// Whether it holds the lease, and so executes operator orders, now.
    pub fn holds_lease(&self) -> bool {
        self.replica.holds()
    }

    pub async fn shut_down(&self) {
        self.replica.leave().await;
        sleep(LAST_ANSWERS).await;
    }
}

pub async fn run(settings: Settings, premises: Environment, end: End) -> Result<(), String> {
    let controller = start(settings, premises).await?;
    let _ = end.await;
    controller.shut_down().await;
    Ok(())
}

pub async fn start(settings: Settings, premises: Environment) -> Result<RunningController, String> {
    let because = |what: &str, error: std::io::Error| format!("{what}: {error}");
    let settings = Rc::new(settings);
    let (control, registry) =
        (settings.listen_address("control_plane"), settings.listen_address("directory_service"));
    let control = control.map_err(|fault| fault.to_string())?;
    let folder = premises.directory.clone().ok_or("data_directory is missing: a postmaster needs a disk")?;
    let found = storage::find(&*folder).map_err(|error| because("the disk cannot be read", error))?;
    for aside in &found.spoilt {
        spdlog::warn!("a copy was torn or spoilt and is set aside: {}", aside);
    }
    let disk = Storage::start(folder, &found);

    let steady = premises.clock();
    let feed = Publisher::new(steady);
    let me = settings.controller_address(settings.ip);
    let promise: Option<VoterRecord> = found.record(Record::Promise);
    let start =
        if settings.initial_start && found.nothing() { StartKind::Initial } else { StartKind::Restart };
    let seeds: Vec<_> = settings.seeds.iter().map(|seed| settings.controller_address(seed.ip())).collect();
    let voter = Voter::start(promise.as_ref(), found.record(Record::Register), &seeds, start, steady.now());
    if start == StartKind::Initial
        && let Err(error) = disk.save(Record::Promise, &voter.record()).await
    {
        spdlog::warn!("the set of voters is not on disk: {}", error);
    }
    let amnesic = voter.is_amnesic();
    let replica = Replica::start(me, seeds, voter, disk.clone(), feed.clone(), premises.clone());
    if let Some(promise) = promise {
        tokio::task::spawn_local(Rc::clone(&replica).inquire(promise));
    }
    if amnesic {
        tokio::task::spawn_local(Rc::clone(&replica).recover(disk));
    }

    let sums = Rc::new(RefCell::new(FleetAggregator::default()));
    let row = ControllerEntry { ip: settings.ip, zone: settings.zone.clone() };
    let state = Rc::new(ControllerState {
        replica: Rc::clone(&replica),
        feed: feed.clone(),
        premises: premises.clone(),
        sums,
        row,
        settings: Rc::clone(&settings),
        hosts: RefCell::default(),
        lending: RefCell::new(TokenLender {
            buckets: TokenBuckets::new(
                settings.limits_table.rate_allowance,
                settings.initial_start,
                steady.now(),
            ),
            life: premises.random_incarnation(),
        }),
        following: RefCell::default(),
    });
    tokio::task::spawn_local(Rc::clone(&state).follow());
    tokio::task::spawn_local(Rc::clone(&state).sum());
    tokio::task::spawn_local(Rc::clone(&state).ask_platform());
    tokio::task::spawn_local(Rc::clone(&state).attest());
    let orders = OrderQueue::start(Rc::clone(&replica));
    tokio::task::spawn_local(Rc::clone(&state).tend_membership(orders.clone()));

    let inside =
        premises.network.listen(me).map_err(|error| because(&format!("cannot listen on {me}"), error))?;
    let within = Rc::clone(&state);
    tokio::task::spawn_local(serve_deduplicated(inside, move |request| {
        let state = Rc::clone(&within);
        async move { internal_api::dispatch(&state, &request).await }
    }));
    for address in [Some(control), registry.ok()].into_iter().flatten() {
        let outside = premises
            .network
            .listen(address)
            .map_err(|error| because(&format!("cannot listen on {address}"), error))?;
        let (state, orders) = (Rc::clone(&state), orders.clone());
        tokio::task::spawn_local(serve(outside, move |request| {
            let (state, orders) = (Rc::clone(&state), orders.clone());
            async move { public_api::dispatch(&state, &orders, &request).await }
        }));
    }
    Ok(RunningController { replica })
}
