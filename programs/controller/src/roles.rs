//! What a postmaster does unasked: follows the holder, or, while it holds the lease, sums the doors' reports, asks the
//! platform for its list and attests that the register in hand is the newest.

use crate::orders::{Order, OrderOutcome, OrderQueue};
use crate::platform;
use crate::replica::Replica;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_config::config::Config;
use vanewharf_config::settings::Settings;
use vanewharf_consensus::membership::{Candidate, Following, next, wanted};
use vanewharf_discovery::summing::{Summing, for_doors, homes};
use vanewharf_protocol::messages::{
    BackendList, ControllerEntry, Follower, Membership, PeerEntry, ProxyEntry, PullRequest, PullResponse,
    Revision, TokenCounts, TokenLeaseReport, Version,
};
use vanewharf_quota::quota::{Buckets, Quota};
use vanewharf_rpc::Publisher;
use vanewharf_rpc::{RpcClient, RpcError};
use vanewharf_runtime::environment::Environment;

/// A follower's pull, while nothing is new.
const FOLLOW: Duration = Duration::from_millis(400);
const ALONE: Duration = Duration::from_millis(100);
/// By then all that start together have been heard.
const GATHERED: Duration = Duration::from_millis(1500);
/// How often it is seen whether a voter is missing.
const TENDED: Duration = Duration::from_millis(250);
/// A change that could not be kept is not tried again before.
const HELD_OFF: Duration = Duration::from_secs(3);
/// How many doors one that knows none is told of.
const NEIGHBOURS: usize = 4;
/// How soon a duty is taken up with the lease.
const ALERT: Duration = Duration::from_millis(30);
/// About a meter period.
const SUMMED: Duration = Duration::from_millis(700);
const ATTESTED: Duration = Duration::from_millis(80);
/// Of the time in which a drain must be followed, this goes by before it is seen.
const LISTED: Duration = Duration::from_millis(600);
const LISTED_AGAIN: Duration = Duration::from_millis(1200);

pub struct ControllerState {
    pub replica: Rc<Replica>,
    pub feed: Publisher,
    pub premises: Environment,
    pub sums: Rc<RefCell<Summing>>,
    pub row: ControllerEntry,
    pub settings: Rc<Settings>,
    /// The homes of hosts, by the register that they were taken from.
    pub hosts: RefCell<(Revision, Rc<Homes>)>,
    /// The tokens that this process lends, and by which quotas.
    pub lending: RefCell<TokenLender>,
    /// Who follows this process, and keeps up.
    pub following: RefCell<Following>,
}

pub struct TokenLender {
    pub buckets: Buckets,
    pub life: u64,
}

/// A tenant's quota by a configuration that knows it.
fn quota_of(config: Option<&Config>, tenant: &str) -> Option<Quota> {
    let customer = config?.customers.as_ref()?.get(tenant)?;
    Some(Quota { rate: customer.rate_per_s, burst: customer.burst_allowance })
}

pub type Homes = BTreeMap<String, BTreeSet<String>>;

impl ControllerState {
    /// Tokens for a door; none of a tenant that no configuration in hand knows.
    pub fn lend(&self, wanted: TokenCounts) -> TokenCounts {
        let (mut lending, now) = (self.lending.borrow_mut(), self.feed.now());
        let config = self.replica.config();
        let lent = |(tenant, wanted): (String, u32)| {
            let quota = quota_of(config.as_deref(), &tenant)?;
            let lent = lending.buckets.lend(&tenant, wanted, quota, now);
            Some((tenant, lent))
        };
        wanted.into_iter().filter_map(lent).collect()
    }

    /// A new ledger tells how many lend, and how much.
    fn read_ledger(&self) {
        let ledger = self.feed.store().ledger.clone();
        let (mut lending, now) = (self.lending.borrow_mut(), self.feed.now());
        let config = self.replica.config();
        let none = Quota { rate: 0.0, burst: 0.0 };
        let quota = |tenant: &str| quota_of(config.as_deref(), tenant).unwrap_or(none);
        ledger.iter().for_each(|ledger| self.replica.count(ledger.counted));
        if let Some((ledger, lenders)) = ledger.as_ref().and_then(|ledger| Some((ledger, ledger.lenders?))) {
            lending.buckets.read(lenders, &ledger.tenants, quota, now);
        }
    }

