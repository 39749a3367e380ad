//! The stand-alone gateway's [`HttpDialect`]: the header fields and the query key that a request must have, and the
//! header fields of backends' replies.

use crate::clock::TICKS_PER_MS;
use crate::dialect::{Admission, ForwardingOptions, HttpDialect, ReplyMatch, ReportedUsage};
use std::time::Duration;
use vanewharf_gateway_settings::{PolicyNames, RequestBounds};
use vanewharf_http1::{Reply, Request};
use vanewharf_policy::interface::{
    Arrival, CustomerId, Outcome, PlanId, ProductId, QuotaClaim, Ticks, TxnId,
};

const REQUEST_ID_HEADER: &str = "X-Correlation-Id";
const RETRY_HEADER: &str = "X-Repeat";
const TIME_LEFT_HEADER: &str = "X-Time-Left-Ms";
const PRODUCT_HEADER: &str = "X-Service-Class";
const PLAN_HEADER: &str = "X-Plan";
const QUOTA_HEADER: &str = "X-Quota";
const QUOTA_USED_HEADER: &str = "X-Quota-Used";
const UNITS_CHARGED_HEADER: &str = "X-Units-Charged";
const BACKEND_LOAD_HEADER: &str = "X-Backend-Load";
const UNPROCESSED_HEADER: &str = "X-Unprocessed";

const HEALTH_PATH: &str = "/healthz";
/// The maximum length of a request id, which limits the memory for the ids of requests in flight.
const MAX_REQUEST_ID_BYTES: usize = 64;
/// The number of hexadecimal digits in a customer's key.
const CUSTOMER_KEY_DIGITS: usize = 16;
/// Customer numbers are below this limit.
const CUSTOMER_LIMIT: u64 = 1 << 33;

/// How long a client may take to send a request. Well-behaved clients write a request at once; the timeout disconnects
/// those that send nothing or never complete a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a client connection may stay open without a request. A shorter timeout would make well-behaved clients
/// reconnect. Without any, idle clients would use up the sockets, and connections would be closed even sooner to free
/// some.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The stand-alone gateway's dialect, with the settings that requests are validated against.
pub struct PlatformDialect {
    /// The plans and products by name.
    pub names: PolicyNames,
    /// The bounds that request fields are validated against.
    pub bounds: RequestBounds,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InvalidRequest {
    ProductMismatch,
    UnknownProduct,
    NoPlan,
    UnknownPlan,
    InvalidKey,
    InvalidQuota,
    InvalidTimeLeft,
    TooMuchTimeLeft,
    InvalidId,
}

impl InvalidRequest {
    /// The body of the answer to the client.
    fn reason(self) -> &'static str {
        match self {
            InvalidRequest::ProductMismatch => "path and X-Service-Class differ",
            InvalidRequest::UnknownProduct => "the product is not known",
            InvalidRequest::NoPlan => "X-Plan is missing or there are two",
            InvalidRequest::UnknownPlan => "the plan is not known",
            InvalidRequest::InvalidKey => "key is not 16 hex digits",
            InvalidRequest::InvalidQuota => "X-Quota cannot be read or is out of range",
            InvalidRequest::InvalidTimeLeft => "X-Time-Left-Ms cannot be read",
            InvalidRequest::TooMuchTimeLeft => "X-Time-Left-Ms is longer than the product's expiry",
            InvalidRequest::InvalidId => "X-Correlation-Id is missing, too long or there are two",
        }
    }
}

/// The contents of the `X-Quota` field: a request's use of its customer's quota.
struct QuotaField {
    /// In units.
    cost: f64,
    /// The number of gateways that the customer's requests are spread over.
    subset_size: u32,
    /// The number of the first of these gateways.
    subset_start: u32,
}

impl QuotaField {
    fn parse(field: &str, bounds: &RequestBounds) -> Option<QuotaField> {
        let (mut cost, mut size, mut start) = (None, None, Some(0));
        for pair in field.split(',') {
            match pair.trim().split_once('=') {
                Some(("units", text)) => cost = text.parse::<f64>().ok(),
                Some(("spread", text)) => size = text.parse::<u32>().ok(),
                Some(("first", text)) => start = text.parse::<u32>().ok(),
                _ => {}
            }
        }
        // A cost beyond any quota would keep the customer's bucket in debt forever.
        let cost = cost.filter(|cost| *cost > 0.0 && *cost <= bounds.max_cost)?;
        let subset_size = size.filter(|size| (1..=bounds.gateways).contains(size))?;
        let subset_start = start.filter(|start| *start < bounds.gateways)?;
        Some(QuotaField { cost, subset_size, subset_start })
    }
}

