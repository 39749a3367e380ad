//! Who asks for what, and when: drawn ahead, so that every policy meets the same clients.

use crate::draw::{Draw, Stream, seconds};
use crate::experiment::{Experiment, Shape};
use vanewharf_policy::interface::{CustomerId, PlanId, ProductId, Ticks};
use vanewharf_traces::Row;

/// One customer, and the doors that its clients come through.
#[derive(Clone, Debug)]
pub struct Customer {
    pub id: CustomerId,
    pub plan: PlanId,
    pub first: usize,
    pub width: usize,
    /// How unevenly it comes through them, for how long at a time, and the seed of that.
    pub skew: f64,
    pub shift: Ticks,
    pub seed: u64,
}

impl Customer {
    /// The door that a client with this draw comes to.
    pub fn door(&self, at: Ticks, draw: f64, doors: usize) -> usize {
        // Drawn anew when asked, not kept: a long trace has many customers and many spans.
        let span = at.0.div_euclid(self.shift.0.max(1)) as u64;
        let mut chance = Draw::new(self.seed ^ span.wrapping_mul(0x9e37_79b9_7f4a_7c15), Stream::Customers);
        let parts: Vec<f64> = (0..self.width).map(|_| chance.lognormal(1.0, self.skew)).collect();
        let mut left = draw * parts.iter().sum::<f64>();
        let place = parts.iter().position(|part| {
            left -= part;
            left < 0.0
        });
        (self.first + place.unwrap_or(self.width - 1)) % doors
    }
}

/// One first try of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct First {
    pub at: Ticks,
    pub customer: usize,
    pub product: ProductId,
    /// Milliseconds on one core at speed 1.
    pub work_ms: f64,
    /// What the request names, and what it is in truth.
    pub units: f64,
    pub true_units: f64,
    /// Its client's own draws: the door, how long it stays, whether it heeds advice.
    pub door: f64,
    pub stays: f64,
    pub honours: bool,
}

#[derive(Clone, Debug)]
pub struct Arrivals {
    pub customers: Vec<Customer>,
    pub firsts: Vec<First>,
    /// Units a second that all warm backends can do of this mix, for the record.
    pub txns_at_capacity: f64,
}

/// What all warm backends can do, in milliseconds of work a second.
fn capacity(experiment: &Experiment) -> f64 {
    let fleet = &experiment.fleet;
    (fleet.backends * fleet.cores) as f64 * fleet.speed.middle() * 1_000.0
}

fn customer(experiment: &Experiment, id: CustomerId, plan: usize, draw: &mut Draw) -> Customer {
    let doors = experiment.fleet.doors;
    let width = (draw.span(experiment.plan[plan].width) * doors as f64).round() as usize;
    Customer {
        id,
        plan: PlanId(plan),
        first: draw.below(doors),
        width: width.clamp(2.min(doors), doors),
        skew: experiment.customers.skew,
        shift: seconds(draw.span(experiment.customers.shift_s)),
        seed: draw.seed(),
    }
}

/// The arrivals of a trace: its customers in the order in which they first come.
pub fn traced(experiment: &Experiment, rows: &[Row], seed: u64) -> Arrivals {
    let (mut who, mut when) = (Draw::new(seed, Stream::Customers), Draw::new(seed, Stream::Arrivals));
    let mut known: std::collections::HashMap<(&str, usize), usize> = std::collections::HashMap::new();
    let (mut customers, mut firsts) = (Vec::new(), Vec::new());
    for row in rows {
        let plan = experiment.plan.iter().position(|plan| plan.name == row.plan);
        let product = experiment.product.iter().position(|product| product.name == row.product);
        let (Some(plan), Some(product)) = (plan, product) else {
            continue;
        };
        let no = *known.entry((row.customer.as_str(), plan)).or_insert_with(|| {
            let id = CustomerId(customers.len() as u64 + 1);
            customers.push(customer(experiment, id, plan, &mut who));
            customers.len() - 1
        });
        firsts.push(first(experiment, seconds(row.time_s), no, product, row.units, &mut when));
    }
    Arrivals { customers, firsts, txns_at_capacity: at_capacity(experiment) }
}

/// Txns a second of this mix that all warm backends can do.
fn at_capacity(experiment: &Experiment) -> f64 {
    capacity(experiment) / mean(experiment, |product| product.work_ms)
}

