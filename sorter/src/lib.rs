//! The agent beside a carrier, on its machine: keeps the link to the control plane, pulls what is new and feeds the
//! carrier over loopback; carries the carrier's reports the other way.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_mailroom::call::{Caller, Said, listen, serve};
use vanewharf_mailroom::clock::{At, Steady};
use vanewharf_mailroom::feed::Feed;
use vanewharf_mailroom::program::End;
use vanewharf_mailroom::settings::Settings;
use vanewharf_mailroom::words::{Pull, Report};

/// How long a pull waits for news.
const WAIT: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(60);
/// A report that its carrier made longer ago tells nothing: the carrier is gone.
const STALE: Duration = Duration::from_millis(800);
/// A postmaster that is further behind than this is left for another.
const BEHIND: Duration = Duration::from_millis(2000);
/// How long one that failed is not asked again while others are left.
const SPARED: Duration = Duration::from_secs(3);
/// A carrier that ends is fed for this much of the grace that a process is given.
const FEEDS_ON: f64 = 0.9;

/// The carrier's last report, and when it was made.
type Last = Rc<RefCell<Option<(Report, At)>>>;

pub async fn run(settings: Settings, end: End) -> Result<(), String> {
    let (feed, last) = (Feed::new(Steady::start()), Last::default());
    let at = settings.loopback();
    let listener = listen(at).map_err(|error| format!("cannot listen on {at}: {error}"))?;
    let (fed, reported) = (feed.clone(), Rc::clone(&last));
    tokio::task::spawn_local(serve(listener, move |request| {
        let (feed, last) = (fed.clone(), Rc::clone(&reported));
        async move {
            if (request.method(), request.target()) != ("POST", "/pull") {
                return Said::status(404, "there is no such call");
            }
            match serde_json::from_slice::<Pull>(request.body()) {
                Ok(mut pull) => {
                    if let Some(report) = pull.reports.pop() {
                        let now = feed.now();
                        let made = now.before(Duration::from_millis(report.age_ms));
                        *last.borrow_mut() = Some((report, made));
                    }
                    Said::json(&feed.answer(&pull).await)
                }
                Err(error) => Said::status(400, &error.to_string()),
            }
        }
    }));
    let grace = settings.bounds.grace;
    tokio::task::spawn_local(keep_pulling(settings, feed, last));
    let _ = end.await;
    sleep(grace.mul_f64(FEEDS_ON)).await;
    Ok(())
}

/// From the nearest postmaster that answers: first in this zone, then in this region, then anywhere.
async fn keep_pulling(settings: Settings, feed: Feed, last: Last) {
    let (mut from, mut failed): (Option<Caller>, BTreeMap<IpAddr, At>) = (None, BTreeMap::new());
    let mut behind: BTreeMap<IpAddr, At> = BTreeMap::new();
    loop {
        let offices = known(&settings, &feed);
        let now = feed.now();
        failed.retain(|_, at| now.since(*at) < SPARED);
        behind.retain(|_, at| now.since(*at) < SPARED);
        let answers = |ip: &&IpAddr| !failed.contains_key(ip);
        // One that answers, though it knows nothing new, is better than none: clients hear of this door through it.
        let best = offices.iter().filter(answers).find(|ip| !behind.contains_key(ip));
        let Some(best) = best.or_else(|| offices.iter().find(answers)).copied() else {
            failed.clear();
            sleep(PAUSE).await;
            continue;
        };
        let address: SocketAddr = settings.office(best);
        if from.as_ref().is_none_or(|caller| caller.address != address) {
            from = Some(Caller::to(address));
        }
        let Some(caller) = &mut from else {
            continue;
        };
        let now = feed.now();
        let report =
            last.borrow().as_ref().filter(|(_, made)| now.since(*made) < STALE).map(|(report, made)| {
                Report { age_ms: now.since(*made).as_millis() as u64, ..report.clone() }
            });
        let pull = Pull {
            have: feed.store().have(),
            wait_ms: WAIT.as_millis() as u64,
            office: None,
            lent: None,
            reports: report.into_iter().collect(),
        };
        match feed.pull(caller, &pull).await {
            Ok(_) => {
                let sure = feed.store().sure;
                if sure.is_none_or(|sure| feed.now().since(sure) > BEHIND) {
                    // It answers and knows nothing new itself: another may.
                    behind.insert(best, feed.now());
                    sleep(PAUSE).await;
                }
            }
            Err(why) => {
                spdlog::debug!("nothing from {}: {}", address, why);
                failed.insert(best, feed.now());
                from = None;
                sleep(PAUSE).await;
            }
        }
    }
}

/// The postmasters that are known, the nearest first.
fn known(settings: &Settings, feed: &Feed) -> Vec<IpAddr> {
    let store = feed.store();
    let rows = store.ledger.iter().flat_map(|ledger| &ledger.offices);
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