fn parse_customer(query: &str) -> Option<CustomerId> {
    let mut keys = query.split('&').filter_map(|pair| pair.strip_prefix("key="));
    let key = keys.next().filter(|_| keys.next().is_none())?;
    let is_key = key.len() == CUSTOMER_KEY_DIGITS && key.bytes().all(|digit| digit.is_ascii_hexdigit());
    let number = is_key.then(|| u64::from_str_radix(key, 16).ok())?;
    number.filter(|&number| number < CUSTOMER_LIMIT).map(CustomerId)
}

fn request_id(request: &Request) -> Option<&str> {
    request.unique_field(REQUEST_ID_HEADER).filter(|id| (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()))
}

impl PlatformDialect {
    fn parse_arrival(&self, request: &Request, now: Ticks, txn: TxnId) -> Result<Arrival, InvalidRequest> {
        let PlatformDialect { names, bounds } = self;
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let product = path.split('/').nth(1).unwrap_or_default();
        if request.unique_field(PRODUCT_HEADER) != Some(product) {
            return Err(InvalidRequest::ProductMismatch);
        }
        let product: ProductId = *names.products.get(product).ok_or(InvalidRequest::UnknownProduct)?;
        let plan = request.unique_field(PLAN_HEADER).ok_or(InvalidRequest::NoPlan)?;
        let plan: PlanId = *names.plans.get(plan).ok_or(InvalidRequest::UnknownPlan)?;
        let customer = parse_customer(query).ok_or(InvalidRequest::InvalidKey)?;
        let quota = request.unique_field(QUOTA_HEADER).and_then(|field| QuotaField::parse(field, bounds));
        let QuotaField { cost, subset_size, subset_start } = quota.ok_or(InvalidRequest::InvalidQuota)?;
        let ms_left: Option<u32> = request.unique_field(TIME_LEFT_HEADER).and_then(|text| text.parse().ok());
        let left = Ticks(i64::from(ms_left.ok_or(InvalidRequest::InvalidTimeLeft)?) * TICKS_PER_MS);
        if left > bounds.max_expiries[product.0] {
            return Err(InvalidRequest::TooMuchTimeLeft);
        }
        if request_id(request).is_none() {
            return Err(InvalidRequest::InvalidId);
        }
        let retry = request.field(RETRY_HEADER) == Some("1");
        let claim = QuotaClaim { customer, plan, subset_start, subset_size, cost, retry };
        Ok(Arrival { txn, product, claim, deadline: now + left })
    }
}

impl HttpDialect for PlatformDialect {
    fn forwarding_options(&self) -> ForwardingOptions {
        ForwardingOptions {
            time_left_header: TIME_LEFT_HEADER,
            request_headers_removed: &[],
            response_headers_removed: &[
                QUOTA_USED_HEADER,
                UNITS_CHARGED_HEADER,
                BACKEND_LOAD_HEADER,
                UNPROCESSED_HEADER,
            ],
            busy_retry_after: None,
            request_timeout: REQUEST_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        }
    }

    fn admit(&self, request: &Request, now: Ticks, txn: TxnId) -> Admission {
        match (request.method(), request.target()) {
            ("GET", HEALTH_PATH) => Admission::Health,
            ("GET" | "POST", _) => match self.parse_arrival(request, now, txn) {
                Ok(arrival) => Admission::Route(arrival),
                Err(invalid) => Admission::Reject { status: 400, reason: invalid.reason() },
            },
            _ => Admission::Reject { status: 405, reason: "only GET and POST are taken" },
        }
    }

    fn request_id<'a>(&self, request: &'a Request) -> Option<&'a str> {
        request_id(request)
    }

    fn match_reply(&self, _: &Request, reply: &Reply) -> ReplyMatch {
        ReplyMatch::Current(match reply.status() {
            200 => Outcome::Succeeded,
            503 | 504 if reply.field(UNPROCESSED_HEADER) == Some("1") => Outcome::Rejected,
            _ => Outcome::Error,
        })
    }

    fn reported_usage(&self, reply: &Reply) -> ReportedUsage {
        let number = |name| {
            let text = reply.field(name)?;
            text.trim().parse::<f64>().ok().filter(|number| number.is_finite())
        };
        let metered_usage =
            number(QUOTA_USED_HEADER).filter(|&percent| percent >= 0.0).map(|percent| percent / 100.0);
        let actual_cost =
            number(UNITS_CHARGED_HEADER).filter(|&cost| cost > 0.0 && cost <= self.bounds.max_cost);
        ReportedUsage { metered_usage, actual_cost }
    }
}

#[cfg(test)]
mod tests;
