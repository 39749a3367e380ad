//! Routing tables: the route and the tenant of a request, and what both allow. The tables are built from one register
//! and immutable; a newer register replaces them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use vanewharf_config::configuration::{self, Config, Customer, Limits, Route, RouteKind, Service};
use vanewharf_protocol::messages::Register;
use vanewharf_quota::Quota;

/// Upper bound of a route's configured attempts.
const MAX_ATTEMPTS: u64 = 16;

/// One of a route's services and its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service's name.
    pub name: Rc<str>,
    /// Its share of the route's requests, relative to the other weights.
    pub weight: f64,
}

/// One route of the configuration.
#[derive(Debug, PartialEq)]
pub struct RouteRule {
    /// The host name of its requests, without a port.
    pub host: Rc<str>,
    /// Whether its requests change anything; read-only ones may be retried freely.
    pub kind: RouteKind,
    /// The maximum time for one request.
    pub deadline: Duration,
    /// The latency target.
    pub target: Duration,
    /// Its rank; a lower number is more important.
    pub precedence: u64,
    /// The services among which its requests are split.
    pub services: Vec<WeightedService>,
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: usize,
    /// Whether it is open to requests without an API key.
    pub public: bool,
    /// Regions that may serve its requests; empty if all may.
    pub home_regions: Vec<String>,
}

/// A customer with a quota.
#[derive(Debug)]
pub struct Tenant {
    /// Its name in the configuration.
    pub name: Rc<str>,
    /// Regions that may serve its requests; empty if all may.
    pub home_regions: Vec<String>,
    /// Its quota over all proxies.
    pub quota: Quota,
}

/// The properties of a route by which the balancers distinguish requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestClass {
    /// The latency target.
    pub target: Duration,
    /// Whether the requests change anything.
    pub kind: RouteKind,
    /// The rank of the requests; a lower number is more important.
    pub precedence: u64,
}

/// A route and the prefix of its paths.
#[derive(Debug)]
struct PrefixRoute {
    path_prefix: String,
    rule: Rc<RouteRule>,
}

/// The routes, services and tenants of one register.
#[derive(Debug)]
pub struct RoutingTables {
    /// Limits on requests and clients.
    pub limits: Limits,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// Zones whose backends receive no new requests.
    pub evacuated: BTreeSet<String>,
    /// The routes of each host, the longest prefix first.
    routes_by_host: HashMap<String, Vec<PrefixRoute>>,
    keys_required: bool,
    tenants_by_key: HashMap<String, Rc<Tenant>>,
    tenants: BTreeMap<Rc<str>, Rc<Tenant>>,
}

/// The route and the tenant of one request.
#[derive(Debug)]
pub struct ResolvedRoute {
    /// The route that it matched.
    pub rule: Rc<RouteRule>,
    /// The owner of the request's API key; `None` on public routes.
    pub tenant: Option<Rc<Tenant>>,
}

/// The reason why a request cannot be routed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RoutingError {
    /// No route matches its host and path.
    #[error("no route matches host and path")]
    NoRoute,
    /// Its route requires an API key, and the request has none that is known.
    #[error("the API key is missing or unknown")]
    UnknownKey,
}

impl RoutingTables {
    /// Builds the tables of a register. Returns `None` if it has no configuration yet, or one that cannot be parsed; the
    /// control plane never acknowledges the latter.
    pub fn from_register(register: &Register) -> Option<RoutingTables> {
        let config = Config::parse(register.config.as_ref()?.get().as_bytes()).ok()?;
        let Config { routes, services, limits, customers, .. } = config;
        let keys_required = customers.is_some();
        let mut tables = RoutingTables {
            limits,
            services,
            evacuated: register.evacuated.clone(),
            routes_by_host: HashMap::new(),
            keys_required,
            tenants_by_key: HashMap::new(),
            tenants: BTreeMap::new(),
        };
        routes.into_values().for_each(|route| tables.add_route(route));
        for routes in tables.routes_by_host.values_mut() {
            routes.sort_by(|one, other| {
                let longest_first = other.path_prefix.len().cmp(&one.path_prefix.len());
                longest_first.then_with(|| one.path_prefix.cmp(&other.path_prefix))
            });
        }
        for (name, customer) in customers.unwrap_or_default() {
            tables.add_tenant(name, customer);
        }
        Some(tables)
    }

    fn add_route(&mut self, route: Route) {
        let service = |weighted: configuration::WeightedService| WeightedService {
            name: Rc::from(weighted.service),
            weight: weighted.weight,
        };
        let rule = RouteRule {
            host: Rc::from(route.hostname.as_str()),
            kind: route.kind,
            deadline: route.deadline,
            target: route.latency_target,
            precedence: route.precedence,
            services: route.services.into_iter().map(service).collect(),
            max_attempts: route.max_attempts.min(MAX_ATTEMPTS) as usize,
            public: route.public,
            home_regions: route.home_regions,
        };
        let entry = PrefixRoute { path_prefix: route.path_prefix, rule: Rc::new(rule) };
        self.routes_by_host.entry(route.hostname).or_default().push(entry);
    }

    fn add_tenant(&mut self, name: String, customer: Customer) {
        let Customer { access_keys, rate_per_s: rate, burst_allowance: burst, home_regions, .. } = customer;
        let name: Rc<str> = Rc::from(name);
        let tenant = Rc::new(Tenant { name: Rc::clone(&name), home_regions, quota: Quota { rate, burst } });
        self.tenants_by_key.extend(access_keys.into_iter().map(|key| (key, Rc::clone(&tenant))));
        self.tenants.insert(name, tenant);
    }

    /// Finds the route with the longest matching prefix of `path` at `host`, and the tenant of `key`.
    ///
    /// # Errors
    ///
    /// If no route matches, or the route requires a key and `key` is unknown.
    pub fn resolve(&self, host: &str, path: &str, key: Option<&str>) -> Result<ResolvedRoute, RoutingError> {
        // Routes are configured without ports.
        let host = host.rsplit_once(':').map_or(host, |(host, _)| host).to_ascii_lowercase();
        let routes = self.routes_by_host.get(&host).ok_or(RoutingError::NoRoute)?;
        let matching = routes.iter().find(|route| path.starts_with(&route.path_prefix));
        let rule = Rc::clone(&matching.ok_or(RoutingError::NoRoute)?.rule);
        if !self.keys_required || rule.public {
            return Ok(ResolvedRoute { rule, tenant: None });
        }
        let tenant = key.and_then(|key| self.tenants_by_key.get(key)).ok_or(RoutingError::UnknownKey)?;
        Ok(ResolvedRoute { rule, tenant: Some(Rc::clone(tenant)) })
    }

    /// The tenant's quota. A tenant that is no longer configured is unlimited; its requests are rejected anyway, because
    /// its keys are unknown.
    pub fn quota(&self, tenant: &str) -> Quota {
        self.tenants.get(tenant).map_or(Quota::UNLIMITED, |tenant| tenant.quota)
    }

    /// The classes of all routes.
    pub fn request_classes(&self) -> BTreeSet<RequestClass> {
        let rules = self.routes_by_host.values().flatten().map(|route| &route.rule);
        rules
            .map(|rule| RequestClass { target: rule.target, kind: rule.kind, precedence: rule.precedence })
            .collect()
    }
}

#[cfg(test)]
mod tests;
