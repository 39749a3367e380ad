//! Who asks for what, and when: generated ahead of a run, so that every policy meets the same clients.

use crate::experiment::{Customers, Experiment, Fault, FaultKind, Product, Shape};
use crate::random::{RandomStream, Stream, seconds};
use std::collections::HashMap;
use vanewharf_policy::interface::{CustomerId, PlanId, ProductId, Ticks};
use vanewharf_traces::Row;

/// What customers ask for that ask for nearly all of their quota, as a part of it.
const FULL_USE: f64 = 0.95;
/// What spikes add to the use of spiky customers inside their quota, about.
const SPIKE_USE: f64 = 0.15;
/// Waves of a load that comes in waves.
const WAVES: f64 = 3.0;
/// Bits of a generated customer's number.
const CUSTOMER_ID_BITS: u32 = 33;
/// Spreads the spans of a customer's skew over all seeds.
const SPAN_SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// One customer, and the gateways that its clients come through.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its number.
    pub id: CustomerId,
    /// Its plan.
    pub plan: PlanId,
    /// The first gateway of its subset.
    pub subset_start: usize,
    /// How many gateways its subset has.
    pub subset_size: usize,
    /// How unevenly it comes through them.
    pub skew: f64,
    /// For how long that stays the same.
    pub shift: Ticks,
    /// The seed of that.
    pub seed: u64,
}

impl Customer {
    /// The gateway that a client with this draw comes to.
    pub fn gateway(&self, at: Ticks, draw: f64, gateways: usize) -> usize {
        // Drawn anew when asked, not kept: a long trace has many customers and many spans.
        let span = at.0.div_euclid(self.shift.0.max(1)) as u64;
        let seed = self.seed ^ span.wrapping_mul(SPAN_SEED_FACTOR);
        let mut random = RandomStream::new(seed, Stream::Customers);
        let parts: Vec<f64> = (0..self.subset_size).map(|_| random.lognormal(1.0, self.skew)).collect();
        let mut left = draw * parts.iter().sum::<f64>();
        let position = parts.iter().position(|part| {
            left -= part;
            left < 0.0
        });
        (self.subset_start + position.unwrap_or(self.subset_size - 1)) % gateways
    }
}

/// One first try of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstTry {
    /// When it comes, from the run's start on.
    pub at: Ticks,
    /// Its customer.
    pub customer: usize,
    /// What it asks for.
    pub product: ProductId,
    /// Milliseconds on one core at speed 1.
    pub work_ms: f64,
    /// The units that the request names.
    pub units: f64,
    /// The units that it takes indeed.
    pub true_units: f64,
    /// Its client's draw of a gateway.
    pub gateway_draw: f64,
    /// The part of the product's expiry for which its client stays.
    pub stays: f64,
    /// Whether its client heeds a retry-after.
    pub honours_advice: bool,
}

/// The clients of a run.
#[derive(Clone, Debug)]
pub struct Arrivals {
    /// The customers.
    pub customers: Vec<Customer>,
    /// Their first tries, in order of time.
    pub first_tries: Vec<FirstTry>,
    /// Requests a second of this mix that all warmed-up backends can do, for the record.
    pub txns_at_capacity: f64,
}

/// What all warmed-up backends can do, in milliseconds of work a second.
fn capacity(experiment: &Experiment) -> f64 {
    let fleet = &experiment.fleet;
    (fleet.backends * fleet.cores) as f64 * fleet.speed.midpoint() * 1_000.0
}

/// Requests a second of this mix that all warmed-up backends can do.
fn txns_at_capacity(experiment: &Experiment) -> f64 {
    capacity(experiment) / mean_over_products(experiment, |product| product.work_ms)
}

/// The mean of a figure over the products, by their shares.
fn mean_over_products(experiment: &Experiment, figure: impl Fn(&Product) -> f64) -> f64 {
    let shares: f64 = experiment.product.iter().map(|product| product.share).sum();
    experiment.product.iter().map(|product| product.share * figure(product)).sum::<f64>() / shares
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
        shift: seconds(random.span(experiment.customers.shift_s)),
        seed: random.seed(),
    }
}

/// The arrivals of a trace: its customers in the order in which they first come. Rows of plans and products that the
/// experiment does not have are left out.
pub fn traced(experiment: &Experiment, rows: &[Row], seed: u64) -> Arrivals {
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
    Arrivals { customers, first_tries, txns_at_capacity: txns_at_capacity(experiment) }
}

/// Products are drawn by their shares.
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

/// One first try as its client draws it.
fn new_first_try(
    experiment: &Experiment,
    at: Ticks,
    customer: usize,
    product_index: usize,
    units: f64,
    random: &mut RandomStream,
) -> FirstTry {
    let product = &experiment.product[product_index];
    let estimate = 1.0 + product.guess * (2.0 * random.unit() - 1.0);
    FirstTry {
        at,
        customer,
        product: ProductId(product_index),
        work_ms: random.lognormal(product.work_ms * units / product.units, product.spread),
        units: if product.guess > 0.0 { (units * estimate).round().max(1.0) } else { units },
        true_units: units,
        gateway_draw: random.unit(),
        stays: random.span(experiment.clients.stays),
        honours_advice: random.unit() < experiment.clients.honour,
    }
}

