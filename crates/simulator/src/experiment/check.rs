//! The checks of an experiment: each error names the key that is at fault.

use super::{Counter, Experiment, Fault, FaultKind, InvalidExperiment, Plan, Product, Repeat, Span};
use vanewharf_traces::Mapping;

/// Gateways or backends at most.
const MAX_FLEET: usize = 100_000;

type Check = Result<(), InvalidExperiment>;

fn invalid(key: impl Into<String>, problem: impl Into<String>) -> Check {
    Err(InvalidExperiment::at_key(key, problem))
}

fn at_least(key: &str, value: f64, least: f64) -> Check {
    if value.is_finite() && value >= least {
        Ok(())
    } else {
        invalid(key, format!("{value} is below {least}"))
    }
}

fn part_of_one(key: &str, value: f64) -> Check {
    if (0.0..=1.0).contains(&value) { Ok(()) } else { invalid(key, format!("{value} is no part of one")) }
}

fn span(key: &str, span: Span) -> Check {
    at_least(key, span.least(), 0.0)?;
    if span.most() >= span.least() && span.most().is_finite() {
        Ok(())
    } else {
        invalid(key, "the second number is below the first")
    }
}

fn shares(key: &str, sum: f64) -> Check {
    if sum > 0.0 { Ok(()) } else { invalid(key, "all shares are 0") }
}

impl Experiment {
    /// Whether it can be run.
    ///
    /// # Errors
    /// If a value cannot be; the first one that is found.
    pub(super) fn check(&self) -> Check {
        at_least("length_s", self.length_s, 1.0)?;
        at_least("tick_ms", self.tick_ms, 0.1)?;
        self.check_counts()?;
        self.check_fleet()?;
        self.check_non_negative()?;
        part_of_one("net.jitter", self.net.jitter)?;
        at_least("load.of_capacity", self.load.of_capacity, 0.001)?;
        self.check_services()?;
        self.check_products()?;
        self.check_plans()?;
        shares("product", self.product.iter().map(|product| product.share).sum())?;
        shares("plan", self.plan.iter().map(|plan| plan.share).sum())?;
        self.check_customers()?;
        self.check_faults()?;
        let weights = &self.weights;
        let weight = weights.whole + weights.worst_window + weights.worst_product + weights.worst_plan;
        shares("weights", weight)?;
        self.trace.as_ref().map_or(Ok(()), |trace| self.check_mapping(&trace.mapping))
    }

    fn check_counts(&self) -> Check {
        for (key, count) in [
            ("fleet.doors", self.fleet.doors),
            ("fleet.backends", self.fleet.backends),
            ("fleet.cores", self.fleet.cores),
            ("fleet.places", self.fleet.places.len()),
            ("fleet.cell", self.fleet.cell),
            ("product", self.product.len()),
            ("plan", self.plan.len()),
            ("allow.most_submissions", self.allow.most_submissions),
        ] {
            if count == 0 {
                return invalid(key, "none");
            }
        }
        Ok(())
    }

    fn check_fleet(&self) -> Check {
        if self.fleet.doors > MAX_FLEET || self.fleet.backends > MAX_FLEET {
            return invalid("fleet", format!("more than {MAX_FLEET} doors or backends"));
        }
        span("fleet.speed", self.fleet.speed)?;
        at_least("fleet.speed", self.fleet.speed.least(), 0.01)?;
        part_of_one("fleet.cold_from", self.fleet.cold_from)
    }

    fn check_non_negative(&self) -> Check {
        for (key, value) in [
            ("fleet.ramp_s", self.fleet.ramp_s),
            ("fleet.thrash", self.fleet.thrash),
            ("fleet.handshake_ms", self.fleet.handshake_ms),
            ("fleet.idle_s", self.fleet.idle_s),
            ("net.same_ms", self.net.same_ms),
            ("net.cross_ms", self.net.cross_ms),
            ("net.client_ms", self.net.client_ms),
            ("net.dial_ms", self.net.dial_ms),
            ("discovery.spread_s", self.discovery.spread_s),
            ("allow.max_retry_after_ms", self.allow.max_retry_after_ms),
            ("rules.drain_grace_ms", self.rules.drain_grace_ms),
            ("rules.fall_multiple", self.rules.fall_multiple),
            ("rules.fall_ms", self.rules.fall_ms),
            ("load.swing", self.load.swing),
            ("customers.skew", self.customers.skew),
            ("clients.front_late_s", self.clients.front_late_s),
        ] {
            at_least(key, value, 0.0)?;
        }
        Ok(())
    }

    fn check_services(&self) -> Check {
        span("discovery.late_s", self.discovery.late_s)?;
        span("discovery.silent_late_s", self.discovery.silent_late_s)?;
        if let Some(meter) = &self.meter {
            at_least("meter.period_s", meter.period_s, 0.01)?;
            span("meter.late_s", meter.late_s)?;
        }
        self.counter.as_ref().map_or(Ok(()), check_counter)?;
        if let Some(peers) = &self.peers {
            span("peers.takes_ms", peers.takes_ms)?;
            part_of_one("peers.loss", peers.loss)?;
            at_least("peers.in_per_s", peers.in_per_s, 1.0)?;
        }
        Ok(())
    }

    fn check_products(&self) -> Check {
        let mut products = self.product.iter().enumerate();
        products.try_for_each(|(index, product)| check_product(index, product))
    }

    fn check_plans(&self) -> Check {
        self.plan.iter().enumerate().try_for_each(|(index, plan)| check_plan(index, plan))
    }

