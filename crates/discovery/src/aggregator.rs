//! Aggregation of the proxies' reports into the fleet summary, from which each process derives its share of what the
//! fleet may do together.
//!
//! Each controller records the reports that reach it; the leaseholder, to which the others forward theirs, publishes the
//! summary. A proxy that stops reporting is soon not named to clients any more, but is counted until its shares of the
//! quotas have shrunk to their floor: it may be cut off from the control plane only, and still admit requests.

use crate::admission_rates::{AdmissionRates, CounterSnapshot, sum_usage};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_health::OutlierDetector;
use vanewharf_protocol::messages::{
    AttemptCounts, ControllerEntry, FleetSummary, HostCounts, ProxyEntry, ProxyReport, TokenLeaseReport,
    Version,
};

/// A proxy is named to clients for this long after its last report; it reports with each pull, which waits for 300 ms.
const LIVE_FOR: Duration = Duration::from_millis(1000);

/// An owner of shares counts for this long after its last report. By then its shares have shrunk to their floor. Of a
/// proxy that died a part of each quota stays unused meanwhile, which tenants well below their quotas do not notice.
const COUNTED_FOR: Duration = Duration::from_secs(60);

/// A controller is listed for this long after it last pulled from the leaseholder.
const CONTROLLER_LISTED_FOR: Duration = Duration::from_secs(12);

/// With more than this fraction of a host's requests on routes with home regions, its clients are sent to a home region
/// directly, which saves the hop between regions.
const HOMED_FRACTION: f64 = 0.6;

/// Requests beyond the quotas that one proxy may admit. With less, a share either admits nothing or, by the debts of all
/// proxies together, too much: then the controllers hold the shares and lease tokens.
const MIN_ALLOWANCE_PER_PROXY: f64 = 1.5;

/// How long proxies may report before the first summary, where nobody remembers how many there are: the first one to
/// report must not be told that it is the only one.
const INITIAL_GATHERING: Duration = Duration::from_millis(250);

/// A proxy, by its newest report.
#[derive(Clone, Debug)]
struct KnownProxy {
    entry: ProxyEntry,
    /// By how many proxies it was last told that quotas are divided; 0: it does not know.
    acknowledged_divisor: u32,
    rates: AdmissionRates,
    hosts: BTreeMap<String, HostCounts>,
    attempts: BTreeMap<String, AttemptCounts>,
}

