//! Aggregation of proxy reports into the fleet summary, from which each process derives its share of fleet-wide limits.
//!
//! Each controller records the reports that reach it; the leaseholder, to which the other controllers forward theirs,
//! publishes the summary. A proxy that stops reporting is soon no longer listed as ready, but it still counts towards
//! the quota divisor until its quota shares have shrunk to the minimum: it may be cut off only from the control plane
//! and still admit requests.

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

/// A proxy is live, and returned to clients, for this long after its last report. It reports with each pull, which
/// waits up to 300 ms.
const PROXY_LIVENESS_TIMEOUT: Duration = Duration::from_millis(1000);

/// An owner of quota shares is counted for this long after its last report; by then its shares have shrunk to the
/// minimum. The shares of a failed proxy stay unused during this time, which does not affect tenants well below their
/// quotas.
const OWNER_EXPIRY: Duration = Duration::from_secs(60);

/// A controller stays in the summary for this long after its last pull from the leaseholder.
const CONTROLLER_EXPIRY: Duration = Duration::from_secs(12);

/// If more than this fraction of a host's requests are on routes with home regions, its clients are sent directly to a
/// home region, which saves the hop between regions.
const HOME_REGION_REQUESTS_THRESHOLD: f64 = 0.6;

/// Smallest number of requests beyond the quotas that each proxy must be allowed for proxies to hold quota shares. With
/// less, a share either admits nothing or, through the token debts of all proxies together, too much; controllers then
/// hold the shares and lease tokens to proxies.
const MIN_ALLOWANCE_PER_PROXY: f64 = 1.5;

/// How long reports are gathered before the first summary if no proxy or voter knows the number of proxies: the first
/// proxy to report must not be told that it is the only one.
const INITIAL_GATHERING_PERIOD: Duration = Duration::from_millis(250);

/// The state of a proxy, as of its latest report.
#[derive(Clone, Debug)]
struct KnownProxy {
    entry: ProxyEntry,
    /// The last quota divisor that the proxy received; 0 if it has received none.
    acknowledged_divisor: u32,
    rates: AdmissionRates,
    hosts: BTreeMap<String, HostCounts>,
    attempts: BTreeMap<String, AttemptCounts>,
}

impl KnownProxy {
    /// Creates the state of a proxy that is known only from the previous leaseholder's summary.
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
        self.rates.age(now) < PROXY_LIVENESS_TIMEOUT
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
    /// Controllers that hold quota shares and lease tokens, by IP address.
    lenders: BTreeMap<IpAddr, AdmissionRates>,
    outliers: OutlierDetector,
    /// When this process began to publish the summary.
    aggregating_since: Option<Timestamp>,
    /// The quota divisor at that time, as known to voters; 0 if no voter knew it.
    remembered_divisor: u32,
    first_report_at: Option<Timestamp>,
    /// Known controllers, with the time of their last pull.
    controllers: BTreeMap<ControllerEntry, Timestamp>,
}

impl FleetAggregator {
    /// Records a proxy's report. Later copies of the same report are ignored.
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

    /// Records a controller's report of the tokens it has leased and the quota shares it holds.
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

    /// Records that a controller is alive.
    pub fn record_controller(&mut self, controller: ControllerEntry, now: Timestamp) {
        self.controllers.insert(controller, now);
    }

    /// Marks this process as the publisher of the summary from now on. `remembered_divisor` is the last quota divisor
    /// known to voters; 0 if no voter knows it.
    pub fn start_aggregating(&mut self, remembered_divisor: u32, now: Timestamp) {
        self.aggregating_since = Some(now);
        self.remembered_divisor = remembered_divisor;
    }

    /// Takes over proxies, unhealthy backends and token lenders from the previous leaseholder's summary. Proxies and
    /// lenders count although they have not reported to this process yet.
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

    /// Returns the largest quota divisor known to any proxy or voter.
    fn acknowledged_divisor(&self) -> usize {
        let reported = self.proxies.values().map(|proxy| proxy.acknowledged_divisor).max().unwrap_or(0);
        reported.max(self.remembered_divisor) as usize
    }

