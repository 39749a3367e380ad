//! Configurations as operators send them: routes, services, limits and customers.
//!
//! A configuration is validated as a whole; one that fails is never in force, not even in part.

use crate::document::{self, DocumentResult, JsonNode};
use std::collections::BTreeMap;
use std::time::Duration;

/// A route's latency target lies less than this above its deadline.
const MAX_TARGET_ABOVE_DEADLINE: Duration = Duration::from_secs(60);
/// The weight of the one service of a route without a split.
const SOLE_SERVICE_WEIGHT: f64 = 1.0;

/// The number of a configuration; documents write it as `r12`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigRevision(pub u64);

/// Whether requests on a route change anything at the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    /// They do not, so they may be sent to a second backend.
    ReadOnly,
    /// They may.
    Mutating,
}

/// One of a route's services.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its share of the route's requests, relative to the other weights.
    pub weight: f64,
}

/// Which requests go to which services, and on what terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// In lower case.
    pub hostname: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests change anything.
    pub kind: RouteKind,
    /// For a request from its arrival to its response.
    pub deadline: Duration,
    /// The latency to aim for.
    pub latency_target: Duration,
    /// Under overload, requests with a lower one are worth more.
    pub precedence: u64,
    /// At least one, and the sum of the weights is above 0.
    pub services: Vec<WeightedService>,
    /// Attempts at a request, the first one included; at least 1.
    pub max_attempts: u64,
    /// Whether its requests need no access key.
    pub public: bool,
    /// The regions where its requests must be served; empty: any.
    pub home_regions: Vec<String>,
}

/// A service that backends run.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The path of its health check.
    pub health_path: String,
    /// Connections to one backend at a time.
    pub connection_limit: u64,
    /// How long a new backend warms up.
    pub warmup: Duration,
    /// The requests a second that a backend may get while it warms up.
    pub warmup_per_s: f64,
}

/// A tenant, who is known by access keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// None of them is another customer's too.
    pub access_keys: Vec<String>,
    /// Validated, but without effect so far.
    pub precedence: u64,
    /// The quota in requests a second; 0: no limit.
    pub rate_per_s: f64,
    /// Requests above the rate that may be admitted at once.
    pub burst_allowance: f64,
    /// The regions where its requests must be served; empty: any.
    pub home_regions: Vec<String>,
}

/// Limits for clients' requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// For the head of a request.
    pub max_header_bytes: u64,
    /// For the body of a request.
    pub max_body_bytes: u64,
    /// For the head of a request to arrive.
    pub header_deadline: Duration,
    /// For a connection between two requests.
    pub idle_timeout: Duration,
}

/// A validated configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its number.
    pub revision: ConfigRevision,
    /// By name.
    pub routes: BTreeMap<String, Route>,
    /// By name; all that routes refer to are there.
    pub services: BTreeMap<String, Service>,
    /// For clients' requests.
    pub limits: Limits,
    /// By name; none where access keys are not required.
    pub customers: Option<BTreeMap<String, Customer>>,
}

impl Config {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// The first fault that is found.
    pub fn parse(text: &[u8]) -> DocumentResult<Config> {
        let value = document::parse(text)?;
        let root = JsonNode::root(&value);
        let revision = parse_revision(&root.required("revision")?)?;
        let mut services = BTreeMap::new();
        for (name, node) in root.required("services")?.entries()? {
            services.insert(name.to_owned(), parse_service(&node)?);
        }
        let mut routes = BTreeMap::new();
        for (name, node) in root.required("routes")?.entries()? {
            let route = parse_route(&node)?;
            let is_unknown = |weighted: &&WeightedService| !services.contains_key(&weighted.service);
            if let Some(WeightedService { service, .. }) = route.services.iter().find(is_unknown) {
                return Err(node.invalid(format!("the service {service} is not known")));
            }
            routes.insert(name.to_owned(), route);
        }
        let limits = parse_limits(&root.required("limits")?)?;
        let customers = root.optional("customers")?;
        let customers = customers.map(|node| parse_customers(&node)).transpose()?;
        Ok(Config { revision, routes, services, limits, customers })
    }
}

fn parse_revision(node: &JsonNode<'_>) -> DocumentResult<ConfigRevision> {
    let number = node.string()?.strip_prefix('r').and_then(|number| number.parse().ok());
    number.map(ConfigRevision).ok_or_else(|| node.invalid("a version is r and a number"))
}

fn parse_limits(node: &JsonNode<'_>) -> DocumentResult<Limits> {
    Ok(Limits {
        max_header_bytes: node.required("max_header_bytes")?.integer()?,
        max_body_bytes: node.required("max_body_bytes")?.integer()?,
        header_deadline: node.required("header_deadline")?.duration()?,
        idle_timeout: node.required("idle_timeout")?.duration()?,
    })
}

