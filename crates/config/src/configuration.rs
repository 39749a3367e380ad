//! Operators' configurations: routes, services, limits and customers.
//!
//! A configuration is validated as a whole. An invalid one is refused and no part of it is applied.

use crate::document::{self, DocumentResult, JsonNode};
use std::collections::BTreeMap;
use std::time::Duration;

/// The amount by which a route's latency target may exceed its deadline, exclusive.
const MAX_TARGET_ABOVE_DEADLINE: Duration = Duration::from_secs(60);
/// The weight of the only service of a route without a weighted split.
const SOLE_SERVICE_WEIGHT: f64 = 1.0;

/// The revision number of a configuration, written as `r12` in documents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigRevision(pub u64);

/// Whether the requests of a route have side effects at the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    /// Requests have no side effects, so they can be retried at another backend.
    ReadOnly,
    /// Requests may have side effects.
    Mutating,
}

/// A service of a route, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// The share of the route's requests that the service receives, relative to the other weights.
    pub weight: f64,
}

/// A rule that forwards requests with a given host name and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The host name of the route's requests, in lower case.
    pub hostname: String,
    /// The path prefix of the route's requests. It begins and ends with a slash.
    pub path_prefix: String,
    /// Whether the route's requests have side effects.
    pub kind: RouteKind,
    /// The maximum time from the arrival of a request to its response.
    pub deadline: Duration,
    /// The latency objective of the route's requests.
    pub latency_target: Duration,
    /// The priority of the route's requests under overload; a lower number is more important.
    pub precedence: u64,
    /// The services that the route's requests are split among: at least one, with a sum of weights above 0.
    pub services: Vec<WeightedService>,
    /// The maximum number of attempts per request, including the first; at least 1.
    pub max_attempts: u64,
    /// Whether requests without an access key are admitted.
    pub public: bool,
    /// The regions that may serve the route's requests; empty if all may.
    pub home_regions: Vec<String>,
}

/// A service that is run by backends.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The path of the health check.
    pub health_path: String,
    /// The maximum number of concurrent connections to one backend.
    pub connection_limit: u64,
    /// The duration of the warm-up of a new backend.
    pub warmup: Duration,
    /// The maximum number of requests per second to a backend during its warm-up.
    pub warmup_per_s: f64,
}

/// A tenant. Its requests are identified by their access keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The customer's access keys. No two customers share a key.
    pub access_keys: Vec<String>,
    /// The customer's precedence. It is validated but not used.
    pub precedence: u64,
    /// The quota in requests per second; 0 means unlimited.
    pub rate_per_s: f64,
    /// The number of requests above the rate that may be admitted in a burst.
    pub burst_allowance: f64,
    /// The regions that may serve the customer's requests; empty if all may.
    pub home_regions: Vec<String>,
}

/// Limits on clients' requests and connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The maximum size of a request's head.
    pub max_header_bytes: u64,
    /// The maximum size of a request's body.
    pub max_body_bytes: u64,
    /// The maximum time in which the head of a request must arrive.
    pub header_deadline: Duration,
    /// The maximum time that a connection may be idle between two requests.
    pub idle_timeout: Duration,
}

/// A validated configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The revision number of the configuration.
    pub revision: ConfigRevision,
    /// The routes by name.
    pub routes: BTreeMap<String, Route>,
    /// The services by name, including every service that a route refers to.
    pub services: BTreeMap<String, Service>,
    /// Limits on clients' requests and connections.
    pub limits: Limits,
    /// The customers by name; `None` if access keys are not required.
    pub customers: Option<BTreeMap<String, Customer>>,
}

impl Config {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// The first missing or invalid field.
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

/// Reads the services of a route from `weighted_split` or, if that field is missing, from `service`.
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