    /// Returns whether a summary may be published. Quotas must not be divided by too small a number: neither before any
    /// proxy has reported, nor at the first report after all processes have lost the number of proxies.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let gathered = self.first_report_at.is_some_and(|first| now.since(first) >= INITIAL_GATHERING_PERIOD);
        let inherited = self.proxies.values().any(|proxy| !proxy.rates.has_reported());
        !self.proxies.is_empty() && (gathered || inherited || self.acknowledged_divisor() > 0)
    }

    /// Returns the proxies whose reports have recently reached this process.
    pub fn live_proxies(&self, now: Timestamp) -> impl Iterator<Item = &ProxyEntry> {
        self.proxies.values().filter(move |proxy| proxy.is_live(now)).map(|proxy| &proxy.entry)
    }

    /// Returns the latest reports of live proxies, to be forwarded to the leaseholder.
    pub fn recent_reports(&self, now: Timestamp) -> Vec<ProxyReport> {
        let live = self.proxies.values().filter(|proxy| proxy.is_live(now));
        live.map(|proxy| proxy.to_report(now)).collect()
    }

    /// Builds the current summary. `allowance` is the number of requests beyond the quotas that the whole fleet may
    /// admit.
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
            home_region_hosts: self.home_region_hosts(),
            controllers: self.controllers.keys().cloned().collect(),
            unhealthy,
        }
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.proxies.retain(|_, proxy| proxy.rates.age(now) < OWNER_EXPIRY);
        self.controllers.retain(|_, last_contact| now.since(*last_contact) < CONTROLLER_EXPIRY);
        self.lenders.retain(|_, lender| lender.age(now) < OWNER_EXPIRY);
    }

    /// Returns the number of proxies that quotas are divided by. For [`OWNER_EXPIRY`] after this process began to
    /// publish, it is at least the divisor acknowledged before, since proxies that have never reported to this
    /// process may still admit requests by their shares.
    fn quota_divisor(&self, now: Timestamp) -> usize {
        let known = self.proxies.len();
        let recent = self.aggregating_since.is_some_and(|since| now.since(since) < OWNER_EXPIRY);
        if recent { known.max(self.acknowledged_divisor()) } else { known }
    }

    /// Returns the number of controllers that quotas are divided by, if there are too many proxies for each to hold a
    /// share.
    fn lender_count(&self, quota_divisor: usize, allowance: f64) -> Option<u32> {
        let too_many_proxies = allowance / (quota_divisor as f64) < MIN_ALLOWANCE_PER_PROXY;
        (too_many_proxies && !self.lenders.is_empty()).then_some(self.lenders.len() as u32)
    }

    /// Returns the hosts whose requests are mostly on routes with home regions.
    fn home_region_hosts(&self) -> BTreeSet<String> {
        let mut hosts: BTreeMap<&String, HostCounts> = BTreeMap::new();
        for (host, counts) in self.proxies.values().flat_map(|proxy| &proxy.hosts) {
            let sum = hosts.entry(host).or_default();
            sum.requests += counts.requests;
            sum.home_region_requests += counts.home_region_requests;
        }
        let is_above_threshold = |sum: &HostCounts| {
            sum.home_region_requests as f64 > HOME_REGION_REQUESTS_THRESHOLD * sum.requests as f64
        };
        hosts.into_iter().filter(|(_, sum)| is_above_threshold(sum)).map(|(host, _)| host.clone()).collect()
    }
}

/// Reduces a summary to what proxies use. The rest is for controllers and would only cost each proxy bandwidth.
pub fn summary_for_proxies(summary: FleetSummary) -> FleetSummary {
    let tenants = if summary.token_lenders.is_some() { BTreeMap::new() } else { summary.tenants };
    FleetSummary { proxies: Vec::new(), home_region_hosts: BTreeSet::new(), tenants, ..summary }
}

#[cfg(test)]
mod tests;
