//! Routing tables, which determine the route and the tenant of a request. The tables are built from one
//! register and are immutable; a newer register replaces them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use vanewharf_config::configuration::{self, Config, Customer, Limits, Route, RouteKind, Service};
use vanewharf_protocol::messages::Register;
use vanewharf_quota::Quota;

/// The upper bound of a route's configured attempts.
const MAX_ATTEMPTS: u64 = 16;

/// A service of a route, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The name of the service.
    pub name: Rc<str>,
    /// The share of the route's requests that the service receives, relative to the other weights.
    pub weight: f64,
}

/// One route of the configuration.
#[derive(Debug, PartialEq)]
pub struct RouteRule {
    /// The name of the route in the configuration.
    pub name: Rc<str>,
    /// The host name of the route's requests, without a port.
    pub host: Rc<str>,
    /// Whether the route's requests have side effects. Read-only requests can be retried freely.
    pub kind: RouteKind,
    /// The maximum time from the arrival of a request to its response.
    pub deadline: Duration,
    /// The latency objective of the route's requests.
    pub latency_target: Duration,
    /// The priority of the route's requests under overload; a lower number is more important.
    pub precedence: u64,
    /// The services that the route's requests are split among.
    pub services: Vec<WeightedService>,
    /// The maximum number of attempts per request, including the first.
    pub max_attempts: usize,
    /// Whether requests without an access key are admitted.
    pub public: bool,
    /// The regions that may serve the route's requests; empty if all may.
    pub home_regions: Vec<String>,
}

impl RouteRule {
    /// Returns the class of the route's requests.
    pub fn request_class(&self) -> RequestClass {
        RequestClass { latency_target: self.latency_target, kind: self.kind, precedence: self.precedence }
    }
}

/// A customer with a quota.
#[derive(Debug)]
pub struct Tenant {
    /// The customer's name in the configuration.
    pub name: Rc<str>,
    /// The regions that may serve the tenant's requests; empty if all may.
    pub home_regions: Vec<String>,
    /// The tenant's quota over all proxies.
    pub quota: Quota,
}

/// The properties of a route that its requests have for the balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// The latency objective of the requests.
    pub latency_target: Duration,
    /// Whether the requests have side effects.
    pub kind: RouteKind,
    /// The priority of the requests under overload; a lower number is more important.
    pub precedence: u64,
}

/// A route with its path prefix.
#[derive(Debug)]
struct PrefixRoute {
    path_prefix: String,
    rule: Rc<RouteRule>,
}

/// The routes, services and tenants of one register.
#[derive(Debug)]
pub struct RoutingTables {
    /// Limits on clients' requests and connections.
    pub limits: Limits,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The evacuated zones, whose backends receive no new requests.
    pub evacuated: BTreeSet<String>,
    /// The routes of each host, in descending order of the length of their prefixes.
    routes_by_host: HashMap<String, Vec<PrefixRoute>>,
    keys_required: bool,
    tenants_by_key: HashMap<String, Rc<Tenant>>,
    tenants: BTreeMap<Rc<str>, Rc<Tenant>>,
}

/// The route and the tenant of one request.
#[derive(Debug)]
pub struct ResolvedRoute {
    /// The route that the request matched.
    pub rule: Rc<RouteRule>,
    /// The owner of the request's access key; `None` on public routes.
    pub tenant: Option<Rc<Tenant>>,
}

/// The reason why a request cannot be routed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RoutingError {
    /// No route matches the host and path of the request.
    #[error("no route matches host and path")]
    NoRoute,
    /// The route requires an access key, and the request has no known key.
    #[error("the access key is missing or unknown")]
    UnknownKey,
}

impl RoutingTables {
    /// Builds the tables of a register. Returns `None` if the register has no configuration yet or an invalid one; the
    /// control plane never acknowledges an invalid configuration.
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
        routes.into_iter().for_each(|(name, route)| tables.add_route(&name, route));
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

    fn add_route(&mut self, name: &str, route: Route) {
        let service = |weighted: configuration::WeightedService| WeightedService {
            name: Rc::from(weighted.service),
            weight: weighted.weight,
        };
        let rule = RouteRule {
            name: Rc::from(name),
            host: Rc::from(route.hostname.as_str()),
            kind: route.kind,
            deadline: route.deadline,
            latency_target: route.latency_target,
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
        // The host names of routes have no port.
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

    /// Returns a tenant's quota. A tenant that is no longer configured is unlimited; its requests are rejected anyway,
    /// because its keys are unknown.
    pub fn quota(&self, tenant: &str) -> Quota {
        self.tenants.get(tenant).map_or(Quota::UNLIMITED, |tenant| tenant.quota)
    }
}

#[cfg(test)]
mod tests;
