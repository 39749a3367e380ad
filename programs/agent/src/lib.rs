//! The agent beside a carrier, on its machine: keeps the link to the control plane, pulls what is new and feeds the
//! carrier over loopback; carries the carrier's reports the other way. Where no postmaster answers it hears through neighbours.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_clock::Timestamp;
use vanewharf_config::settings::Settings;
use vanewharf_discovery::PeerView;
use vanewharf_discovery::{SourceChoice, SourceSelector};
use vanewharf_http1::Request;
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::{PeerEntry, ProxyReport, PullRequest};
use vanewharf_rpc::Publisher;
use vanewharf_rpc::{RpcClient, RpcResponse, serve_deduplicated};
use vanewharf_runtime::environment::Environment;
use vanewharf_runtime::program::ShutdownSignal;

const PAUSE: Duration = Duration::from_millis(60);
/// A report that its carrier made longer ago tells nothing: the carrier is gone.
const STALE: Duration = Duration::from_millis(800);
/// A carrier that ends is fed for this much of the grace that a process is given.
const FEEDS_ON: f64 = 0.9;

/// How often the view is shuffled, and how long a neighbour is waited for.
const SHUFFLED: Duration = Duration::from_millis(1800);
const BESIDE: Duration = Duration::from_millis(400);
/// Connections kept to sources that are asked in turn.
const MOST_CALLERS: usize = 4;
/// Other doors' reports that are passed on.
const MOST_RELAYED: usize = 8;

/// The carrier's last report, and when it was made.
type Last = Rc<RefCell<Option<(ProxyReport, Timestamp)>>>;
/// Reports of doors that reach no postmaster, by name.
type Relayed = Rc<RefCell<BTreeMap<String, (ProxyReport, Timestamp)>>>;

pub async fn run(settings: Settings, premises: Environment, end: ShutdownSignal) -> Result<(), String> {
    let (feed, last) = (Publisher::new(premises.clock()), Last::default());
    let at = settings.agent_loopback_address();
    let listener = premises.network.listen(at).map_err(|error| format!("cannot listen on {at}: {error}"))?;
    let (fed, reported) = (feed.clone(), Rc::clone(&last));
    tokio::task::spawn_local(serve_deduplicated(listener, move |request| {
        let (feed, last) = (fed.clone(), Rc::clone(&reported));
        async move {
            if (request.method(), request.target()) != ("POST", endpoints::PULL) {
                return RpcResponse::with_status(404, "there is no such call");
            }
            match serde_json::from_slice::<PullRequest>(request.body()) {
                Ok(mut pull) => {
                    if let Some(report) = pull.reports.pop() {
                        let now = feed.now();
                        let made = now.before(Duration::from_millis(report.age_ms));
                        *last.borrow_mut() = Some((report, made));
                    }
                    RpcResponse::json(&feed.respond(&pull).await)
                }
                Err(error) => RpcResponse::with_status(400, &error.to_string()),
            }
        }
    }));
    let view = Rc::new(RefCell::new(PeerView::new(settings.ip, &settings.region)));
    let beside = settings.agent_address(settings.ip);
    let listener =
        premises.network.listen(beside).map_err(|error| format!("cannot listen on {beside}: {error}"))?;
    let relayed = Relayed::default();
    let (fed, known, kept, here) = (feed.clone(), Rc::clone(&view), Rc::clone(&relayed), premises.clone());
    tokio::task::spawn_local(serve_deduplicated(listener, move |request| {
        let (feed, view, relayed) = (fed.clone(), Rc::clone(&known), Rc::clone(&kept));
        let draw = here.random_below(1 << 16) as usize;
        async move { beside_calls(&feed, &view, &relayed, draw, &request).await }
    }));
    let grace = settings.limits_table.grace_period;
    let settings = Rc::new(settings);
    tokio::task::spawn_local(shuffle(Rc::clone(&settings), premises.clone(), feed.clone(), Rc::clone(&view)));
    tokio::task::spawn_local(keep_pulling(settings, premises, feed, last, view, relayed));
    let _ = end.await;
    sleep(grace.mul_f64(FEEDS_ON)).await;
    Ok(())
}

/// Calls of other doors.
async fn beside_calls(
    feed: &Publisher,
    view: &RefCell<PeerView>,
    relayed: &Relayed,
    draw: usize,
    request: &Request,
) -> RpcResponse {
    match (request.method(), request.target()) {
        ("POST", endpoints::GOSSIP) => match serde_json::from_slice::<Vec<PeerEntry>>(request.body()) {
            Ok(told) => {
                let now = feed.now();
                let mine = view.borrow().sample(draw, now);
                view.borrow_mut().merge(&told, now);
                RpcResponse::json(&mine)
            }
            Err(error) => RpcResponse::with_status(400, &error.to_string()),
        },
        ("POST", endpoints::PULL) => match serde_json::from_slice::<PullRequest>(request.body()) {
            Ok(pull) => {
                let now = feed.now();
                {
                    let mut relayed = relayed.borrow_mut();
                    relayed.retain(|_, (_, made)| now.since(*made) < STALE);
                    for report in pull.reports.iter().take(MOST_RELAYED.saturating_sub(relayed.len())) {
                        let made = now.before(Duration::from_millis(report.age_ms));
                        relayed.insert(report.proxy.name.clone(), (report.clone(), made));
                    }
                }
                RpcResponse::json(&feed.respond(&pull).await).compressed_for(request)
            }
            Err(error) => RpcResponse::with_status(400, &error.to_string()),
        },
        _ => RpcResponse::with_status(404, "there is no such call"),
    }
}