/// How the load changes over the run, around one.
fn load_shape(experiment: &Experiment, at_s: f64) -> f64 {
    let (swing, part) = (experiment.load.swing, at_s / experiment.length_s);
    match experiment.load.shape {
        Shape::Steady => 1.0,
        Shape::Ramp => 1.0 + swing * (2.0 * part - 1.0),
        Shape::Wave => 1.0 + swing * (part * std::f64::consts::TAU * WAVES).sin(),
    }
}

/// A span in which a customer asks more.
struct Spike {
    from_s: f64,
    to_s: f64,
    factor: f64,
}

/// What a customer asks, as multiples of its rate.
struct Demand {
    base: f64,
    spikes: Vec<Spike>,
}

impl Demand {
    fn draw(experiment: &Experiment, random: &mut RandomStream) -> Demand {
        let uses = &experiment.customers;
        let calm = random.span(uses.calm);
        let (kind, heavy) = (random.unit(), random.span(uses.heavy_x));
        let base = match kind {
            kind if kind < uses.full => FULL_USE,
            kind if kind < uses.full + uses.heavy => heavy,
            _ => calm,
        };
        let spiky = (uses.full + uses.heavy..uses.full + uses.heavy + uses.spiky).contains(&kind);
        let mut spikes = Vec::new();
        let mut from_s = random.unit() * uses.spike_every_s.max();
        while spiky && from_s < experiment.length_s {
            let to_s = from_s + random.span(uses.spike_s);
            spikes.push(Spike { from_s, to_s, factor: random.span(uses.spike_x) });
            from_s += random.span(uses.spike_every_s).max(0.1);
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

/// What customers use inside their quotas on average, as a part of their rate.
fn mean_use(uses: &Customers) -> f64 {
    let calm_part = 1.0 - uses.full - uses.heavy - uses.spiky;
    calm_part * uses.calm.midpoint()
        + uses.full * FULL_USE
        + uses.heavy
        + uses.spiky * (uses.calm.midpoint() + SPIKE_USE)
}

/// Generates customers, as many as the load asks for, and their first tries.
pub fn generated(experiment: &Experiment, seed: u64) -> Arrivals {
    let mut customer_random = RandomStream::new(seed, Stream::Customers);
    let mut arrival_random = RandomStream::new(seed, Stream::Arrivals);
    let mean_units = mean_over_products(experiment, |product| product.units);
    let txns_at_capacity = txns_at_capacity(experiment);
    let inside_units = experiment.load.of_capacity * txns_at_capacity * mean_units;
    let plan_shares: f64 = experiment.plan.iter().map(|plan| plan.share).sum();
    let mean_use = mean_use(&experiment.customers);
    let (mut customers, mut first_tries) = (Vec::new(), Vec::new());
    for (plan_index, plan) in experiment.plan.iter().enumerate() {
        let count = inside_units * plan.share / plan_shares / (plan.rate * mean_use);
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
    Arrivals { customers, first_tries, txns_at_capacity }
}

/// A customer's first tries, drawn at its peak rate and thinned to what it asks at each moment.
struct Thinning<'a> {
    experiment: &'a Experiment,
    customer: usize,
    /// Units a second of its plan.
    rate: f64,
    mean_units: f64,
    demand: &'a Demand,
}

impl Thinning<'_> {
    fn generate(&self, first_tries: &mut Vec<FirstTry>, random: &mut RandomStream) {
        let experiment = self.experiment;
        let peak = (1.0 + experiment.load.swing) * self.demand.peak() * peak_flood(experiment);
        let tries_per_s = self.rate * peak / self.mean_units;
        let mut at_s = random.gap(tries_per_s);
        while at_s < experiment.length_s {
            let asks = load_shape(experiment, at_s) * self.demand.at(at_s);
            let flood = flood(experiment, self.customer, at_s);
            if random.unit() * peak < asks * flood {
                let product = choose_product(experiment, random.unit());
                let units = experiment.product[product].units;
                let (at, customer) = (seconds(at_s), self.customer);
                first_tries.push(new_first_try(experiment, at, customer, product, units, random));
            }
            at_s += random.gap(tries_per_s);
        }
    }
}

fn floods(experiment: &Experiment) -> impl Iterator<Item = &Fault> {
    experiment.fault.iter().filter(|fault| fault.kind == FaultKind::Flood)
}

/// The factor of the largest flood.
fn peak_flood(experiment: &Experiment) -> f64 {
    floods(experiment).map(|fault| fault.size).fold(1.0, f64::max)
}

/// By how much a customer asks more in a flood; each so manieth customer floods.
fn flood(experiment: &Experiment, customer: usize, at_s: f64) -> f64 {
    let every = |part: f64| (1.0 / part.max(1e-6)).round().max(1.0) as usize;
    let under_way = floods(experiment).filter(|fault| (fault.at_s..fault.at_s + fault.for_s).contains(&at_s));
    let strikes = under_way.filter(|fault| customer.is_multiple_of(every(fault.part)));
    strikes.map(|fault| fault.size).fold(1.0, f64::max)
}

#[cfg(test)]
mod tests;
