//! The ledger: what the doors report, summed; doors that fall silent stay in the sums until their slices have lapsed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_config::config::Config;
use vanewharf_health::OutlierDetector;
use vanewharf_protocol::messages::{
    AttemptCounts, ControllerEntry, FleetSummary, HostCounts, ProxyEntry, ProxyReport, TenantUsage,
    TokenLeaseReport, Version,
};

/// A door is named to clients for so long after it was last heard.
const NAMED: Duration = Duration::from_millis(1000);
/// And its slices are kept for it so long: by then they have shrunk to their floor. A door that died leaves its part
/// unused meanwhile, which tenants well below their quotas do not feel.
const COUNTED: Duration = Duration::from_secs(60);
const OFFICES_KNOWN: Duration = Duration::from_secs(12);
/// Where so many of a host's requests must go home, its clients are better sent there themselves.
const MOSTLY: f64 = 0.6;
/// Requests beyond quotas that a door may let in by itself: below this, postmasters lend.
const NARROW: f64 = 1.5;
/// Doors that know no count either may come by for so long before the first of them is told one.
const GATHERING: Duration = Duration::from_millis(250);
/// What one let in that said nothing for so long is no part of the use any more.
const SILENT: Duration = Duration::from_millis(2000);
/// A reading is averaged over at least this.
const READING: Duration = Duration::from_millis(900);

#[derive(Clone, Debug)]
struct Heard {
    row: ProxyEntry,
    counted: u32,
    counts: Counts,
    hosts: BTreeMap<String, HostCounts>,
    tried: BTreeMap<String, AttemptCounts>,
}

/// The life of one that is only known by what the holder before said.
const UNHEARD: u64 = 0;

/// What one door or lender let through, and by which slices.
#[derive(Clone, Debug)]
struct Counts {
    life: u64,
    made: Timestamp,
    /// The counts that the rates are taken from, and when they were made.
    base: BTreeMap<String, u64>,
    base_at: Timestamp,
    latest: BTreeMap<String, u64>,
    rates: BTreeMap<String, f64>,
    slices: BTreeMap<String, f64>,
}

impl Counts {
    fn new(
        life: u64,
        latest: BTreeMap<String, u64>,
        slices: BTreeMap<String, f64>,
        made: Timestamp,
    ) -> Counts {
        let (base, rates) = (latest.clone(), BTreeMap::new());
        Counts { life, made, base, base_at: made, latest, rates, slices }
    }

    fn hear(
        &mut self,
        life: u64,
        latest: BTreeMap<String, u64>,
        slices: BTreeMap<String, f64>,
        made: Timestamp,
    ) {
        if life != self.life {
            *self = Counts::new(life, latest, slices, made);
            return;
        }
        if made <= self.made {
            return;
        }
        (self.made, self.slices, self.latest) = (made, slices, latest);
        let gap = made.since(self.base_at);
        if gap >= READING {
            let rate = |(name, count): (&String, &u64)| {
                let before = self.base.get(name).copied().unwrap_or(0);
                (name.clone(), count.saturating_sub(before) as f64 / gap.as_secs_f64())
            };
            self.rates = self.latest.iter().map(rate).collect();
            (self.base, self.base_at) = (self.latest.clone(), made);
        }
    }
}

/// Each tenant's use and slices, summed.
fn summed<'a>(
    all: impl Iterator<Item = &'a Counts> + Clone,
    counted: usize,
    now: Timestamp,
) -> BTreeMap<String, TenantUsage> {
    // Who has not told what it holds may hold all that the others don't.
    let unheard = counted > all.clone().filter(|counts| counts.life != UNHEARD).count();
    let mut tenants: BTreeMap<String, TenantUsage> = BTreeMap::new();
    for counts in all.clone() {
        // What a silent one lets in is not known any more; its slice bounds it.
        let silent = now.since(counts.made) > SILENT;
        for (name, slice) in &counts.slices {
            let sum = tenants.entry(name.clone()).or_default();
            sum.quota_shares += slice;
            sum.requests_per_s += counts.rates.get(name).filter(|_| !silent).copied().unwrap_or(0.0);
        }
    }
    for (name, sum) in &mut tenants {
        // One that has no bucket for a tenant may have one at any moment, at the even slice.
        let with = all.clone().filter(|counts| counts.slices.contains_key(name)).count();
        sum.quota_shares += counted.saturating_sub(with) as f64 / counted as f64;
        if unheard {
            sum.quota_shares = sum.quota_shares.max(1.0);
        }
        // Rounded: it is sent to all doors.
        sum.requests_per_s = (sum.requests_per_s * 100.0).round() / 100.0;
        sum.quota_shares = (sum.quota_shares * 1000.0).round() / 1000.0;
    }
    tenants
}

