//! Validation of experiments. Each error names the invalid key.

use super::{Counter, Experiment, Fault, FaultKind, InvalidExperiment, Plan, Product, Repeat, Span};
use vanewharf_traces::Mapping;

/// Maximum number of gateways, and of backends.
const MAX_INSTANCES: usize = 100_000;

type Check = Result<(), InvalidExperiment>;

fn invalid(key: impl Into<String>, problem: impl Into<String>) -> Check {
    Err(InvalidExperiment::at_key(key, problem))
}

fn at_least(key: &str, value: f64, min: f64) -> Check {
    if value.is_finite() && value >= min {
        Ok(())
    } else {
        invalid(key, format!("{value} is not a finite number of at least {min}"))
    }
}

fn fraction(key: &str, value: f64) -> Check {
    if (0.0..=1.0).contains(&value) {
        Ok(())
    } else {
        invalid(key, format!("{value} is not between 0 and 1"))
    }
}

fn span(key: &str, span: Span) -> Check {
    at_least(key, span.min(), 0.0)?;
    if span.max() >= span.min() && span.max().is_finite() {
        Ok(())
    } else {
        invalid(key, "the upper bound is not finite or is below the lower bound")
    }
}

fn positive_sum(key: &str, sum: f64) -> Check {
    if sum > 0.0 { Ok(()) } else { invalid(key, "the shares or weights add up to 0") }
}

impl Experiment {
    /// Validates all values.
    ///
    /// # Errors
    /// Returns the first invalid value that is found.
    pub(super) fn check(&self) -> Check {
        at_least("length_s", self.length_s, 1.0)?;
        at_least("tick_ms", self.tick_ms, 0.1)?;
        self.check_counts()?;
        self.check_fleet()?;
        self.check_non_negative()?;
        fraction("net.jitter", self.net.jitter)?;
        at_least("load.of_capacity", self.load.of_capacity, 0.001)?;
        self.check_services()?;
        self.check_products()?;
        self.check_plans()?;
        positive_sum("product", self.product.iter().map(|product| product.share).sum())?;
        positive_sum("plan", self.plan.iter().map(|plan| plan.share).sum())?;
        self.check_customers()?;
        self.check_faults()?;
        let weights = &self.weights;
        let sum = weights.whole + weights.worst_window + weights.worst_product + weights.worst_plan;
        positive_sum("weights", sum)?;
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
        if self.fleet.doors > MAX_INSTANCES || self.fleet.backends > MAX_INSTANCES {
            return invalid("fleet", format!("more than {MAX_INSTANCES} gateways or backends"));
        }
        span("fleet.speed", self.fleet.speed)?;
        at_least("fleet.speed", self.fleet.speed.min(), 0.01)?;
        fraction("fleet.cold_from", self.fleet.cold_from)
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
            fraction("peers.loss", peers.loss)?;
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
        fraction("customers.full", customers.full)?;
        fraction("customers.heavy", customers.heavy)?;
        fraction("customers.spiky", customers.spiky)?;
        let sum = customers.full + customers.heavy + customers.spiky;
        if sum > 1.0 {
            return invalid(
                "customers",
                format!("full, heavy and spiky add up to {sum}, which is more than 1"),
            );
        }
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
        at_least("customers.shift_s", customers.shift_s.min(), 0.1)?;
        at_least("customers.spike_every_s", customers.spike_every_s.min(), 0.1)?;
        fraction("clients.honour", self.clients.honour)?;
        fraction("clients.stays", self.clients.stays.max())
    }

    fn check_faults(&self) -> Check {
        self.fault.iter().enumerate().try_for_each(|(index, fault)| self.check_fault(index, fault))
    }

    fn check_fault(&self, index: usize, fault: &Fault) -> Check {
        let key = |name: &str| format!("fault.{index}.{name}");
        at_least(&key("at_s"), fault.at_s, 0.0)?;
        at_least(&key("for_s"), fault.for_s, 0.0)?;
        fraction(&key("part"), fault.part)?;
        at_least(&key("size"), fault.size, 0.0)?;
        at_least(&key("every_s"), fault.every_s, 0.1)?;
        if fault.at_s > self.length_s {
            return invalid(key("at_s"), "the fault starts after the end of the run");
        }
        if fault.kind == FaultKind::PlaceCut && self.fleet.places.len() < 2 {
            return invalid(key("kind"), "place-cut requires at least two zones in fleet.places");
        }
        if fault.kind == FaultKind::CounterDown && self.counter.is_none() {
            return invalid(key("kind"), "counter-down requires a [counter] section");
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
                return invalid(key, format!("there is no product named '{name}'"));
            }
        }
        match (&mapping.product, &mapping.columns.kind) {
            (Some(name), _) if !has_product(name) => {
                return invalid("trace.mapping.product", format!("there is no product named '{name}'"));
            }
            (None, None) => {
                return invalid("trace.mapping.product", "neither this key nor columns.kind is set");
            }
            _ => {}
        }
        match (&mapping.plan, &mapping.columns.plan) {
            (Some(name), _) if !has_plan(name) => {
                invalid("trace.mapping.plan", format!("there is no plan named '{name}'"))
            }
            (None, None) => invalid("trace.mapping.plan", "neither this key nor columns.plan is set"),
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
    fraction(&key("late_worth"), product.late_worth)?;
    fraction(&key("guess"), product.guess)?;
    at_least(&key("value"), product.value, 0.0)?;
    at_least(&key("spread"), product.spread, 0.0)?;
    if product.expiry_ms < product.sla_ms {
        return invalid(key("expiry_ms"), "the expiry is below sla_ms");
    }
    if product.repeat == Repeat::Referenced && product.window_ms <= 0.0 {
        return invalid(key("window_ms"), "a referenced product requires a positive window");
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
    fraction(&key("width"), plan.width.max())?;
    if plan.ceiling > 0.0 && plan.ceiling < 1.0 {
        return invalid(key("ceiling"), "the hard limit is below the quota");
    }
    Ok(())
}