    /// A few of the doors that this process hears, for one that knows no other.
    pub fn neighbours(&self) -> Vec<PeerEntry> {
        let (now, sums) = (self.feed.now(), self.sums.borrow());
        let mut heard: Vec<_> = sums.heard(now).collect();
        self.premises.shuffle(&mut heard);
        let of =
            |door: &ProxyEntry| PeerEntry { ip: door.address.ip(), region: door.region.clone(), heard_ms: 0 };
        heard.into_iter().take(NEIGHBOURS).map(of).collect()
    }

    fn lent(&self) -> TokenLeaseReport {
        let lending = self.lending.borrow();
        let (let_through, slices) = (lending.buckets.let_through(), lending.buckets.slices());
        TokenLeaseReport { ip: self.row.ip, life: lending.life, let_through, slices }
    }

    /// Where each host's clients are to go, by the register in hand.
    pub fn homes(&self) -> Rc<Homes> {
        let register = self.feed.store().register.clone();
        if let Some(register) = register.filter(|register| register.no != self.hosts.borrow().0) {
            let hosts = self.replica.config().as_deref().map(homes).unwrap_or_default();
            *self.hosts.borrow_mut() = (register.no, Rc::new(hosts));
        }
        Rc::clone(&self.hosts.borrow().1)
    }

    /// A pull by a sorter or by another postmaster: takes its reports and gives it what it lacks.
    pub async fn pulled(&self, pull: PullRequest) -> PullResponse {
        let now = self.feed.now();
        {
            let mut sums = self.sums.borrow_mut();
            pull.office.iter().for_each(|follower| sums.office(follower.row.clone(), now));
            pull.lent.iter().for_each(|lent| sums.lent(lent.clone(), now));
            pull.reports.iter().for_each(|report| sums.report(report.clone(), now));
        }
        if let Some(follower) = &pull.office {
            let settled = self.feed.store().register.as_ref().map_or(Revision(0), |register| register.no);
            self.following.borrow_mut().hear(follower, settled, now);
        }
        let mut mail = self.feed.answer(&pull).await;
        mail.holder = self.replica.holder();
        if pull.office.is_none() {
            mail.ledger = mail.ledger.map(for_doors);
        }
        mail
    }

    /// Pulls from the holder, or from whichever voter knows it.
    pub async fn follow(self: Rc<Self>) {
        let (mut callers, mut turn): (Vec<RpcClient>, usize) = (Vec::new(), 0);
        loop {
            if self.replica.holds() {
                sleep(ALONE).await;
                continue;
            }
            let others: Vec<SocketAddr> = self.replica.peers();
            let holder = self.replica.holder().filter(|holder| *holder != self.replica.me);
            let Some(from) = holder.or_else(|| others.get(turn % others.len().max(1)).copied()) else {
                sleep(ALONE).await;
                continue;
            };
            if !callers.iter().any(|caller| caller.address == from) {
                callers.push(RpcClient::to(from, &self.premises.net));
            }
            let Some(caller) = callers.iter_mut().find(|caller| caller.address == from) else {
                continue;
            };
            let pull = PullRequest {
                have: self.feed.store().have(),
                wait_ms: FOLLOW.as_millis() as u64,
                office: Some(Follower { row: self.row.clone(), kept: self.replica.kept_here() }),
                lent: Some(self.lent()),
                reports: self.sums.borrow().reports(self.feed.now()),
            };
            match self.feed.pull(caller, &pull).await {
                Ok(news) => {
                    if news.register {
                        self.replica.adopt();
                    }
                    if news.ledger {
                        self.read_ledger();
                    }
                    if self.feed.store().holder != Some(from) {
                        turn += 1;
                        sleep(ALONE).await;
                    }
                }
                Err(failed) => {
                    spdlog::debug!("nothing from {}: {}", from, failed);
                    self.feed.change(|store| {
                        store.holder = None;
                        false
                    });
                    turn += 1;
                    sleep(ALONE).await;
                }
            }
        }
    }

    fn version(&self, last: Version) -> Version {
        let ballot = self.replica.ballot();
        Version { ballot, no: if last.ballot == ballot { last.no + 1 } else { 1 } }
    }