/// Now and then the view is told to one of the doors in it, and that one's view heard.
async fn shuffle(
    settings: Rc<Settings>,
    premises: Environment,
    feed: Publisher,
    view: Rc<RefCell<PeerView>>,
) {
    loop {
        let draw = premises.random_below(1 << 16) as usize;
        sleep(SHUFFLED + Duration::from_millis(draw as u64 % 400)).await;
        let first = view.borrow().contact_order(draw).first().copied();
        let now = feed.now();
        match first {
            Some(ip) => {
                let told = view.borrow().sample(draw, now);
                let mut there = RpcClient::new(settings.agent_address(ip), &premises.network);
                match there.post::<_, Vec<PeerEntry>>(endpoints::GOSSIP, &told, BESIDE).await {
                    Ok(heard) => view.borrow_mut().merge(&heard, feed.now()),
                    Err(_) => view.borrow_mut().remove(ip),
                }
            }
            // It knows no door: a postmaster names some.
            None => {
                for ip in known(&settings, &feed) {
                    let mut there = RpcClient::new(settings.controller_address(ip), &premises.network);
                    if let Ok(heard) = there.get::<Vec<PeerEntry>>(endpoints::PEERS, BESIDE).await {
                        view.borrow_mut().merge(&heard, feed.now());
                        break;
                    }
                }
            }
        }
    }
}

/// Hears through one source after the other, as `SourceSelector` has it.
async fn keep_pulling(
    settings: Rc<Settings>,
    premises: Environment,
    feed: Publisher,
    last: Last,
    view: Rc<RefCell<PeerView>>,
    relayed: Relayed,
) {
    let (mut callers, mut sources): (Vec<RpcClient>, SourceSelector) = Default::default();
    loop {
        let offices: Vec<_> =
            known(&settings, &feed).into_iter().map(|ip| settings.controller_address(ip)).collect();
        let beside: Vec<_> = {
            // From one on that is this door's own, so that not all turn to the same.
            let order =
                view.borrow().contact_order(usize::from(u8::try_from(settings.name.len()).unwrap_or(0)));
            order.into_iter().map(|ip| settings.agent_address(ip)).collect()
        };
        let Some(SourceChoice { source: best, wait }) = sources.choose_next(&offices, &beside, feed.now())
        else {
            sleep(PAUSE).await;
            continue;
        };
        let kept = callers.iter().position(|caller| caller.address == best).map(|at| callers.remove(at));
        let mut caller = kept.unwrap_or_else(|| RpcClient::new(best, &premises.network));
        let now = feed.now();
        let aged = |(report, made): &(ProxyReport, Timestamp)| {
            let age = now.since(*made);
            (age < STALE).then(|| ProxyReport { age_ms: age.as_millis() as u64, ..report.clone() })
        };
        let own = last.borrow().as_ref().and_then(aged);
        let name = own.as_ref().map(|report| report.proxy.name.clone());
        let relayed: Vec<_> = relayed.borrow().values().filter_map(aged).collect();
        let others = relayed.into_iter().filter(|report| Some(&report.proxy.name) != name.as_ref());
        let pull = PullRequest {
            versions: feed.store().versions(),
            wait_ms: wait.as_millis() as u64,
            follower: None,
            token_leases: None,
            reports: own.into_iter().chain(others).collect(),
        };
        match feed.pull(&mut caller, &pull).await {
            // By the source's own word: what is in hand may be newer, of another one.
            Ok(news) => {
                callers.insert(0, caller);
                callers.truncate(MOST_CALLERS);
                if !sources.record_answer(best, news.attested_at, &beside, feed.now()) {
                    sleep(PAUSE).await;
                }
            }
            Err(why) => {
                spdlog::debug!("nothing from {}: {}", best, why);
                sources.record_failure(best, &beside, feed.now());
                sleep(PAUSE).await;
            }
        }
    }
}

/// The postmasters that are known, the nearest first.
fn known(settings: &Settings, feed: &Publisher) -> Vec<IpAddr> {
    let store = feed.store();
    let rows = store.fleet_summary.iter().flat_map(|ledger| &ledger.controllers);
    let place = |zone: &str| {
        let region = settings.zones.get(zone);
        (zone != settings.zone, region != Some(&settings.region))
    };
    let mut offices: Vec<_> = rows.map(|row| (place(&row.zone), row.ip)).collect();
    for seed in &settings.seeds {
        if !offices.iter().any(|(_, ip)| *ip == seed.ip()) {
            offices.push(((true, true), seed.ip()));
        }
    }
    offices.sort_unstable();
    offices.into_iter().map(|(_, ip)| ip).collect()
}
