//! Whom the carrier lets in, and the fields it speaks by.

use crate::tables::{NoWay, Rule, Tables, Tenant};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::{MonotonicClock, Timestamp};
use vanewharf_gateway::gate::{Admitted, Gate, Judged, Speech};
use vanewharf_health::allowance::lapsed;
use vanewharf_http1::{Reply, Request};
use vanewharf_policy::interface::{Arrival, Outcome, Tenths, TxnId};

const ID: &str = "Attempt-Id";
const TIME_LEFT: &str = "Remaining-Milliseconds";
const KEY: &str = "X-Api-Key";
const SEAL: &str = "Backend-Seal";
/// An id is kept while its request is open.
const LONGEST_ID: usize = 128;
/// What a client is told that this door cannot serve yet, or may not by now: another door may.
const NOT_YET: Tenths = Tenths(1_000);
/// One that was turned back for want of room.
const BUSY: Tenths = Tenths(1_500);

/// What the decisions go by for one request, until they have heard that it arrived.
pub struct Entry {
    pub rule: Rc<Rule>,
    pub tenant: Option<Rc<Tenant>>,
    pub expiry: Tenths,
    /// Its client has left while it waited.
    pub left: bool,
}

/// What the gate goes by; the owner of the tables puts them here whole.
pub struct Posted {
    pub tables: RefCell<Option<Rc<Tables>>>,
    pub entries: RefCell<BTreeMap<TxnId, Entry>>,
    /// When the register in hand was certainly the newest acknowledged.
    pub sure: Cell<Option<Timestamp>>,
    pub steady: MonotonicClock,
    pub revocation_global: bool,
    pub revocation: Duration,
}

impl Posted {
    pub fn lapsed(&self) -> bool {
        lapsed(self.revocation_global, self.revocation, self.sure.get(), self.steady.now())
    }
}

pub struct Wicket(pub Rc<Posted>);

impl Wicket {
    fn arrival(&self, request: &Request, now: Tenths, txn: TxnId) -> Admitted {
        let posted = &self.0;
        let tables = posted.tables.borrow();
        let Some(tables) = &*tables else {
            return Admitted::Later(NOT_YET);
        };
        let path = request.target().split_once('?').map_or(request.target(), |(path, _)| path);
        let Some(host) = request.sole("Host") else {
            return Admitted::Bad(400, "Host is missing or there are two");
        };
        let (rule, tenant) = match tables.way(host, path, request.sole(KEY)) {
            Ok(way) => way,
            Err(NoWay::Route) => return Admitted::Bad(404, "there is no such route"),
            // What is not known here may be known by now to those in touch.
            Err(NoWay::Key) if posted.lapsed() => return Admitted::Later(NOT_YET),
            Err(NoWay::Key) => return Admitted::Bad(401, "the key is not known"),
        };
        // A right to let keys in lapses where nothing was heard in time: this one may be revoked.
        if tenant.is_some() && posted.lapsed() {
            return Admitted::Later(NOT_YET);
        }
        if self.id(request).is_none() {
            return Admitted::Bad(400, "Attempt-Id is missing, too long or there are two");
        }
        if request.body().len() as u64 > tables.limits.max_body_bytes {
            return Admitted::Bad(413, "the body is too large");
        }
        let left = match request.field(TIME_LEFT) {
            Some(_) => match request.sole(TIME_LEFT).and_then(|text| text.trim().parse::<f64>().ok()) {
                Some(left) if (0.0..1e9).contains(&left) => Duration::from_secs_f64(left / 1000.0),
                _ => return Admitted::Bad(400, "Remaining-Milliseconds cannot be read"),
            },
            None => rule.deadline,
        };
        let span = left.min(rule.deadline);
        let expiry = now + Tenths((span.as_micros() / 100) as i64);
        posted.entries.borrow_mut().insert(txn, Entry { rule, tenant, expiry, left: false });
        Admitted::Txn(Arrival { txn, expiry, ..Arrival::default() })
    }
}

impl Gate for Wicket {
    fn speech(&self) -> Speech {
        let tables = self.0.tables.borrow();
        let limits = tables.as_ref().map(|tables| &tables.limits);
        Speech {
            time_left: TIME_LEFT,
            not_passed_on: &[KEY, "Customer-Name", "Expected-Instance"],
            not_passed_back: &["Backend-Load", "Not-Executed", "Instance-Id"],
            busy_after: Some(BUSY),
            whole: limits.map_or(Duration::from_secs(3), |limits| limits.header_deadline * 2),
            idle: limits.map_or(Duration::from_secs(15), |limits| limits.idle_timeout),
        }
    }

    fn admit(&self, request: &Request, now: Tenths, txn: TxnId) -> Admitted {
        self.arrival(request, now, txn)
    }

    fn id<'a>(&self, request: &'a Request) -> Option<&'a str> {
        request.sole(ID).filter(|id| (1..=LONGEST_ID).contains(&id.len()))
    }

    fn judge(&self, request: &Request, reply: &Reply) -> Judged {
        judge(request.field(ID), reply)
    }
}

/// An answer under another id belongs to another request; a success must carry id and seal.
fn judge(asked: Option<&str>, reply: &Reply) -> Judged {
    let (told, status) = (reply.field(ID), reply.status());
    if told.is_some() && told != asked {
        return Judged::AnotherOnes;
    }
    // Only these say that the request did not run and never will.
    if status == 421 || reply.field("Not-Executed").is_some() && status >= 400 {
        return Judged::Ours(Outcome::TurnedAway);
    }
    let encoded = reply.field("Content-Encoding").is_some();
    match status {
        200..300 if told.is_none() || encoded || reply.field(SEAL).is_none() => Judged::Nobodys,
        200..300 => Judged::Ours(Outcome::Settled),
        _ => Judged::Ours(Outcome::Error),
    }
}
