//! Customers and the first tries of their clients. They are generated before a run, so that every policy is given the
//! same arrivals.

use crate::experiment::{Customers, Experiment, Fault, FaultKind, Product, Shape};
use crate::random::{RandomStream, Stream, seconds};
use std::collections::HashMap;
use vanewharf_policy::interface::{CustomerId, PlanId, ProductId, Ticks};
use vanewharf_traces::Row;

/// Demand of customers of the profile `full`, as a fraction of their rate.
const FULL_CUSTOMER_DEMAND: f64 = 0.95;
/// Approximate demand within the quota that spikes add to the mean demand of a spiky customer, as a fraction of its rate.
const MEAN_SPIKE_DEMAND: f64 = 0.15;
/// Periods of the sine that a load of the shape `wave` follows over a run.
const WAVE_PERIODS: f64 = 3.0;
/// Number of bits of a generated customer identifier.
const CUSTOMER_ID_BITS: u32 = 33;
/// Odd 64-bit multiplier that derives distinct seeds from the numbers of a customer's shift intervals.
const SHIFT_SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// A customer and the subset of gateways that its clients use.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Identifier.
    pub id: CustomerId,
    /// Quota plan.
    pub plan: PlanId,
    /// First gateway of the subset.
    pub subset_start: usize,
    /// Number of gateways in the subset.
    pub subset_size: usize,
    /// Coefficient of variation of the traffic over these gateways.
    pub skew: f64,
    /// Time after which the distribution over the gateways is drawn again.
    pub shift_interval: Ticks,
    /// Seed of the distributions over the gateways.
    pub seed: u64,
}

impl Customer {
    /// Returns the gateway that a client with this random draw uses.
    pub fn gateway(&self, at: Ticks, draw: f64, gateways: usize) -> usize {
        // Recomputed on each call instead of cached: a long trace has many customers and many shift intervals.
        let interval = at.0.div_euclid(self.shift_interval.0.max(1)) as u64;
        let seed = self.seed ^ interval.wrapping_mul(SHIFT_SEED_FACTOR);
        let mut random = RandomStream::new(seed, Stream::Customers);
        let weights: Vec<f64> = (0..self.subset_size).map(|_| random.lognormal(1.0, self.skew)).collect();
        let mut left = draw * weights.iter().sum::<f64>();
        let position = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        (self.subset_start + position.unwrap_or(self.subset_size - 1)) % gateways
    }
}

/// The first try of a client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstTry {
    /// Time of arrival, relative to the start of the run.
    pub at: Ticks,
    /// Index of its customer.
    pub customer: usize,
    /// Product that it requests.
    pub product: ProductId,
    /// Service time in milliseconds on one core at speed 1.
    pub work_ms: f64,
    /// Quota units that the request declares.
    pub units: f64,
    /// Quota units that the request actually costs.
    pub true_units: f64,
    /// Random draw that selects the gateway.
    pub gateway_draw: f64,
    /// Client deadline, as a fraction of the product's expiry.
    pub deadline_fraction: f64,
    /// Whether its client honours a retry-after.
    pub honours_retry_after: bool,
}

/// The arrivals of a run.
#[derive(Clone, Debug)]
pub struct Arrivals {
    /// All customers.
    pub customers: Vec<Customer>,
    /// First tries of all clients, ordered by time of arrival.
    pub first_tries: Vec<FirstTry>,
    /// Requests per second of the configured product mix that all backends can process after warm-up. It is only reported.
    pub requests_per_s_at_capacity: f64,
}

/// Returns the capacity of all backends after warm-up, in milliseconds of work per second.
fn capacity_ms_per_s(experiment: &Experiment) -> f64 {
    let fleet = &experiment.fleet;
    (fleet.backends * fleet.cores) as f64 * fleet.speed.midpoint() * 1_000.0
}

/// Returns the requests per second of the configured product mix that all backends can process after warm-up.
fn requests_per_s_at_capacity(experiment: &Experiment) -> f64 {
    capacity_ms_per_s(experiment) / mean_over_products(experiment, |product| product.work_ms)
}

/// Returns the mean of a value over the products, weighted by their shares.
fn mean_over_products(experiment: &Experiment, value: impl Fn(&Product) -> f64) -> f64 {
    let shares: f64 = experiment.product.iter().map(|product| product.share).sum();
    experiment.product.iter().map(|product| product.share * value(product)).sum::<f64>() / shares
}

fn new_customer(experiment: &Experiment, id: CustomerId, plan: usize, random: &mut RandomStream) -> Customer {
    let gateways = experiment.fleet.doors;
    let size = (random.span(experiment.plan[plan].width) * gateways as f64).round() as usize;
    Customer {
        id,
        plan: PlanId(plan),
        subset_start: random.below(gateways),
        subset_size: size.clamp(2.min(gateways), gateways),
        skew: experiment.customers.skew,
        shift_interval: seconds(random.span(experiment.customers.shift_s)),
        seed: random.seed(),
    }
}

