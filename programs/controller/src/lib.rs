//! The control plane's program: keeps the operator's register, lists and sums what all doors need, and is the registry that
//! clients ask where to go.

mod cloud;
mod disk;
mod duties;
mod office;
mod orders;
mod public;

use disk::{Disk, Record};
use duties::{Desk, Lending};
use office::Office;
use orders::Orders;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_config::settings::Settings;
use vanewharf_consensus::voter::{Promise, Voter};
use vanewharf_discovery::summing::Summing;
use vanewharf_protocol::messages::{Ballot, OfficeRow, Pull, Tokens, VoteRequest};
use vanewharf_quota::quota::Buckets;
use vanewharf_rpc::call::{Said, serve, serve_own};
use vanewharf_rpc::feed::Feed;
use vanewharf_runtime::premises::Premises;
use vanewharf_runtime::program::End;

/// Calls that are under way at the end are answered.
const LAST_ANSWERS: Duration = Duration::from_millis(600);

/// A controller whose tasks run on the current local set.
pub struct RunningController {
    office: Rc<Office>,
}

impl RunningController {
    /// Whether it holds the lease, and so executes operator orders, now.
    pub fn holds_lease(&self) -> bool {
        self.office.holds()
    }

    pub async fn shut_down(&self) {
        self.office.leave().await;
        sleep(LAST_ANSWERS).await;
    }
}

pub async fn run(settings: Settings, premises: Premises, end: End) -> Result<(), String> {
    let controller = start(settings, premises).await?;
    let _ = end.await;
    controller.shut_down().await;
    Ok(())
}

pub async fn start(settings: Settings, premises: Premises) -> Result<RunningController, String> {
    let because = |what: &str, error: std::io::Error| format!("{what}: {error}");
    let settings = Rc::new(settings);
    let (control, registry) = (settings.listens("control_plane"), settings.listens("directory_service"));
    let control = control.map_err(|fault| fault.to_string())?;
    let folder = premises.folder.clone().ok_or("data_directory is missing: a postmaster needs a disk")?;
    let found = disk::find(&*folder).map_err(|error| because("the disk cannot be read", error))?;
    for aside in &found.spoilt {
        spdlog::warn!("a copy was torn or spoilt and is set aside: {}", aside);
    }
    let disk = Disk::start(folder, &found);

    let steady = premises.steady();
    let feed = Feed::new(steady);
    let me = settings.office(settings.ip);
    let promise: Option<Promise> = found.record(Record::Promise);
    let first = settings.initial_start && found.nothing();
    let seeds: Vec<_> = settings.seeds.iter().map(|seed| settings.office(seed.ip())).collect();
    let voter = Voter::start(promise.as_ref(), found.record(Record::Register), &seeds, first, steady.now());
    if first && let Err(error) = disk.save(Record::Promise, &voter.record()).await {
        spdlog::warn!("the set of voters is not on disk: {}", error);
    }
    let amnesic = voter.amnesic();
    let office = Office::start(me, seeds, voter, disk.clone(), feed.clone(), premises.clone());
    if let Some(promise) = promise {
        tokio::task::spawn_local(Rc::clone(&office).inquire(promise));
    }
    if amnesic {
        tokio::task::spawn_local(Rc::clone(&office).recover(disk));
    }

    let sums = Rc::new(RefCell::new(Summing::default()));
    let row = OfficeRow { ip: settings.ip, zone: settings.zone.clone() };
    let desk = Rc::new(Desk {
        office: Rc::clone(&office),
        feed: feed.clone(),
        premises: premises.clone(),
        sums,
        row,
        settings: Rc::clone(&settings),
        hosts: RefCell::default(),
        lending: RefCell::new(Lending {
            buckets: Buckets::start(settings.bounds.rate_allowance, settings.initial_start, steady.now()),
            life: premises.life(),
        }),
        following: RefCell::default(),
    });
    tokio::task::spawn_local(Rc::clone(&desk).follow());
    tokio::task::spawn_local(Rc::clone(&desk).sum());
    tokio::task::spawn_local(Rc::clone(&desk).ask_platform());
    tokio::task::spawn_local(Rc::clone(&desk).attest());
    let orders = Orders::start(Rc::clone(&office));
    tokio::task::spawn_local(Rc::clone(&desk).tend_membership(orders.clone()));

    let inside =
        premises.net.listen(me).map_err(|error| because(&format!("cannot listen on {me}"), error))?;
    let within = Rc::clone(&desk);
    tokio::task::spawn_local(serve_own(inside, move |request| {
        let desk = Rc::clone(&within);
        async move { internal(&desk, &request).await }
    }));
    for address in [Some(control), registry.ok()].into_iter().flatten() {
        let outside = premises
            .net
            .listen(address)
            .map_err(|error| because(&format!("cannot listen on {address}"), error))?;
        let (desk, orders) = (Rc::clone(&desk), orders.clone());
        tokio::task::spawn_local(serve(outside, move |request| {
            let (desk, orders) = (Rc::clone(&desk), orders.clone());
            async move { public::dispatch(&desk, &orders, &request).await }
        }));
    }
    Ok(RunningController { office })
}

/// The system's own calls.
async fn internal(desk: &Desk, request: &vanewharf_http1::Request) -> Said {
    let unread = |error: serde_json::Error| Said::status(400, &error.to_string());
    match (request.method(), request.target()) {
        ("POST", "/pull") => match serde_json::from_slice::<Pull>(request.body()) {
            Ok(pull) => Said::json(&desk.pulled(pull).await).packed(request),
            Err(error) => unread(error),
        },
        ("POST", "/lend") => match serde_json::from_slice::<Tokens>(request.body()) {
            Ok(wanted) => Said::json(&desk.lend(wanted)),
            Err(error) => unread(error),
        },
        ("POST", "/vote") => match serde_json::from_slice::<VoteRequest>(request.body()) {
            Ok(request) => Said::json(&desk.office.vote(request).await),
            Err(error) => unread(error),
        },
        ("POST", "/holds") => match serde_json::from_slice::<Ballot>(request.body()) {
            Ok(ballot) => Said::json(&desk.office.holds_by(ballot)),
            Err(error) => unread(error),
        },
        ("GET", "/neighbours") => Said::json(&desk.neighbours()),
        ("GET", "/membership") => Said::json(&desk.office.membership()),
        _ => Said::status(404, "there is no such call"),
    }
}