#[derive(Clone, Debug, Default)]
pub struct FleetAggregator {
    doors: BTreeMap<String, Heard>,
    lenders: BTreeMap<IpAddr, Counts>,
    outliers: OutlierDetector,
    /// When this process began to sum for all.
    begun: Option<Timestamp>,
    known: u32,
    /// When the first door came by.
    first: Option<Timestamp>,
    offices: BTreeMap<ControllerEntry, Timestamp>,
}

impl FleetAggregator {
    pub fn record_report(&mut self, report: ProxyReport, now: Timestamp) {
        let made = now.before(Duration::from_millis(report.age_ms));
        self.first.get_or_insert(now);
        let ProxyReport {
            proxy: row,
            incarnation: life,
            admitted: let_through,
            quota_shares: slices,
            hosts,
            quota_divisor: counted,
            attempts: tried,
            ..
        } = report;
        match self.doors.get_mut(&row.name) {
            Some(heard) => {
                if made > heard.counts.made || heard.counts.life != life {
                    (heard.row, heard.hosts, heard.counted, heard.tried) = (row, hosts, counted, tried);
                }
                heard.counts.hear(life, let_through, slices, made);
            }
            None => {
                let counts = Counts::new(life, let_through, slices, made);
                self.doors.insert(row.name.clone(), Heard { row, counted, counts, hosts, tried });
            }
        }
    }

    pub fn record_lease_report(&mut self, lent: TokenLeaseReport, now: Timestamp) {
        let TokenLeaseReport { ip, incarnation: life, admitted: let_through, quota_shares: slices } = lent;
        match self.lenders.get_mut(&ip) {
            Some(counts) => counts.hear(life, let_through, slices, now),
            None => drop(self.lenders.insert(ip, Counts::new(life, let_through, slices, now))),
        }
    }

    /// This process sums for all from now on; so many doors there were, as far as anybody knows (0: nobody does).
    pub fn start_aggregating(&mut self, known: u32, now: Timestamp) {
        (self.begun, self.known) = (Some(now), known);
    }

    /// What the holder before knew of the doors: those that nothing is heard of are counted all the same.
    pub fn inherit_summary(&mut self, ledger: &FleetSummary, now: Timestamp) {
        for row in &ledger.proxies {
            let row = ProxyEntry { ready: false, ..row.clone() };
            let counts = Counts::new(UNHEARD, BTreeMap::new(), BTreeMap::new(), now);
            let (hosts, tried) = Default::default();
            let heard = Heard { row, counted: 0, counts, hosts, tried };
            self.doors.entry(heard.row.name.clone()).or_insert(heard);
        }
        self.outliers.inherit(&ledger.unhealthy, now);
        // Their slices are even until they say otherwise.
        for office in ledger.controllers.iter().filter(|_| ledger.token_lenders.is_some()) {
            let counts = Counts::new(UNHEARD, BTreeMap::new(), BTreeMap::new(), now);
            self.lenders.entry(office.ip).or_insert(counts);
        }
    }

    /// By how many doors the others were told, at most, that quotas are divided.
    fn told(&self) -> usize {
        self.doors.values().map(|heard| heard.counted).max().unwrap_or(0).max(self.known) as usize
    }