/// Returns the arrivals of a trace, with its customers in the order of their first rows. Rows with a plan or product that
/// the experiment does not define are skipped.
pub fn arrivals_from_trace(experiment: &Experiment, rows: &[Row], seed: u64) -> Arrivals {
    let mut customer_random = RandomStream::new(seed, Stream::Customers);
    let mut arrival_random = RandomStream::new(seed, Stream::Arrivals);
    let mut known: HashMap<(&str, usize), usize> = HashMap::new();
    let (mut customers, mut first_tries) = (Vec::new(), Vec::new());
    for row in rows {
        let plan = experiment.plan.iter().position(|plan| plan.name == row.plan);
        let product = experiment.product.iter().position(|product| product.name == row.product);
        let (Some(plan), Some(product)) = (plan, product) else {
            continue;
        };
        let customer = *known.entry((row.customer.as_str(), plan)).or_insert_with(|| {
            let id = CustomerId(customers.len() as u64 + 1);
            customers.push(new_customer(experiment, id, plan, &mut customer_random));
            customers.len() - 1
        });
        let at = seconds(row.time_s);
        first_tries.push(new_first_try(experiment, at, customer, product, row.units, &mut arrival_random));
    }
    Arrivals { customers, first_tries, requests_per_s_at_capacity: requests_per_s_at_capacity(experiment) }
}

/// Maps a uniform draw to the index of a product, weighted by the products' shares.
fn choose_product(experiment: &Experiment, draw: f64) -> usize {
    let shares: f64 = experiment.product.iter().map(|product| product.share).sum();
    let mut left = draw * shares;
    for (index, product) in experiment.product.iter().enumerate() {
        left -= product.share;
        if left < 0.0 {
            return index;
        }
    }
    experiment.product.len() - 1
}

/// Draws the random properties of a first try.
fn new_first_try(
    experiment: &Experiment,
    at: Ticks,
    customer: usize,
    product_index: usize,
    units: f64,
    random: &mut RandomStream,
) -> FirstTry {
    let product = &experiment.product[product_index];
    let estimate_factor = 1.0 + product.guess * (2.0 * random.unit() - 1.0);
    FirstTry {
        at,
        customer,
        product: ProductId(product_index),
        work_ms: random.lognormal(product.work_ms * units / product.units, product.spread),
        units: if product.guess > 0.0 { (units * estimate_factor).round().max(1.0) } else { units },
        true_units: units,
        gateway_draw: random.unit(),
        deadline_fraction: random.span(experiment.clients.stays),
        honours_retry_after: random.unit() < experiment.clients.honour,
    }
}

/// Returns the load at a time of the run, relative to its mean.
fn load_factor(experiment: &Experiment, at_s: f64) -> f64 {
    let (swing, progress) = (experiment.load.swing, at_s / experiment.length_s);
    match experiment.load.shape {
        Shape::Steady => 1.0,
        Shape::Ramp => 1.0 + swing * (2.0 * progress - 1.0),
        Shape::Wave => 1.0 + swing * (progress * std::f64::consts::TAU * WAVE_PERIODS).sin(),
    }
}

/// A time interval with increased demand of a customer.
struct Spike {
    from_s: f64,
    to_s: f64,
    factor: f64,
}

/// The demand of a customer over the run, as multiples of its rate.
struct Demand {
    base: f64,
    spikes: Vec<Spike>,
}

impl Demand {
    fn draw(experiment: &Experiment, random: &mut RandomStream) -> Demand {
        let profiles = &experiment.customers;
        let calm = random.span(profiles.calm);
        let (draw, heavy) = (random.unit(), random.span(profiles.heavy_x));
        let base = match draw {
            draw if draw < profiles.full => FULL_CUSTOMER_DEMAND,
            draw if draw < profiles.full + profiles.heavy => heavy,
            _ => calm,
        };
        let steady = profiles.full + profiles.heavy;
        let spiky = (steady..steady + profiles.spiky).contains(&draw);
        let mut spikes = Vec::new();
        let mut from_s = random.unit() * profiles.spike_every_s.max();
        while spiky && from_s < experiment.length_s {
            let to_s = from_s + random.span(profiles.spike_s);
            spikes.push(Spike { from_s, to_s, factor: random.span(profiles.spike_x) });
            from_s += random.span(profiles.spike_every_s).max(0.1);
        }
        Demand { base, spikes }
    }