/// Over the products, by their shares.
fn mean(experiment: &Experiment, of: impl Fn(&crate::experiment::Product) -> f64) -> f64 {
    let shares: f64 = experiment.product.iter().map(|product| product.share).sum();
    experiment.product.iter().map(|product| product.share * of(product)).sum::<f64>() / shares
}

/// Products are drawn by their shares.
pub fn product(experiment: &Experiment, draw: f64) -> usize {
    let whole: f64 = experiment.product.iter().map(|product| product.share).sum();
    let mut left = draw * whole;
    for (no, product) in experiment.product.iter().enumerate() {
        left -= product.share;
        if left < 0.0 {
            return no;
        }
    }
    experiment.product.len() - 1
}

/// One try as its client draws it.
pub fn first(
    experiment: &Experiment,
    at: Ticks,
    customer: usize,
    no: usize,
    units: f64,
    draw: &mut Draw,
) -> First {
    let product = &experiment.product[no];
    let guess = 1.0 + product.guess * (2.0 * draw.unit() - 1.0);
    First {
        at,
        customer,
        product: ProductId(no),
        work_ms: draw.lognormal(product.work_ms * units / product.units, product.spread),
        units: if product.guess > 0.0 { (units * guess).round().max(1.0) } else { units },
        true_units: units,
        door: draw.unit(),
        stays: draw.span(experiment.clients.stays),
        honours: draw.unit() < experiment.clients.honour,
    }
}

/// How the load changes over the day, around one.
fn shape(experiment: &Experiment, at_s: f64) -> f64 {
    let (swing, part) = (experiment.load.swing, at_s / experiment.length_s);
    match experiment.load.shape {
        Shape::Steady => 1.0,
        Shape::Ramp => 1.0 + swing * (2.0 * part - 1.0),
        Shape::Wave => 1.0 + swing * (part * std::f64::consts::TAU * 3.0).sin(),
    }
}

pub fn drawn(experiment: &Experiment, seed: u64) -> Arrivals {
    let (mut who, mut when) = (Draw::new(seed, Stream::Customers), Draw::new(seed, Stream::Arrivals));
    let mean_units = mean(experiment, |product| product.units);
    let txns_at_capacity = at_capacity(experiment);
    let inside_units = experiment.load.of_capacity * txns_at_capacity * mean_units;
    let plans: f64 = experiment.plan.iter().map(|plan| plan.share).sum();
    let uses = &experiment.customers;
    let calm_part = 1.0 - uses.full - uses.heavy - uses.spiky;
    // What customers of each kind use inside their quotas, as a part of the rate.
    let mean_use = calm_part * uses.calm.middle()
        + uses.full * 0.95
        + uses.heavy
        + uses.spiky * (uses.calm.middle() + 0.15);
    let (mut customers, mut firsts) = (Vec::new(), Vec::new());
    for (plan_no, plan) in experiment.plan.iter().enumerate() {
        let count = (inside_units * plan.share / plans / (plan.rate * mean_use)).round().max(1.0) as usize;
        for _ in 0..count {
            let id = CustomerId(who.seed() & ((1 << 33) - 1));
            let no = customers.len();
            customers.push(customer(experiment, id, plan_no, &mut who));
            let calm = who.span(uses.calm);
            let (kind, heavy) = (who.unit(), who.span(uses.heavy_x));
            let base = match kind {
                kind if kind < uses.full => 0.95,
                kind if kind < uses.full + uses.heavy => heavy,
                _ => calm,
            };
            let spiky = (uses.full + uses.heavy..uses.full + uses.heavy + uses.spiky).contains(&kind);
            let mut spikes = Vec::new();
            let mut spike_at = who.unit() * uses.spike_every_s.most();
            while spiky && spike_at < experiment.length_s {
                spikes.push((spike_at, spike_at + who.span(uses.spike_s), who.span(uses.spike_x)));
                spike_at += who.span(uses.spike_every_s).max(0.1);
            }
            let asks = |at_s: f64| {
                let spike = spikes.iter().find(|(from, to, _)| (*from..*to).contains(&at_s));
                shape(experiment, at_s) * spike.map_or(base, |(_, _, times)| *times)
            };
            let peak = (1.0 + experiment.load.swing)
                * spikes.iter().map(|(.., times)| *times).fold(base, f64::max)
                * flood_most(experiment);
            let mut at_s = when.gap(plan.rate * peak / mean_units);
            while at_s < experiment.length_s {
                // Thinned: as many come as are asked for at that moment.
                let flood = flooded(experiment, no, at_s);
                if when.unit() * peak < asks(at_s) * flood {
                    let product_no = product(experiment, when.unit());
                    let units = experiment.product[product_no].units;
                    firsts.push(self::first(experiment, seconds(at_s), no, product_no, units, &mut when));
                }
                at_s += when.gap(plan.rate * peak / mean_units);
            }
        }
    }
    firsts.sort_by_key(|first| (first.at, first.customer));
    Arrivals { customers, firsts, txns_at_capacity }
}