fn parse_route(node: &JsonNode<'_>) -> DocumentResult<Route> {
    let kind = parse_route_kind(&node.required("route_kind")?)?;
    let path_prefix = parse_path_prefix(&node.required("path_prefix")?)?;
    let services = parse_route_services(node)?;
    let deadline = node.required("deadline")?.duration()?;
    let latency_target = node.required("target")?.duration()?;
    if deadline.is_zero() {
        return Err(node.required("deadline")?.invalid("a deadline of 0"));
    }
    if latency_target >= deadline + MAX_TARGET_ABOVE_DEADLINE {
        return Err(node.required("target")?.invalid("a minute or more above the deadline"));
    }
    let max_attempts = node.required("tries")?.integer()?;
    if max_attempts == 0 {
        return Err(node.required("tries")?.invalid("0 tries"));
    }
    Ok(Route {
        hostname: node.required("hostname")?.string()?.to_ascii_lowercase(),
        path_prefix,
        kind,
        deadline,
        latency_target,
        precedence: node.optional_or("precedence", 0, JsonNode::integer)?,
        services,
        max_attempts,
        public: node.optional_or("public", false, JsonNode::boolean)?,
        home_regions: node.optional_or("home_regions", Vec::new(), JsonNode::strings)?,
    })
}

fn parse_route_kind(node: &JsonNode<'_>) -> DocumentResult<RouteKind> {
    match node.string()? {
        "read_only" => Ok(RouteKind::ReadOnly),
        "mutating" => Ok(RouteKind::Mutating),
        _ => Err(node.invalid("neither read_only nor mutating")),
    }
}

fn parse_path_prefix(node: &JsonNode<'_>) -> DocumentResult<String> {
    let path_prefix = node.string()?;
    if !(path_prefix.starts_with('/') && path_prefix.ends_with('/')) {
        return Err(node.invalid("a prefix begins and ends with a slash"));
    }
    Ok(path_prefix.to_owned())
}

/// Where both fields are there, the split counts.
fn parse_route_services(route: &JsonNode<'_>) -> DocumentResult<Vec<WeightedService>> {
    match (route.optional("service")?, route.optional("weighted_split")?) {
        (_, Some(split)) => parse_split(&split),
        (Some(service), None) => {
            let service = service.string()?.to_owned();
            Ok(vec![WeightedService { service, weight: SOLE_SERVICE_WEIGHT }])
        }
        (None, None) => Err(route.invalid("neither service nor weighted_split")),
    }
}

fn parse_split(split: &JsonNode<'_>) -> DocumentResult<Vec<WeightedService>> {
    let mut services = Vec::new();
    for item in split.items()? {
        services.push(WeightedService {
            service: item.required("service")?.string()?.to_owned(),
            weight: item.required("weight")?.number()?,
        });
    }
    if services.iter().map(|weighted| weighted.weight).sum::<f64>() <= 0.0 {
        return Err(split.invalid("the weights add up to 0"));
    }
    Ok(services)
}

fn parse_service(node: &JsonNode<'_>) -> DocumentResult<Service> {
    Ok(Service {
        health_path: node.required("health_path")?.string()?.to_owned(),
        connection_limit: node.required("connection_limit")?.integer()?,
        warmup: node.optional_or("warmup", Duration::ZERO, JsonNode::duration)?,
        warmup_per_s: node.optional_or("warmup_per_s", 0.0, JsonNode::number)?,
    })
}

fn parse_customers(node: &JsonNode<'_>) -> DocumentResult<BTreeMap<String, Customer>> {
    let mut customers = BTreeMap::new();
    let mut owners_by_key = BTreeMap::new();
    for (name, node) in node.entries()? {
        let customer_keys = node.required("access_keys")?.strings()?;
        for key in &customer_keys {
            let other = owners_by_key.insert(key.clone(), name);
            if let Some(other) = other.filter(|other| *other != name) {
                return Err(node.invalid(format!("it shares a key with {other}")));
            }
        }
        let customer = Customer {
            access_keys: customer_keys,
            precedence: node.optional_or("precedence", 0, JsonNode::integer)?,
            rate_per_s: node.optional_or("rate_per_s", 0.0, JsonNode::number)?,
            burst_allowance: node.optional_or("burst_allowance", 0.0, JsonNode::number)?,
            home_regions: node.optional_or("home_regions", Vec::new(), JsonNode::strings)?,
        };
        customers.insert(name.to_owned(), customer);
    }
    Ok(customers)
}

#[cfg(test)]
mod tests;