    pub async fn sum(self: Rc<Self>) {
        let mut held = false;
        // At the first start of all, buckets are full: nobody may divide by fewer than there are.
        if self.settings.initial_start {
            sleep(GATHERED).await;
        }
        loop {
            let holds = self.replica.holds();
            if holds && !std::mem::replace(&mut held, holds) {
                let (now, before) = (self.feed.now(), self.feed.store().ledger.clone());
                self.sums.borrow_mut().begin(self.replica.doors(), now);
                before.iter().for_each(|ledger| self.sums.borrow_mut().inherit(ledger, now));
            }
            held = holds;
            let ready = self.sums.borrow().ready(self.feed.now());
            if holds && ready {
                let (now, last) = (self.feed.now(), self.feed.store().have().ledger);
                let allowance = self.settings.bounds.rate_allowance;
                let mut sums = self.sums.borrow_mut();
                sums.office(self.row.clone(), now);
                sums.lent(self.lent(), now);
                let ledger = sums.ledger(self.version(last), allowance, now);
                drop(sums);
                self.feed.change(|store| store.set_ledger(ledger, now));
                self.read_ledger();
            }
            // A new holder is waited for by all doors.
            sleep(if holds && ready { SUMMED } else { ALERT }).await;
        }
    }

    /// While the lease lasts nobody else acknowledges anything.
    pub async fn attest(self: Rc<Self>) {
        loop {
            // Read before the lease is looked at: a process that stands still in between attests nothing of
            // later.
            let now = self.feed.now();
            if self.replica.holds() {
                self.feed.change(|store| {
                    store.be_sure(now);
                    false
                });
            }
            sleep(if self.replica.holds() { ATTESTED } else { ALERT }).await;
        }
    }

    /// Who votes, and who may, as the holder sees it.
    pub fn candidates(&self) -> (Membership, Vec<Candidate>) {
        let membership = self.replica.membership();
        let me = (self.replica.me, self.settings.zone.as_str());
        let (address, now) = (|ip| self.settings.office(ip), self.feed.now());
        let known = self.following.borrow().candidates(&membership.voters, me, address, now);
        (membership, known)
    }

    /// The set of voters, as it should be: enlarged to what the losses to be borne want, a lost voter replaced by a machine
    /// that keeps up, one change after the other.
    pub async fn tend_membership(self: Rc<Self>, orders: OrderQueue) {
        let mut held = false;
        loop {
            sleep(TENDED).await;
            let (holds, now) = (self.replica.holds(), self.feed.now());
            match (std::mem::replace(&mut held, holds), holds) {
                (false, true) => self.following.borrow_mut().begin(now),
                (true, false) => self.following.borrow_mut().end(now),
                _ => {}
            }
            if !holds {
                continue;
            }
            let (membership, known) = self.candidates();
            let voters = match membership.outgoing.is_empty() {
                // What another holder began.
                false => Some(membership.voters.iter().copied().collect()),
                true => next(&membership, &known, wanted(self.settings.losses)),
            };
            if let Some(voters) = voters {
                spdlog::info!("the voters are to be {:?} after epoch {}", voters, membership.epoch);
                let done = orders.give(Order::Reconfigure { epoch: membership.epoch, voters }).await;
                // Operators' orders wait while a change of the set is tried.
                if let OrderOutcome::Uncertain = done {
                    sleep(HELD_OFF).await;
                }
            }
        }
    }

    pub async fn ask_platform(self: Rc<Self>) {
        let Some(api) = &self.settings.cloud else {
            return;
        };
        let mut platform = RpcClient::to(api.address, &self.premises.net);
        loop {
            if !self.replica.holds() {
                sleep(ALERT).await;
                continue;
            }
            let asked = self.feed.now();
            match platform::list(&mut platform).await {
                Ok(servers) => {
                    let (last, known) = {
                        let store = self.feed.store();
                        let known = store.list.as_ref().map(|list| list.servers.clone());
                        (store.have().list, known)
                    };
                    // A holder before may have told some doors of a list that never came here: what is the
                    // same as the one in hand is new to them.
                    let others = last.ballot != self.replica.ballot();
                    let differs = others || known.is_none_or(|known| platform::differs(&known, &servers));
                    if differs && self.replica.holds() {
                        let list = BackendList { version: self.version(last), age_ms: 0, servers };
                        self.feed.change(|store| store.set_list(list, asked));
                    }
                    sleep(LISTED).await;
                }
                Err(RpcError::Status(429)) => sleep(LISTED_AGAIN).await,
                Err(failed) => {
                    spdlog::debug!("no list from the platform: {}", failed);
                    sleep(ALONE * 3).await;
                }
            }
        }
    }
}