    fn check_customers(&self) -> Check {
        let customers = &self.customers;
        part_of_one("customers.full", customers.full)?;
        part_of_one("customers.heavy", customers.heavy)?;
        part_of_one("customers.spiky", customers.spiky)?;
        part_of_one("customers", customers.full + customers.heavy + customers.spiky)?;
        for (key, value) in [
            ("customers.calm", customers.calm),
            ("customers.heavy_x", customers.heavy_x),
            ("customers.spike_x", customers.spike_x),
            ("customers.spike_s", customers.spike_s),
            ("customers.spike_every_s", customers.spike_every_s),
            ("customers.shift_s", customers.shift_s),
            ("clients.backoff_ms", self.clients.backoff_ms),
            ("clients.stays", self.clients.stays),
        ] {
            span(key, value)?;
        }
        at_least("customers.shift_s", customers.shift_s.least(), 0.1)?;
        at_least("customers.spike_every_s", customers.spike_every_s.least(), 0.1)?;
        part_of_one("clients.honour", self.clients.honour)?;
        part_of_one("clients.stays", self.clients.stays.most())
    }

    fn check_faults(&self) -> Check {
        self.fault.iter().enumerate().try_for_each(|(index, fault)| self.check_fault(index, fault))
    }

    fn check_fault(&self, index: usize, fault: &Fault) -> Check {
        let key = |name: &str| format!("fault.{index}.{name}");
        at_least(&key("at_s"), fault.at_s, 0.0)?;
        at_least(&key("for_s"), fault.for_s, 0.0)?;
        part_of_one(&key("part"), fault.part)?;
        at_least(&key("size"), fault.size, 0.0)?;
        at_least(&key("every_s"), fault.every_s, 0.1)?;
        if fault.at_s > self.length_s {
            return invalid(key("at_s"), "after the end");
        }
        if fault.kind == FaultKind::PlaceCut && self.fleet.places.len() < 2 {
            return invalid(key("kind"), "place-cut with one place");
        }
        if fault.kind == FaultKind::CounterDown && self.counter.is_none() {
            return invalid(key("kind"), "counter-down with no counter");
        }
        Ok(())
    }

    fn check_mapping(&self, mapping: &Mapping) -> Check {
        at_least("trace.mapping.time_unit_s", mapping.time_unit_s, 1e-9)?;
        at_least("trace.mapping.faster", mapping.speedup, 1e-6)?;
        at_least("trace.mapping.units", mapping.units, 1e-9)?;
        let has_product = |name: &String| self.product.iter().any(|product| product.name == *name);
        let has_plan = |name: &String| self.plan.iter().any(|plan| plan.name == *name);
        for (word, name) in &mapping.kinds {
            if !has_product(name) {
                let key = format!("trace.mapping.kinds.{word}");
                return invalid(key, format!("no product is named '{name}'"));
            }
        }
        match (&mapping.product, &mapping.columns.kind) {
            (Some(name), _) if !has_product(name) => {
                return invalid("trace.mapping.product", format!("no product is named '{name}'"));
            }
            (None, None) => return invalid("trace.mapping.product", "missing, and no column has it"),
            _ => {}
        }
        match (&mapping.plan, &mapping.columns.plan) {
            (Some(name), _) if !has_plan(name) => {
                invalid("trace.mapping.plan", format!("no plan is named '{name}'"))
            }
            (None, None) => invalid("trace.mapping.plan", "missing, and no column has it"),
            _ => Ok(()),
        }
    }
}

fn check_counter(counter: &Counter) -> Check {
    at_least("counter.per_s", counter.per_s, 1.0)?;
    at_least("counter.wait_ms", counter.wait_ms, 0.1)?;
    if counter.parts == 0 { invalid("counter.parts", "none") } else { Ok(()) }
}

fn check_product(index: usize, product: &Product) -> Check {
    let key = |name: &str| format!("product.{index}.{name}");
    at_least(&key("share"), product.share, 0.0)?;
    at_least(&key("work_ms"), product.work_ms, 0.001)?;
    at_least(&key("sla_ms"), product.sla_ms, 0.1)?;
    at_least(&key("units"), product.units, 0.001)?;
    part_of_one(&key("late_worth"), product.late_worth)?;
    part_of_one(&key("guess"), product.guess)?;
    at_least(&key("value"), product.value, 0.0)?;
    at_least(&key("spread"), product.spread, 0.0)?;
    if product.expiry_ms < product.sla_ms {
        return invalid(key("expiry_ms"), "below sla_ms");
    }
    if product.repeat == Repeat::Referenced && product.window_ms <= 0.0 {
        return invalid(key("window_ms"), "missing for a referenced product");
    }
    Ok(())
}

fn check_plan(index: usize, plan: &Plan) -> Check {
    let key = |name: &str| format!("plan.{index}.{name}");
    for (name, value) in [
        ("share", plan.share),
        ("beyond_worth", plan.beyond_worth),
        ("beyond_cost", plan.beyond_cost),
        ("ceiling", plan.ceiling),
        ("value_factor", plan.value_factor),
    ] {
        at_least(&key(name), value, 0.0)?;
    }
    at_least(&key("rate"), plan.rate, 0.001)?;
    at_least(&key("burst"), plan.burst, 0.001)?;
    span(&key("width"), plan.width)?;
    part_of_one(&key("width"), plan.width.most())?;
    if plan.ceiling > 0.0 && plan.ceiling < 1.0 {
        return invalid(key("ceiling"), "below the quota itself");
    }
    Ok(())
}
