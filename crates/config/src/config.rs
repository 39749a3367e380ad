//! A configuration as the operator sends it, checked whole: what does not pass here is never in force.

use crate::doc::{self, Checked, Doc};
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
    pub target: Duration,
    pub precedence: u64,
    /// Services, each with its weight.
    pub services: Vec<(String, f64)>,
    pub tries: u64,
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
    pub fn of(text: &[u8]) -> Checked<Config> {
        let value = doc::read(text)?;
        let doc = Doc::whole(&value);
        let at = doc.at("revision")?;
        let number = at.text()?.strip_prefix('r').and_then(|number| number.parse().ok());
        let revision = ConfigRevision(number.ok_or_else(|| at.unsound("a version is r and a number"))?);
        let mut services = BTreeMap::new();
        for (name, doc) in doc.at("services")?.table()? {
            services.insert(name.to_owned(), service(&doc)?);
        }
        let mut routes = BTreeMap::new();
        for (name, doc) in doc.at("routes")?.table()? {
            let route = route(&doc)?;
            if let Some((unknown, _)) = route.services.iter().find(|(name, _)| !services.contains_key(name)) {
                return Err(doc.unsound(format!("the service {unknown} is not known")));
            }
            routes.insert(name.to_owned(), route);
        }
        let limits = doc.at("limits")?;
        let limits = Limits {
            max_header_bytes: limits.at("max_header_bytes")?.count()?,
            max_body_bytes: limits.at("max_body_bytes")?.count()?,
            header_deadline: limits.at("header_deadline")?.span()?,
            idle_timeout: limits.at("idle_timeout")?.span()?,
        };
        let customers = doc.may("customers")?.map(|doc| customers(&doc)).transpose()?;
        Ok(Config { revision, routes, services, limits, customers })
    }
}

fn route(doc: &Doc<'_>) -> Checked<Route> {
    let kind = doc.at("route_kind")?;
    let kind = match kind.text()? {
        "read_only" => RouteKind::ReadOnly,
        "mutating" => RouteKind::Mutating,
        _ => return Err(kind.unsound("neither read_only nor mutating")),
    };
    let prefix = doc.at("path_prefix")?;
    let path_prefix = prefix.text()?.to_owned();
    if !(path_prefix.starts_with('/') && path_prefix.ends_with('/')) {
        return Err(prefix.unsound("a prefix begins and ends with a slash"));
    }
    let services = match (doc.may("service")?, doc.may("weighted_split")?) {
        (_, Some(split)) => {
            let part = |doc: &Doc<'_>| -> Checked<_> {
                Ok((doc.at("service")?.text()?.to_owned(), doc.at("weight")?.number()?))
            };
            let services = split.list()?.iter().map(part).collect::<Checked<Vec<_>>>()?;
            if services.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
                return Err(split.unsound("the weights add up to 0"));
            }
            services
        }
        (Some(service), None) => vec![(service.text()?.to_owned(), 1.0)],
        (None, None) => return Err(doc.unsound("neither service nor weighted_split")),
    };
    let (deadline, target) = (doc.at("deadline")?.span()?, doc.at("target")?.span()?);
    if deadline.is_zero() {
        return Err(doc.at("deadline")?.unsound("a deadline of 0"));
    }
    if target >= deadline + TARGET_ABOVE {
        return Err(doc.at("target")?.unsound("a minute or more above the deadline"));
    }
    let tries = doc.at("tries")?.count()?;
    if tries == 0 {
        return Err(doc.at("tries")?.unsound("0 tries"));
    }
    Ok(Route {
        hostname: doc.at("hostname")?.text()?.to_ascii_lowercase(),
        path_prefix,
        kind,
        deadline,
        target,
        precedence: doc.may("precedence")?.map_or(Ok(0), |doc| doc.count())?,
        services,
        tries,
        public: doc.may("public")?.map_or(Ok(false), |doc| doc.flag())?,
        home_regions: doc.may("home_regions")?.map_or(Ok(Vec::new()), |doc| doc.texts())?,
    })
}

fn service(doc: &Doc<'_>) -> Checked<Service> {
    Ok(Service {
        health_path: doc.at("health_path")?.text()?.to_owned(),
        connection_limit: doc.at("connection_limit")?.count()?,
        warmup: doc.may("warmup")?.map_or(Ok(Duration::ZERO), |doc| doc.span())?,
        warmup_per_s: doc.may("warmup_per_s")?.map_or(Ok(0.0), |doc| doc.number())?,
    })
}

fn customers(doc: &Doc<'_>) -> Checked<BTreeMap<String, Customer>> {
    let (mut customers, mut holders) = (BTreeMap::new(), BTreeMap::new());
    for (name, doc) in doc.table()? {
        let access_keys = doc.at("access_keys")?.texts()?;
        for key in &access_keys {
            let other = holders.insert(key.clone(), name);
            if let Some(other) = other.filter(|other| *other != name) {
                return Err(doc.unsound(format!("it shares a key with {other}")));
            }
        }
        let figure = |name| doc.may(name)?.map_or(Ok(0.0), |doc| doc.number());
        let customer = Customer {
            access_keys,
            precedence: doc.may("precedence")?.map_or(Ok(0), |doc| doc.count())?,
            rate_per_s: figure("rate_per_s")?,
            burst_allowance: figure("burst_allowance")?,
            home_regions: doc.may("home_regions")?.map_or(Ok(Vec::new()), |doc| doc.texts())?,
        };
        customers.insert(name.to_owned(), customer);
    }
    Ok(customers)
}

#[cfg(test)]
mod tests;