    fn at(&self, at_s: f64) -> f64 {
        let spike = self.spikes.iter().find(|spike| (spike.from_s..spike.to_s).contains(&at_s));
        spike.map_or(self.base, |spike| spike.factor)
    }

    fn peak(&self) -> f64 {
        self.spikes.iter().map(|spike| spike.factor).fold(self.base, f64::max)
    }
}

/// Returns the mean demand of customers within their quotas, as a fraction of their rate.
fn mean_demand(profiles: &Customers) -> f64 {
    let calm = 1.0 - profiles.full - profiles.heavy - profiles.spiky;
    calm * profiles.calm.midpoint()
        + profiles.full * FULL_CUSTOMER_DEMAND
        + profiles.heavy
        + profiles.spiky * (profiles.calm.midpoint() + MEAN_SPIKE_DEMAND)
}

/// Generates as many customers as the configured load requires, and their first tries.
pub fn generate_arrivals(experiment: &Experiment, seed: u64) -> Arrivals {
    let mut customer_random = RandomStream::new(seed, Stream::Customers);
    let mut arrival_random = RandomStream::new(seed, Stream::Arrivals);
    let mean_units = mean_over_products(experiment, |product| product.units);
    let requests_per_s_at_capacity = requests_per_s_at_capacity(experiment);
    let units_per_s = experiment.load.of_capacity * requests_per_s_at_capacity * mean_units;
    let plan_shares: f64 = experiment.plan.iter().map(|plan| plan.share).sum();
    let mean_demand = mean_demand(&experiment.customers);
    let (mut customers, mut first_tries) = (Vec::new(), Vec::new());
    for (plan_index, plan) in experiment.plan.iter().enumerate() {
        let count = units_per_s * plan.share / plan_shares / (plan.rate * mean_demand);
        for _ in 0..count.round().max(1.0) as usize {
            let id = CustomerId(customer_random.seed() & ((1 << CUSTOMER_ID_BITS) - 1));
            let customer = customers.len();
            customers.push(new_customer(experiment, id, plan_index, &mut customer_random));
            let demand = Demand::draw(experiment, &mut customer_random);
            let rate = plan.rate;
            let tries = Thinning { experiment, customer, rate, mean_units, demand: &demand };
            tries.generate(&mut first_tries, &mut arrival_random);
        }
    }
    first_tries.sort_by_key(|first| (first.at, first.customer));
    Arrivals { customers, first_tries, requests_per_s_at_capacity }
}

/// Generates a customer's first tries as a Poisson process at its peak rate, thinned to its demand at each time.
struct Thinning<'a> {
    experiment: &'a Experiment,
    customer: usize,
    /// Rate of the customer's plan, in units per second.
    rate: f64,
    mean_units: f64,
    demand: &'a Demand,
}

impl Thinning<'_> {
    fn generate(&self, first_tries: &mut Vec<FirstTry>, random: &mut RandomStream) {
        let experiment = self.experiment;
        let peak = (1.0 + experiment.load.swing) * self.demand.peak() * peak_flood_factor(experiment);
        let tries_per_s = self.rate * peak / self.mean_units;
        let mut at_s = random.interarrival_s(tries_per_s);
        while at_s < experiment.length_s {
            let demand = load_factor(experiment, at_s) * self.demand.at(at_s);
            let flood = flood_factor(experiment, self.customer, at_s);
            if random.unit() * peak < demand * flood {
                let product = choose_product(experiment, random.unit());
                let units = experiment.product[product].units;
                let (at, customer) = (seconds(at_s), self.customer);
                first_tries.push(new_first_try(experiment, at, customer, product, units, random));
            }
            at_s += random.interarrival_s(tries_per_s);
        }
    }
}

fn floods(experiment: &Experiment) -> impl Iterator<Item = &Fault> {
    experiment.fault.iter().filter(|fault| fault.kind == FaultKind::Flood)
}

/// Returns the factor of the largest flood.
fn peak_flood_factor(experiment: &Experiment) -> f64 {
    floods(experiment).map(|fault| fault.size).fold(1.0, f64::max)
}

/// Returns the factor by which floods raise a customer's demand at a time. A flood with the fraction `part` affects every
/// (1 / `part`)th customer.
fn flood_factor(experiment: &Experiment, customer: usize, at_s: f64) -> f64 {
    let stride = |part: f64| (1.0 / part.max(1e-6)).round().max(1.0) as usize;
    let active = floods(experiment).filter(|fault| (fault.at_s..fault.at_s + fault.for_s).contains(&at_s));
    let affecting = active.filter(|fault| customer.is_multiple_of(stride(fault.part)));
    affecting.map(|fault| fault.size).fold(1.0, f64::max)
}

#[cfg(test)]
mod tests;
