//! Admit: from a request's head to the arrival that the decisions hear.

use crate::dialect::{Admission, ForwardingOptions, HttpDialect, ReplyMatch, ReportedUsage};
use std::time::Duration;
use vanewharf_gateway_settings::{RequestBounds, SettingNames};
use vanewharf_http1::{Reply, Request};
use vanewharf_policy::interface::{
    Arrival, CustomerId, Outcome, PlanId, ProductId, QuotaClaim, Ticks, TxnId,
};

const CORRELATION: &str = "X-Correlation-Id";
const AGAIN: &str = "X-Idempotency";
/// An id is kept while its txn is open.
const LONGEST_ID: usize = 64;
/// Customers are numbered below this.
const CUSTOMERS: u64 = 1 << 33;
const TIME_LEFT: &str = "X-Time-Left-Ms";

/// What the door was told that a request is held to.
pub struct PlatformDialect {
    pub named: SettingNames,
    pub bounds: RequestBounds,
}

fn customer(query: &str) -> Option<CustomerId> {
    let mut keys = query.split('&').filter_map(|pair| pair.strip_prefix("key="));
    let key = keys.next().filter(|_| keys.next().is_none())?;
    let digits = key.len() == 16 && key.bytes().all(|digit| digit.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(key, 16).ok())?.filter(|&key| key < CUSTOMERS).map(CustomerId)
}

/// The cost, the number of the customer's doors and which is the first of them.
fn quota(field: &str, bounds: &RequestBounds) -> Option<(f64, u32, u32)> {
    let (mut cost, mut width, mut first) = (None, None, Some(0));
    for pair in field.split(',') {
        match pair.trim().split_once('=') {
            Some(("units", text)) => cost = text.parse::<f64>().ok(),
            Some(("spread", text)) => width = text.parse::<u32>().ok(),
            Some(("first", text)) => first = text.parse::<u32>().ok(),
            _ => {}
        }
    }
    // What no customer can owe would keep its bucket in debt for good.
    let cost = cost.filter(|cost| *cost > 0.0 && *cost <= bounds.max_cost)?;
    let width = width.filter(|width| (1..=bounds.gateways).contains(width))?;
    first.filter(|first| *first < bounds.gateways).map(|first| (cost, width, first))
}

fn arrival(
    request: &Request,
    told: &PlatformDialect,
    now: Ticks,
    txn: TxnId,
) -> Result<Arrival, &'static str> {
    let PlatformDialect { named, bounds } = told;
    let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
    let product = path.split('/').nth(1).unwrap_or_default();
    if request.unique_field("X-Service-Class") != Some(product) {
        return Err("path and X-Service-Class differ");
    }
    let product: ProductId = *named.products.get(product).ok_or("the product is not known")?;
    let plan = request.unique_field("X-Plan").ok_or("X-Plan is missing or there are two")?;
    let plan: PlanId = *named.plans.get(plan).ok_or("the plan is not known")?;
    let customer = customer(query).ok_or("key is not 16 hex digits")?;
    let (cost, width, first) = request
        .unique_field("X-Quota")
        .and_then(|field| quota(field, bounds))
        .ok_or("X-Quota cannot be read or is out of range")?;
    let left: Option<u32> = request.unique_field(TIME_LEFT).and_then(|text| text.parse().ok());
    let left = Ticks(i64::from(left.ok_or("X-Time-Left-Ms cannot be read")?) * 10);
    if left > bounds.max_expiries[product.0] {
        return Err("X-Time-Left-Ms is longer than the product's expiry");
    }
    if id(request).is_none() {
        return Err("X-Correlation-Id is missing, too long or there are two");
    }
    let again = request.field(AGAIN) == Some("1");
    let want = QuotaClaim { customer, plan, subset_start: first, subset_size: width, cost, retry: again };
    Ok(Arrival { txn, product, claim: want, deadline: now + left })
}

/// By which clients and backends know the txn.
fn id(request: &Request) -> Option<&str> {
    request.unique_field(CORRELATION).filter(|id| (1..=LONGEST_ID).contains(&id.len()))
}

/// Against clients that say nothing or never come to an end. Usual ones write a request at once.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Against clients that asked once and stay for good: left to crowd the door, they would have usual ones shed
/// sooner than this. Closing on a usual one costs it a new connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

impl HttpDialect for PlatformDialect {
    fn forwarding_options(&self) -> ForwardingOptions {
        ForwardingOptions {
            time_left_header: TIME_LEFT,
            request_headers_removed: &[],
            response_headers_removed: &["X-Quota-Used", "X-Units-Charged", "X-Backend-Load", "X-Unprocessed"],
            busy_retry_after: None,
            request_timeout: REQUEST_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        }
    }

    fn admit(&self, request: &Request, now: Ticks, txn: TxnId) -> Admission {
        match (request.method(), request.target()) {
            ("GET", "/healthz") => Admission::Health,
            ("GET" | "POST", _) => match arrival(request, self, now, txn) {
                Ok(arrival) => Admission::Txn(arrival),
                Err(reason) => Admission::Reject { status: 400, reason },
            },
            _ => Admission::Reject { status: 405, reason: "only GET and POST are taken" },
        }
    }

    fn request_id<'a>(&self, request: &'a Request) -> Option<&'a str> {
        id(request)
    }

    fn match_reply(&self, _: &Request, reply: &Reply) -> ReplyMatch {
        ReplyMatch::Current(match reply.status() {
            200 => Outcome::Succeeded,
            503 | 504 if reply.field("X-Unprocessed") == Some("1") => Outcome::Rejected,
            _ => Outcome::Error,
        })
    }

    fn reported_usage(&self, reply: &Reply) -> ReportedUsage {
        let figure = |name| {
            let text = reply.field(name)?;
            text.trim().parse::<f64>().ok().filter(|figure| figure.is_finite())
        };
        let metered = figure("X-Quota-Used").filter(|&used| used >= 0.0).map(|used| used / 100.0);
        let true_cost = figure("X-Units-Charged").filter(|&cost| cost > 0.0 && cost <= self.bounds.max_cost);
        ReportedUsage { metered, true_cost }
    }
}