fn floods(experiment: &Experiment) -> impl Iterator<Item = &crate::experiment::Fault> {
    experiment.fault.iter().filter(|fault| fault.kind == crate::experiment::Kind::Flood)
}

fn flood_most(experiment: &Experiment) -> f64 {
    floods(experiment).map(|fault| fault.size).fold(1.0, f64::max)
}

/// Every so manieth customer floods.
fn flooded(experiment: &Experiment, customer: usize, at_s: f64) -> f64 {
    let now = floods(experiment).filter(|fault| (fault.at_s..fault.at_s + fault.for_s).contains(&at_s));
    let every = |part: f64| (1.0 / part.max(1e-6)).round().max(1.0) as usize;
    now.filter(|fault| customer.is_multiple_of(every(fault.part))).map(|fault| fault.size).fold(1.0, f64::max)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn experiment(change: &str) -> Experiment {
        let text = format!(
            "name = \"a\"\nlength_s = 20\n{change}\n[fleet]\ndoors = 20\nbackends = 20\n[[product]]\nname = \"look\"\nshare = 1\n\
             work_ms = 20\nsla_ms = 400\nexpiry_ms = 1500\nrepeat = \"inquiry-like\"\nunits = 2\n[[plan]]\nname = \"basic\"\n\
             share = 1\nrate = 4\nburst = 8\n[load]\nof_capacity = 0.5\n"
        );
        Experiment::parse(&text).expect("good")
    }

    #[test]
    fn the_load_is_what_is_asked_for_and_comes_again() {
        let plain = experiment("customers = {full = 0.0, heavy = 0.0, spiky = 0.0, calm = 0.3}");
        let arrivals = drawn(&plain, 3);
        let asked = arrivals.firsts.len() as f64 / 20.0 / arrivals.txns_at_capacity;
        assert!((0.48..0.52).contains(&asked), "{asked} of capacity");
        assert_eq!(drawn(&plain, 3).firsts, arrivals.firsts);
        assert_ne!(drawn(&plain, 4).firsts, arrivals.firsts);
    }

    #[test]
    fn a_customer_comes_through_its_own_doors_only() {
        let arrivals = drawn(&experiment(""), 3);
        let customer = &arrivals.customers[0];
        let doors: std::collections::BTreeSet<_> =
            (0..1_000).map(|no| customer.door(seconds(3.0), f64::from(no) / 1_000.0, 20)).collect();
        assert!(doors.len() <= customer.width && doors.len() > 1);
        assert!(doors.iter().all(|door| (door + 20 - customer.first) % 20 < customer.width));
    }

    #[test]
    fn a_flood_is_asked_by_some_for_a_while() {
        let flooding = experiment("fault = [{kind = \"flood\", at_s = 5, for_s = 5, part = 0.1, size = 10}]");
        let arrivals = drawn(&flooding, 3);
        let count = |from: f64, to: f64, of: &dyn Fn(usize) -> bool| {
            arrivals
                .firsts
                .iter()
                .filter(|one| one.at >= seconds(from) && one.at < seconds(to) && of(one.customer))
                .count()
        };
        let flooders = |customer: usize| customer.is_multiple_of(10);
        let others = |customer: usize| !customer.is_multiple_of(10);
        assert!(count(5.0, 10.0, &flooders) > 5 * count(10.0, 15.0, &flooders));
        assert!(count(5.0, 10.0, &others) < 2 * count(10.0, 15.0, &others));
    }
}