impl KnownProxy {
    /// One that only the previous leaseholder's summary names.
    fn inherited(entry: &ProxyEntry, now: Timestamp) -> KnownProxy {
        KnownProxy {
            entry: ProxyEntry { ready: false, ..entry.clone() },
            acknowledged_divisor: 0,
            rates: AdmissionRates::not_yet_reported(now),
            hosts: BTreeMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    fn is_live(&self, now: Timestamp) -> bool {
        self.rates.age(now) < LIVE_FOR
    }

    fn to_report(&self, now: Timestamp) -> ProxyReport {
        let counters = self.rates.latest();
        ProxyReport {
            proxy: self.entry.clone(),
            incarnation: counters.incarnation,
            age_ms: self.rates.age(now).as_millis() as u64,
            quota_divisor: self.acknowledged_divisor,
            admitted: counters.admitted.clone(),
            quota_shares: counters.quota_shares.clone(),
            hosts: self.hosts.clone(),
            attempts: self.attempts.clone(),
        }
    }

    fn to_entry(&self, now: Timestamp) -> ProxyEntry {
        ProxyEntry { ready: self.entry.ready && self.is_live(now), ..self.entry.clone() }
    }
}

/// The reports that one controller has received, and the fleet summary made from them.
#[derive(Clone, Debug, Default)]
pub struct FleetAggregator {
    proxies: BTreeMap<String, KnownProxy>,
    /// Controllers that lease tokens, where they hold the shares.
    lenders: BTreeMap<IpAddr, AdmissionRates>,
    outliers: OutlierDetector,
    /// When this process became the one that publishes the summary.
    aggregating_since: Option<Timestamp>,
    /// How many proxies there were by then, as far as any voter knew; 0: none did.
    remembered_divisor: u32,
    first_report_at: Option<Timestamp>,
    controllers: BTreeMap<ControllerEntry, Timestamp>,
}

impl FleetAggregator {
    /// Records what a proxy reports of itself. Of several copies of one report only the first one counts.
    pub fn record_report(&mut self, report: ProxyReport, now: Timestamp) {
        self.first_report_at.get_or_insert(now);
        let taken_at = now.before(Duration::from_millis(report.age_ms));
        let ProxyReport {
            proxy: entry,
            incarnation,
            admitted,
            quota_shares,
            hosts,
            quota_divisor,
            attempts,
            ..
        } = report;
        let snapshot = CounterSnapshot { incarnation, admitted, quota_shares, taken_at };
        match self.proxies.get_mut(&entry.name) {
            Some(proxy) => {
                if proxy.rates.is_superseded_by(incarnation, taken_at) {
                    proxy.entry = entry;
                    proxy.hosts = hosts;
                    proxy.acknowledged_divisor = quota_divisor;
                    proxy.attempts = attempts;
                }
                proxy.rates.record(snapshot);
            }
            None => {
                let rates = AdmissionRates::new(snapshot);
                let name = entry.name.clone();
                let proxy = KnownProxy { entry, acknowledged_divisor: quota_divisor, rates, hosts, attempts };
                self.proxies.insert(name, proxy);
            }
        }
    }

    /// Records what a controller has leased, and by which shares.
    pub fn record_lease_report(&mut self, report: TokenLeaseReport, now: Timestamp) {
        let TokenLeaseReport { ip, incarnation, admitted, quota_shares } = report;
        let snapshot = CounterSnapshot { incarnation, admitted, quota_shares, taken_at: now };
        match self.lenders.get_mut(&ip) {
            Some(lender) => lender.record(snapshot),
            None => {
                self.lenders.insert(ip, AdmissionRates::new(snapshot));
            }
        }
    }

    /// Records that a controller is there.
    pub fn record_controller(&mut self, controller: ControllerEntry, now: Timestamp) {
        self.controllers.insert(controller, now);
    }

    /// This process publishes the summary from now on. `remembered_divisor` is the number of proxies that quotas were
    /// divided by, as far as any voter knows; 0: none does.
    pub fn start_aggregating(&mut self, remembered_divisor: u32, now: Timestamp) {
        self.aggregating_since = Some(now);
        self.remembered_divisor = remembered_divisor;
    }

    /// Takes over from the previous leaseholder's summary: proxies that it names count here too, although they have not
    /// reported here yet.
    pub fn inherit_summary(&mut self, summary: &FleetSummary, now: Timestamp) {
        for entry in &summary.proxies {
            let inherited = || KnownProxy::inherited(entry, now);
            self.proxies.entry(entry.name.clone()).or_insert_with(inherited);
        }
        self.outliers.inherit(&summary.unhealthy, now);
        if summary.token_lenders.is_some() {
            for controller in &summary.controllers {
                let inherited = || AdmissionRates::not_yet_reported(now);
                self.lenders.entry(controller.ip).or_insert_with(inherited);
            }
        }
    }

    /// The largest number of proxies that any proxy or voter has known quotas to be divided by.
    fn acknowledged_divisor(&self) -> usize {
        let reported = self.proxies.values().map(|proxy| proxy.acknowledged_divisor).max().unwrap_or(0);
        reported.max(self.remembered_divisor) as usize
    }

    /// Whether a summary may be published: quotas must not be divided by too few, as they would be before any proxy has
    /// reported, or by the first to report after all have lost the count.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let gathered = self.first_report_at.is_some_and(|first| now.since(first) >= INITIAL_GATHERING);
        let inherited = self.proxies.values().any(|proxy| !proxy.rates.has_reported());
        !self.proxies.is_empty() && (gathered || inherited || self.acknowledged_divisor() > 0)
    }

    /// The proxies whose reports reach this process itself, as they are now.
    pub fn live_proxies(&self, now: Timestamp) -> impl Iterator<Item = &ProxyEntry> {
        self.proxies.values().filter(move |proxy| proxy.is_live(now)).map(|proxy| &proxy.entry)
    }

    /// The reports of live proxies, to be forwarded to the leaseholder.
    pub fn recent_reports(&self, now: Timestamp) -> Vec<ProxyReport> {
        let live = self.proxies.values().filter(|proxy| proxy.is_live(now));
        live.map(|proxy| proxy.to_report(now)).collect()
    }

    /// The summary as of now. `allowance` is the number of requests beyond the quotas that the whole fleet may admit.
    pub fn summarize(&mut self, version: Version, allowance: f64, now: Timestamp) -> FleetSummary {
        self.drop_expired(now);
        let quota_divisor = self.quota_divisor(now);
        let token_lenders = self.lender_count(quota_divisor, allowance);
        let tenants = match token_lenders {
            Some(lender_count) => sum_usage(self.lenders.values(), lender_count as usize, now),
            None => sum_usage(self.proxies.values().map(|proxy| &proxy.rates), quota_divisor, now),
        };
        let live = self.proxies.values().filter(|proxy| proxy.is_live(now));
        let unhealthy = self.outliers.update(live.map(|proxy| &proxy.attempts), quota_divisor, now);
        FleetSummary {
            version,
            proxies: self.proxies.values().map(|proxy| proxy.to_entry(now)).collect(),
            quota_divisor: quota_divisor as u32,
            tenants,
            token_lenders,
            home_region_hosts: self.homed_hosts(),
            controllers: self.controllers.keys().cloned().collect(),
            unhealthy,
        }
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.proxies.retain(|_, proxy| proxy.rates.age(now) < COUNTED_FOR);
        self.controllers.retain(|_, last_contact| now.since(*last_contact) < CONTROLLER_LISTED_FOR);
        self.lenders.retain(|_, lender| lender.age(now) < COUNTED_FOR);
    }

    /// By how many proxies quotas are divided. For some time after this process began to publish, proxies that have never
    /// reported here may still admit by their shares, so that as many count as were acknowledged before.
    fn quota_divisor(&self, now: Timestamp) -> usize {
        let known = self.proxies.len();
        let recent = self.aggregating_since.is_some_and(|since| now.since(since) < COUNTED_FOR);
        if recent { known.max(self.acknowledged_divisor()) } else { known }
    }

    /// By how many controllers quotas are divided, where proxies are too many to hold a share each.
    fn lender_count(&self, quota_divisor: usize, allowance: f64) -> Option<u32> {
        let too_many_proxies = allowance / (quota_divisor as f64) < MIN_ALLOWANCE_PER_PROXY;
        (too_many_proxies && !self.lenders.is_empty()).then_some(self.lenders.len() as u32)
    }

    /// Hosts whose requests are mostly on routes with home regions.
    fn homed_hosts(&self) -> BTreeSet<String> {
        let mut hosts: BTreeMap<&String, HostCounts> = BTreeMap::new();
        for (host, counts) in self.proxies.values().flat_map(|proxy| &proxy.hosts) {
            let sum = hosts.entry(host).or_default();
            sum.requests += counts.requests;
            sum.home_region_requests += counts.home_region_requests;
        }
        let mostly_homed =
            |sum: &HostCounts| sum.home_region_requests as f64 > HOMED_FRACTION * sum.requests as f64;
        hosts.into_iter().filter(|(_, sum)| mostly_homed(sum)).map(|(host, _)| host.clone()).collect()
    }
}

/// The part of a summary that proxies use; the rest is for controllers, and would cost each proxy bandwidth.
pub fn summary_for_proxies(summary: FleetSummary) -> FleetSummary {
    let tenants = if summary.token_lenders.is_some() { BTreeMap::new() } else { summary.tenants };
    FleetSummary { proxies: Vec::new(), home_region_hosts: BTreeSet::new(), tenants, ..summary }
}

#[cfg(test)]
mod tests;
