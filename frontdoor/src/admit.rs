//! Admit: from a request's head to the arrival that the decisions hear.

use vanewharf::interface::{Arrival, CustomerId, PlanId, ProductId, Tenths, TxnId};
use vanewharf_frames::Request;
use vanewharf_told::Named;

const CORRELATION: &str = "X-Correlation-Id";
const AGAIN: &str = "X-Repeat";
pub const TIME_LEFT: &str = "X-Time-Left-Ms";

#[derive(Debug, PartialEq)]
pub enum Admitted {
    /// Asked whether this door serves.
    Health,
    Txn(Arrival),
    /// A status and the reason.
    Bad(u16, &'static str),
}

fn customer(query: &str) -> Option<CustomerId> {
    let key = query.split('&').find_map(|pair| pair.strip_prefix("key="))?;
    let digits = key.len() == 16 && key.bytes().all(|digit| digit.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(key, 16).ok())?.map(CustomerId)
}

/// The cost and the number of the customer's doors.
fn quota(field: &str) -> Option<(f64, u32)> {
    let (mut cost, mut width) = (None, None);
    for pair in field.split(',') {
        match pair.trim().split_once('=') {
            Some(("units", text)) => cost = text.parse::<f64>().ok(),
            Some(("spread", text)) => width = text.parse().ok(),
            _ => {}
        }
    }
    cost.filter(|cost| cost.is_finite() && *cost >= 0.0).zip(width)
}

fn arrival(request: &Request, named: &Named, now: Tenths, txn: TxnId) -> Result<Arrival, &'static str> {
    let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
    let product = path.split('/').nth(1).unwrap_or_default();
    if request.field("X-Service-Class") != Some(product) {
        return Err("path and X-Service-Class differ");
    }
    let product: ProductId = *named.products.get(product).ok_or("the product is not known")?;
    let plan = request.field("X-Plan").ok_or("X-Plan is missing")?;
    let plan: PlanId = *named.plans.get(plan).ok_or("the plan is not known")?;
    let customer = customer(query).ok_or("key is not 16 hex digits")?;
    let (cost, width) = request.field("X-Quota").and_then(quota).ok_or("X-Quota cannot be read")?;
    let left: Option<u32> = request.field(TIME_LEFT).and_then(|text| text.parse().ok());
    let left = Tenths(i64::from(left.ok_or("X-Time-Left-Ms cannot be read")?) * 10);
    if request.field(CORRELATION).is_none_or(str::is_empty) {
        return Err("X-Correlation-Id is missing");
    }
    let again = request.field(AGAIN) == Some("1");
    Ok(Arrival { txn, product, customer, plan, width, cost, expiry: now + left, again })
}

pub fn admit(request: &Request, named: &Named, now: Tenths, txn: TxnId) -> Admitted {
    match (request.method(), request.target()) {
        ("GET", "/healthz") => Admitted::Health,
        ("GET" | "POST", _) => match arrival(request, named, now, txn) {
            Ok(arrival) => Admitted::Txn(arrival),
            Err(reason) => Admitted::Bad(400, reason),
        },
        _ => Admitted::Bad(405, "only GET and POST are taken"),
    }
}
