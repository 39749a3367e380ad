//! What the newest register says of a request: its route, its tenant and what both allow. Made anew for each register, never
//! changed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use vanewharf_config::config::{Config, Customer, Limits, RouteKind, Service};
use vanewharf_protocol::messages::Register;
use vanewharf_quota::Quota;

/// One route, as a request under way goes by it.
#[derive(Debug, PartialEq)]
pub struct Rule {
    pub host: Rc<str>,
    pub kind: RouteKind,
    pub deadline: Duration,
    pub target: Duration,
    pub precedence: u64,
    pub services: Vec<(Rc<str>, f64)>,
    pub tries: usize,
    pub public: bool,
    pub homes: Vec<String>,
}

#[derive(Debug)]
pub struct Tenant {
    pub name: Rc<str>,
    pub homes: Vec<String>,
    pub quota: Quota,
}

#[derive(Debug)]
pub struct Tables {
    pub limits: Limits,
    pub services: BTreeMap<String, Service>,
    pub evacuated: BTreeSet<String>,
    /// By host, the longest prefix first.
    hosts: HashMap<String, Vec<(String, Rc<Rule>)>>,
    keyed: bool,
    keys: HashMap<String, Rc<Tenant>>,
    tenants: BTreeMap<Rc<str>, Rc<Tenant>>,
}

/// Why a request has no way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoWay {
    Route,
    Key,
}

impl Tables {
    /// None where the register has no configuration yet; what cannot be read was never acknowledged.
    pub fn of(register: &Register) -> Option<Tables> {
        let config = Config::parse(register.config.as_ref()?.get().as_bytes()).ok()?;
        let Config { routes, services, limits, customers, .. } = config;
        let mut hosts: HashMap<String, Vec<(String, Rc<Rule>)>> = HashMap::new();
        for route in routes.into_values() {
            let services =
                route.services.into_iter().map(|(name, weight)| (Rc::from(name), weight)).collect();
            let rule = Rule {
                host: Rc::from(route.hostname.as_str()),
                kind: route.kind,
                deadline: route.deadline,
                target: route.latency_target,
                precedence: route.precedence,
                services,
                tries: route.max_attempts.min(16) as usize,
                public: route.public,
                homes: route.home_regions,
            };
            hosts.entry(route.hostname).or_default().push((route.path_prefix, Rc::new(rule)));
        }
        for routes in hosts.values_mut() {
            routes.sort_by(|one, other| other.0.len().cmp(&one.0.len()).then_with(|| one.0.cmp(&other.0)));
        }
        let (keyed, mut keys, mut tenants) = (customers.is_some(), HashMap::new(), BTreeMap::new());
        for (name, customer) in customers.unwrap_or_default() {
            let Customer { access_keys, rate_per_s: rate, burst_allowance: burst, home_regions, .. } =
                customer;
            let name: Rc<str> = Rc::from(name);
            let quota = Quota { rate, burst };
            let tenant = Rc::new(Tenant { name: Rc::clone(&name), homes: home_regions, quota });
            keys.extend(access_keys.into_iter().map(|key| (key, Rc::clone(&tenant))));
            tenants.insert(name, tenant);
        }
        let evacuated = register.evacuated.clone();
        Some(Tables { limits, services, evacuated, hosts, keyed, keys, tenants })
    }

    pub fn way(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(Rc<Rule>, Option<Rc<Tenant>>), NoWay> {
        // A port is no part of a route's host.
        let host = host.rsplit_once(':').map_or(host, |(host, _)| host).to_ascii_lowercase();
        let routes = self.hosts.get(&host).ok_or(NoWay::Route)?;
        let (_, rule) = routes.iter().find(|(prefix, _)| path.starts_with(prefix)).ok_or(NoWay::Route)?;
        if !self.keyed || rule.public {
            return Ok((Rc::clone(rule), None));
        }
        let tenant = key.and_then(|key| self.keys.get(key)).ok_or(NoWay::Key)?;
        Ok((Rc::clone(rule), Some(Rc::clone(tenant))))
    }

    /// No limit for one that is not known any more: nothing of it is let in.
    pub fn quota(&self, tenant: &str) -> Quota {
        self.tenants.get(tenant).map_or(Quota { rate: 0.0, burst: 0.0 }, |tenant| tenant.quota)
    }

    /// The aims and kinds that routes have: what the decisions tell requests apart by.
    pub fn classes(&self) -> BTreeSet<(Duration, RouteKind, u64)> {
        let rules = self.hosts.values().flatten().map(|(_, rule)| rule);
        rules.map(|rule| (rule.target, rule.kind, rule.precedence)).collect()
    }
}

#[cfg(test)]
mod tests;
