//! Tokens borrowed from the nearest postmaster, where doors are too many to hold a slice of each quota: asks that wait are
//! sent together, and each is answered, also where no postmaster answers.

use crate::rounds::News;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use vanewharf::interface::TxnId;
use vanewharf_mailroom::call::Caller;
use vanewharf_mailroom::clock::At;
use vanewharf_mailroom::feed::Feed;
use vanewharf_mailroom::premises::Premises;
use vanewharf_mailroom::settings::Settings;
use vanewharf_mailroom::words::{OfficeRow, Tokens};

/// For one answer: across regions it takes two ways.
pub const WITHIN: Duration = Duration::from_millis(300);
/// And within a region: one that is silent for so long is slower than the next.
const WITHIN_REGION: Duration = Duration::from_millis(160);
/// A postmaster that did not answer is not asked for so long, twice as long each time it does not, up to the most.
const SPARED: Duration = Duration::from_secs(2);
const MOST_SPARED: Duration = Duration::from_secs(16);
const MOST_AT_ONCE: usize = 64;

/// One request's ask, or one for a lot ahead of requests, or both.
pub struct Ask {
    pub txn: Option<TxnId>,
    pub tenant: Rc<str>,
    pub more: u32,
}

/// What came of asks.
#[derive(Debug, Default)]
pub struct Loans {
    /// For each request that waited, whether it was lent a token; none where nobody answered.
    pub asked: Vec<(TxnId, Option<bool>)>,
    /// The lots, as far as they were lent.
    pub ahead: Vec<(Rc<str>, u32)>,
}

pub struct Lending {
    pub feed: Feed,
    pub settings: Rc<Settings>,
    premises: Premises,
    pub news: mpsc::UnboundedSender<News>,
    callers: RefCell<Vec<Caller>>,
    spared: RefCell<BTreeMap<IpAddr, Spared>>,
}

/// One that did not answer.
#[derive(Clone, Copy, Debug)]
struct Spared {
    until: At,
    span: Duration,
}

fn silent(before: Option<Spared>, now: At) -> Spared {
    let span = before.map_or(SPARED, |before| (before.span * 2).min(MOST_SPARED));
    Spared { until: now.after(span), span }
}

/// The nearest that is not spared; after one that was silent rather one of another zone, as zones fail whole.
fn nearest<'a, K: Ord>(
    rows: impl Iterator<Item = &'a OfficeRow>,
    spared: &BTreeMap<IpAddr, Spared>,
    avoid: Option<&str>,
    far: impl Fn(&OfficeRow) -> K,
    now: At,
) -> Option<&'a OfficeRow> {
    let open = rows.filter(|row| spared.get(&row.ip).is_none_or(|spared| spared.until <= now));
    open.min_by_key(|row| (Some(row.zone.as_str()) == avoid, far(row)))
}

/// Requests that wait come first; what is left is for the lots.
fn shared_out(asks: &[Ask], mut given: Option<Tokens>) -> Loans {
    let mut loans = Loans::default();
    let mut take = |tenant: &Rc<str>, most: u32| {
        let left = given.as_mut()?.entry(tenant.to_string()).or_default();
        let taken = most.min(*left);
        *left -= taken;
        Some(taken)
    };
    for ask in asks {
        let lent = ask.txn.map(|txn| (txn, take(&ask.tenant, 1).map(|taken| taken > 0)));
        loans.asked.extend(lent);
    }
    for ask in asks.iter().filter(|ask| ask.more > 0) {
        loans.ahead.push((Rc::clone(&ask.tenant), take(&ask.tenant, ask.more).unwrap_or(0)));
    }
    loans
}

impl Lending {
    pub fn new(
        feed: Feed,
        settings: Rc<Settings>,
        premises: Premises,
        news: mpsc::UnboundedSender<News>,
    ) -> Lending {
        Lending { feed, settings, premises, news, callers: RefCell::default(), spared: RefCell::default() }
    }

    pub async fn run(self: Rc<Self>, mut asks: mpsc::UnboundedReceiver<Ask>) {
        let mut batch = Vec::new();
        while asks.recv_many(&mut batch, MOST_AT_ONCE).await > 0 {
            let (lending, batch) = (Rc::clone(&self), std::mem::take(&mut batch));
            tokio::task::spawn_local(async move {
                let given = lending.borrow(&batch).await;
                // Route ends with the program only.
                let _ = lending.news.send(News::Lent(shared_out(&batch, given)));
            });
        }
    }

