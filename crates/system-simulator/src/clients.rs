//! The simulated clients. They send requests of random tenants to random proxies at random times. In some runs, one
//! hot tenant sends most of the requests for a limited time.

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

/// XORed into the run's seed so that clients' random values are independent of others drawn from it.
const SEED_SALT: u64 = 0x5eed;
/// Indices of `TENANTS`. How often an index occurs is the tenant's share of the requests.
const WEIGHTED_TENANTS: [usize; 7] = [0, 0, 0, 1, 1, 2, 3];
const MUTATING_PROBABILITY: f64 = 0.4;
/// The probability that a request is the hot tenant's, while there is one.
const HOT_TENANT_PROBABILITY: f64 = 0.7;
/// The factor by which the request rate of all clients grows while there is a hot tenant.
const HOT_TRAFFIC_FACTOR: f64 = 3.0;
const MAX_GAP_S: f64 = 1.0;

/// A tenant that sends most of the requests for a limited time.
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
    /// Time from the start of the run until the clients stop.
    pub(crate) duration: Duration,
    pub(crate) hot_tenant: Option<HotTenant>,
    /// The keys that clients use, including those that are revoked during the run.
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

    /// Draws the time until the next request. It has an exponential distribution, as requests are independent of each
    /// other.
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
            _ => *WEIGHTED_TENANTS.choose(rng).expect("there are tenants"),
        };
        let machine = parameters.controllers + rng.random_range(0..parameters.proxies);
        let mutating = rng.random_bool(MUTATING_PROBABILITY);
        let path = if mutating { "/write/x" } else { "/read/x" };
        let access_key = self.keys.random(&TENANTS[tenant], rng);
        let request =
            SimulatedRequest { attempt, mutating, path: path.to_owned(), access_key, sent: Instant::now() };
        // A request to a proxy that is not running is dropped.
        if let Some(proxy) = self.cluster.machines[machine].requests.borrow().as_ref() {
            let _ = proxy.send(request);
        }
    }
}
