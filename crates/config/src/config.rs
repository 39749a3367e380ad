//! A configuration as the operator sends it, checked whole: what does not pass here is never in force.

use crate::document::{self, DocumentResult, JsonNode};
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of a configuration's version; bodies write it `r12`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigRevision(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    ReadOnly,
    Mutating,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub hostname: String,
    pub path_prefix: String,
    pub kind: RouteKind,
    pub deadline: Duration,
    pub latency_target: Duration,
    pub precedence: u64,
    /// Services, each with its weight.
    pub services: Vec<(String, f64)>,
    pub max_attempts: u64,
    pub public: bool,
    pub home_regions: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub health_path: String,
    pub connection_limit: u64,
    pub warmup: Duration,
    pub warmup_per_s: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    pub access_keys: Vec<String>,
    pub precedence: u64,
    /// Nothing: no limit.
    pub rate_per_s: f64,
    pub burst_allowance: f64,
    pub home_regions: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,
    pub header_deadline: Duration,
    pub idle_timeout: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub revision: ConfigRevision,
    pub routes: BTreeMap<String, Route>,
    pub services: BTreeMap<String, Service>,
    pub limits: Limits,
    /// None where keys are not asked for.
    pub customers: Option<BTreeMap<String, Customer>>,
}

/// A target may lie above its route's deadline, by less than this.
const TARGET_ABOVE: Duration = Duration::from_secs(60);

impl Config {
    pub fn parse(text: &[u8]) -> DocumentResult<Config> {
        let value = document::parse(text)?;
        let doc = JsonNode::root(&value);
        let at = doc.required("revision")?;
        let number = at.string()?.strip_prefix('r').and_then(|number| number.parse().ok());
        let revision = ConfigRevision(number.ok_or_else(|| at.invalid("a version is r and a number"))?);
        let mut services = BTreeMap::new();
        for (name, doc) in doc.required("services")?.entries()? {
            services.insert(name.to_owned(), service(&doc)?);
        }
        let mut routes = BTreeMap::new();
        for (name, doc) in doc.required("routes")?.entries()? {
            let route = route(&doc)?;
            if let Some((unknown, _)) = route.services.iter().find(|(name, _)| !services.contains_key(name)) {
                return Err(doc.invalid(format!("the service {unknown} is not known")));
            }
            routes.insert(name.to_owned(), route);
        }
        let limits = doc.required("limits")?;
        let limits = Limits {
            max_header_bytes: limits.required("max_header_bytes")?.integer()?,
            max_body_bytes: limits.required("max_body_bytes")?.integer()?,
            header_deadline: limits.required("header_deadline")?.duration()?,
            idle_timeout: limits.required("idle_timeout")?.duration()?,
        };
        let customers = doc.optional("customers")?.map(|doc| customers(&doc)).transpose()?;
        Ok(Config { revision, routes, services, limits, customers })
    }
}

fn route(doc: &JsonNode<'_>) -> DocumentResult<Route> {
    let kind = doc.required("route_kind")?;
    let kind = match kind.string()? {
        "read_only" => RouteKind::ReadOnly,
        "mutating" => RouteKind::Mutating,
        _ => return Err(kind.invalid("neither read_only nor mutating")),
    };
    let prefix = doc.required("path_prefix")?;
    let path_prefix = prefix.string()?.to_owned();
    if !(path_prefix.starts_with('/') && path_prefix.ends_with('/')) {
        return Err(prefix.invalid("a prefix begins and ends with a slash"));
    }
    let services = match (doc.optional("service")?, doc.optional("weighted_split")?) {
        (_, Some(split)) => {
            let part = |doc: &JsonNode<'_>| -> DocumentResult<_> {
                Ok((doc.required("service")?.string()?.to_owned(), doc.required("weight")?.number()?))
            };
            let services = split.items()?.iter().map(part).collect::<DocumentResult<Vec<_>>>()?;
            if services.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
                return Err(split.invalid("the weights add up to 0"));
            }
            services
        }
        (Some(service), None) => vec![(service.string()?.to_owned(), 1.0)],
        (None, None) => return Err(doc.invalid("neither service nor weighted_split")),
    };
    let (deadline, target) = (doc.required("deadline")?.duration()?, doc.required("target")?.duration()?);
    if deadline.is_zero() {
        return Err(doc.required("deadline")?.invalid("a deadline of 0"));
    }
    if target >= deadline + TARGET_ABOVE {
        return Err(doc.required("target")?.invalid("a minute or more above the deadline"));
    }
    let tries = doc.required("tries")?.integer()?;
    if tries == 0 {
        return Err(doc.required("tries")?.invalid("0 tries"));
    }
    Ok(Route {
        hostname: doc.required("hostname")?.string()?.to_ascii_lowercase(),
        path_prefix,
        kind,
        deadline,
        latency_target: target,
        precedence: doc.optional("precedence")?.map_or(Ok(0), |doc| doc.integer())?,
        services,
        max_attempts: tries,
        public: doc.optional("public")?.map_or(Ok(false), |doc| doc.boolean())?,
        home_regions: doc.optional("home_regions")?.map_or(Ok(Vec::new()), |doc| doc.strings())?,
    })
}

fn service(doc: &JsonNode<'_>) -> DocumentResult<Service> {
    Ok(Service {
        health_path: doc.required("health_path")?.string()?.to_owned(),
        connection_limit: doc.required("connection_limit")?.integer()?,
        warmup: doc.optional("warmup")?.map_or(Ok(Duration::ZERO), |doc| doc.duration())?,
        warmup_per_s: doc.optional("warmup_per_s")?.map_or(Ok(0.0), |doc| doc.number())?,
    })
}

fn customers(doc: &JsonNode<'_>) -> DocumentResult<BTreeMap<String, Customer>> {
    let (mut customers, mut holders) = (BTreeMap::new(), BTreeMap::new());
    for (name, doc) in doc.entries()? {
        let access_keys = doc.required("access_keys")?.strings()?;
        for key in &access_keys {
            let other = holders.insert(key.clone(), name);
            if let Some(other) = other.filter(|other| *other != name) {
                return Err(doc.invalid(format!("it shares a key with {other}")));
            }
        }
        let figure = |name| doc.optional(name)?.map_or(Ok(0.0), |doc| doc.number());
        let customer = Customer {
            access_keys,
            precedence: doc.optional("precedence")?.map_or(Ok(0), |doc| doc.integer())?,
            rate_per_s: figure("rate_per_s")?,
            burst_allowance: figure("burst_allowance")?,
            home_regions: doc.optional("home_regions")?.map_or(Ok(Vec::new()), |doc| doc.strings())?,
        };
        customers.insert(name.to_owned(), customer);
    }
    Ok(customers)
}

#[cfg(test)]
mod tests;