    /// What was lent; nothing where nobody answered.
    async fn borrow(&self, asks: &[Ask]) -> Option<Tokens> {
        let mut wanted = Tokens::new();
        for ask in asks {
            *wanted.entry(ask.tenant.to_string()).or_default() += u32::from(ask.txn.is_some()) + ask.more;
        }
        let mut avoid: Option<String> = None;
        for _ in 0..2 {
            let OfficeRow { ip, zone } = self.nearest(avoid.as_deref())?;
            let region = self.settings.zones.get(&zone);
            let within = if region == Some(&self.settings.region) { WITHIN_REGION } else { WITHIN };
            let address = self.settings.office(ip);
            let kept = {
                let mut callers = self.callers.borrow_mut();
                callers.iter().position(|caller| caller.address == address).map(|at| callers.swap_remove(at))
            };
            let mut caller = kept.unwrap_or_else(|| Caller::to(address, &self.premises.net));
            match caller.ask("/lend", &wanted, within).await {
                Ok(given) => {
                    self.callers.borrow_mut().push(caller);
                    self.spared.borrow_mut().remove(&ip);
                    return Some(given);
                }
                Err(_) => {
                    let (now, mut spared) = (self.feed.now(), self.spared.borrow_mut());
                    // Asks that were under way together tell the same silence.
                    let known = spared.get(&ip).copied();
                    if known.is_none_or(|known| known.until <= now) {
                        spared.insert(ip, silent(known, now));
                    }
                    avoid = Some(zone);
                }
            }
        }
        None
    }

    fn order(&self, ip: IpAddr) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.settings.name, ip).hash(&mut hasher);
        hasher.finish()
    }

    fn nearest(&self, avoid: Option<&str>) -> Option<OfficeRow> {
        let (now, store, settings) = (self.feed.now(), self.feed.store(), &self.settings);
        let rows = store.ledger.as_ref()?.offices.iter();
        // Of those that are equally near, each door has its own order, so that none is everybody's first.
        let far = |row: &OfficeRow| {
            let region = settings.zones.get(&row.zone);
            (row.zone != settings.zone, region != Some(&settings.region), self.order(row.ip))
        };
        nearest(rows, &self.spared.borrow(), avoid, far, now).cloned()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn after_a_silent_lender_one_of_another_zone_is_asked_and_the_silent_one_ever_later() {
        let start = At(1_000_000_000);
        let row = |no: u8, zone: &str| OfficeRow { ip: IpAddr::from([10, 0, 0, no]), zone: zone.to_owned() };
        let rows = [row(1, "here"), row(2, "here"), row(3, "there")];
        let far = |row: &OfficeRow| (row.zone != "here", row.ip);
        let mut spared = BTreeMap::new();
        let next = |spared: &BTreeMap<_, _>, avoid, now| {
            nearest(rows.iter(), spared, avoid, far, now).map(|row| row.ip)
        };
        assert_eq!(next(&spared, None, start), Some(rows[0].ip));
        spared.insert(rows[0].ip, silent(None, start));
        assert_eq!(next(&spared, Some("here"), start), Some(rows[2].ip), "not the other one of that zone");
        assert_eq!(next(&spared, None, start), Some(rows[1].ip));
        let again = start.after(SPARED);
        assert_eq!(next(&spared, None, again), Some(rows[0].ip));
        spared.insert(rows[0].ip, silent(spared.get(&rows[0].ip).copied(), again));
        assert_eq!(next(&spared, None, again.after(SPARED)), Some(rows[1].ip), "twice as long");
        assert_eq!(
            (0..9).fold(None, |known, _| Some(silent(known, start))).map(|one| one.span),
            Some(MOST_SPARED)
        );
    }

    #[test]
    fn those_who_wait_come_before_lots_and_silence_is_no_refusal() {
        let tenant: Rc<str> = Rc::from("t");
        let ask = |txn: Option<u64>, more| Ask { txn: txn.map(TxnId), tenant: Rc::clone(&tenant), more };
        let asks = [ask(None, 3), ask(Some(1), 2), ask(Some(2), 0)];
        let given = |tokens| Some(Tokens::from([("t".to_owned(), tokens)]));
        let loans = shared_out(&asks, given(4));
        assert_eq!(loans.asked, [(TxnId(1), Some(true)), (TxnId(2), Some(true))]);
        assert_eq!(loans.ahead.iter().map(|(_, tokens)| *tokens).collect::<Vec<_>>(), [2, 0]);
        let loans = shared_out(&asks, given(1));
        assert_eq!(loans.asked, [(TxnId(1), Some(true)), (TxnId(2), Some(false))]);
        assert_eq!(shared_out(&asks, None).asked, [(TxnId(1), None), (TxnId(2), None)]);
    }
}