    /// Whether there is anything to divide by: with no door heard there is not, and the first of doors that have
    /// all forgotten must not be told that it is the only one.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let gathered = self.first.is_some_and(|first| now.since(first) >= GATHERING);
        let inherited = self.doors.values().any(|heard| heard.counts.life == UNHEARD);
        !self.doors.is_empty() && (gathered || inherited || self.told() > 0)
    }

    /// The doors that this process itself hears of, as they are now.
    pub fn live_proxies(&self, now: Timestamp) -> impl Iterator<Item = &ProxyEntry> {
        self.doors.values().filter(move |heard| now.since(heard.counts.made) < NAMED).map(|heard| &heard.row)
    }

    pub fn record_controller(&mut self, office: ControllerEntry, now: Timestamp) {
        self.offices.insert(office, now);
    }

    /// What this process heard itself, for the one who sums.
    pub fn recent_reports(&self, now: Timestamp) -> Vec<ProxyReport> {
        let fresh = self.doors.values().filter(|heard| now.since(heard.counts.made) < NAMED);
        let told = |heard: &Heard| ProxyReport {
            proxy: heard.row.clone(),
            incarnation: heard.counts.life,
            age_ms: now.since(heard.counts.made).as_millis() as u64,
            quota_divisor: heard.counted,
            admitted: heard.counts.latest.clone(),
            quota_shares: heard.counts.slices.clone(),
            hosts: heard.hosts.clone(),
            attempts: heard.tried.clone(),
        };
        fresh.map(told).collect()
    }

    pub fn summarize(&mut self, version: Version, allowance: f64, now: Timestamp) -> FleetSummary {
        self.doors.retain(|_, heard| now.since(heard.counts.made) < COUNTED);
        self.offices.retain(|_, heard| now.since(*heard) < OFFICES_KNOWN);
        self.lenders.retain(|_, counts| now.since(counts.made) < COUNTED);
        // Where a door's part of what the rules leave is about a request, its slice lets in none, or by debts of all
        // doors together too many.
        let heard = self.doors.len();
        // Doors that have not come by yet are as many as others were told before this process began; they may be cut
        // off and let in by what they hold, for as long as any silent one is counted.
        let recent = self.begun.is_some_and(|begun| now.since(begun) < COUNTED);
        let counted = if recent { heard.max(self.told()) } else { heard };
        let narrow = allowance / (counted as f64) < NARROW && !self.lenders.is_empty();
        let lenders = narrow.then_some(self.lenders.len() as u32);
        let tenants = match lenders {
            Some(lenders) => summed(self.lenders.values(), lenders as usize, now),
            None => summed(self.doors.values().map(|heard| &heard.counts), counted, now),
        };
        let mut hosts: BTreeMap<&String, HostCounts> = BTreeMap::new();
        for (name, counts) in self.doors.values().flat_map(|heard| &heard.hosts) {
            let sum = hosts.entry(name).or_default();
            sum.requests += counts.requests;
            sum.homed += counts.homed;
        }
        let mostly =
            hosts.into_iter().filter(|(_, counts)| counts.homed as f64 > MOSTLY * counts.requests as f64);
        let homed = mostly.map(|(name, _)| name.clone()).collect();
        let told = self.doors.values().filter(|heard| now.since(heard.counts.made) < NAMED);
        let ill = self.outliers.update(told.map(|heard| &heard.tried), counted, now);
        let row = |heard: &Heard| ProxyEntry {
            ready: heard.row.ready && now.since(heard.counts.made) < NAMED,
            ..heard.row.clone()
        };
        FleetSummary {
            version,
            proxies: self.doors.values().map(row).collect(),
            quota_divisor: counted as u32,
            tenants,
            token_lenders: lenders,
            homed_hosts: homed,
            controllers: self.offices.keys().cloned().collect::<BTreeSet<_>>(),
            unhealthy: ill,
        }
    }
}

/// The doors that a client is sent to: ready ones in its region where all that its host serves may be served there,
/// else in a region where it may, else any that are ready, else all.
pub fn proxies_for_client<'a>(
    doors: &[&'a ProxyEntry],
    region: &str,
    homes: Option<&BTreeSet<String>>,
    most: usize,
) -> Vec<&'a ProxyEntry> {
    let ready = || doors.iter().copied().filter(|door| door.ready);
    let home = |region: &str| homes.is_none_or(|homes| homes.contains(region));
    let mut named: Vec<_> = ready().filter(|door| door.region == region && home(region)).collect();
    if named.is_empty() {
        named = ready().filter(|door| home(&door.region)).collect();
    }
    if named.is_empty() {
        named = ready().collect();
    }
    if named.is_empty() {
        named = doors.to_vec();
    }
    named.truncate(most);
    named
}

/// What of a ledger a door goes by; the rest is for postmasters.
pub fn summary_for_proxies(ledger: FleetSummary) -> FleetSummary {
    let tenants = if ledger.token_lenders.is_some() { BTreeMap::new() } else { ledger.tenants };
    FleetSummary { proxies: Vec::new(), homed_hosts: BTreeSet::new(), tenants, ..ledger }
}

/// For each host with routes that have homes, the regions in which all of its routes may be served. A host whose routes
/// have no region in common is left out: its clients go to their own region.
pub fn home_regions_by_host(config: &Config) -> BTreeMap<String, BTreeSet<String>> {
    let mut hosts: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for route in config.routes.values().filter(|route| !route.home_regions.is_empty()) {
        let home: BTreeSet<_> = route.home_regions.iter().cloned().collect();
        let common = hosts.entry(route.hostname.clone()).or_insert_with(|| home.clone());
        common.retain(|region| home.contains(region));
    }
    hosts.retain(|_, common| !common.is_empty());
    hosts
}

#[cfg(test)]
mod tests;
