//! The clients: they send requests to random proxies at random times, now and then mostly for one hot tenant.

use crate::cluster::Cluster;
use crate::configuration::{AccessKeys, TENANTS};
use crate::proxy::SimulatedRequest;
use crate::run::TRAFFIC_START;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Separates the clients' draws from others of the same seed.
const SEED_SALT: u64 = 0x5eed;
/// Indices of `TENANTS`, as often as each sends.
const TENANT_WEIGHTS: [usize; 7] = [0, 0, 0, 1, 1, 2, 3];
const MUTATING_PROBABILITY: f64 = 0.4;
/// While a tenant is hot: how often a request is its own, and how many times more requests there are.
const HOT_TENANT_PROBABILITY: f64 = 0.7;
const HOT_TRAFFIC_FACTOR: f64 = 3.0;
const MAX_GAP_S: f64 = 1.0;

/// A tenant that sends much more for a while.
#[derive(Clone, Copy)]
pub(crate) struct HotTenant {
    /// Index in `TENANTS`.
    pub(crate) tenant: usize,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// All clients of a run.
pub(crate) struct Clients {
    pub(crate) cluster: Rc<Cluster>,
    pub(crate) seed: u64,
    pub(crate) started: Instant,
    /// When they stop, from the start of the run.
    pub(crate) duration: Duration,
    pub(crate) hot_tenant: Option<HotTenant>,
    /// Also keys that are revoked during the run.
    pub(crate) keys: AccessKeys,
}

impl Clients {
    /// Sends requests from `TRAFFIC_START` on.
    pub(crate) async fn run(self) {
        sleep_until(self.started + TRAFFIC_START).await;
        let mut rng = SmallRng::seed_from_u64(self.seed ^ SEED_SALT);
        let mut attempt = 0;
        while Instant::now() < self.started + self.duration {
            let now = Instant::now();
            let hot_tenant = self.hot_tenant.filter(|hot| (hot.from..hot.until).contains(&now));
            sleep(self.draw_gap(&mut rng, hot_tenant.is_some())).await;
            attempt += 1;
            self.send_request(&mut rng, hot_tenant, attempt);
        }
    }

    /// Exponential gaps, as requests are independent of each other.
    fn draw_gap(&self, rng: &mut SmallRng, is_hot: bool) -> Duration {
        let mean = 1.0 / self.cluster.parameters.requests_per_second as f64;
        let draw: f64 = rng.random_range(1e-6..1.0);
        let factor = if is_hot { HOT_TRAFFIC_FACTOR } else { 1.0 };
        Duration::from_secs_f64((-draw.ln() * mean / factor).min(MAX_GAP_S))
    }

    fn send_request(&self, rng: &mut SmallRng, hot_tenant: Option<HotTenant>, attempt: u64) {
        let parameters = &self.cluster.parameters;
        let tenant = match hot_tenant {
            Some(hot) if rng.random_bool(HOT_TENANT_PROBABILITY) => hot.tenant,
            _ => *TENANT_WEIGHTS.choose(rng).expect("there are tenants"),
        };
        let machine = parameters.controllers + rng.random_range(0..parameters.proxies);
        let mutating = rng.random_bool(MUTATING_PROBABILITY);
        let path = if mutating { "/write/x" } else { "/read/x" };
        let access_key = self.keys.random(&TENANTS[tenant], rng);
        let request =
            SimulatedRequest { attempt, mutating, path: path.to_owned(), access_key, sent: Instant::now() };
        // A proxy that does not run gets nothing.
        if let Some(proxy) = self.cluster.machines[machine].requests.borrow().as_ref() {
            let _ = proxy.send(request);
        }
    }
}
