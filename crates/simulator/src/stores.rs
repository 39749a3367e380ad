//! What the plans allow, kept exactly as one place that saw everything would keep it; and the meter, which tells
//! of it late.

use crate::experiment::{Experiment, Meter, Plan};
use std::collections::VecDeque;
use vanewharf_policy::interface::Ticks;

/// A store of units that starts full, fills at a rate and holds its burst at most.
#[derive(Clone, Debug)]
pub struct Store {
    rate: f64,
    burst: f64,
    units: f64,
    at: Ticks,
}

impl Store {
    pub fn new(rate: f64, burst: f64, at: Ticks) -> Store {
        Store { rate, burst, units: burst, at }
    }

    pub fn fill(&mut self, now: Ticks) -> f64 {
        self.units = (self.units + self.rate * (now - self.at).seconds().max(0.0)).min(self.burst);
        self.at = now;
        self.units
    }

    /// Takes the units if they are there.
    pub fn takes(&mut self, units: f64, now: Ticks) -> bool {
        let inside = self.fill(now) >= units - 1e-9;
        self.units -= if inside { units } else { 0.0 };
        inside
    }

    /// Below nothing if need be: how far.
    pub fn draws(&mut self, units: f64, now: Ticks) -> f64 {
        self.fill(now);
        self.units -= units;
        -self.units
    }

    pub fn gives_back(&mut self, units: f64, now: Ticks) {
        self.fill(now);
        self.units = (self.units + units).min(self.burst);
    }
}

/// One customer's stores and its use by periods.
pub struct Books {
    /// What one door that saw all first tries would let in: it decides what is offered.
    pub ideal: Store,
    /// What was sent on.
    pub sent: Store,
    pub ceiling: Option<Store>,
    /// As the one that sees keeps them: taken from when it lets in, not when something is sent.
    let_in: Store,
    let_in_ceiling: Option<Store>,
    pub slack: f64,
    pub depth: f64,
    rate: f64,
    /// Units sent in the period under way, and in those before with their ends.
    period: i64,
    using: f64,
    used: VecDeque<(Ticks, f64)>,
}

impl Books {
    pub fn new(plan: &Plan, experiment: &Experiment, at: Ticks) -> Books {
        let largest = experiment.product.iter().map(|product| product.units).fold(0.0, f64::max);
        let depth = plan.ceiling * plan.burst;
        Books {
            ideal: Store::new(plan.rate, plan.burst, at),
            sent: Store::new(plan.rate, plan.burst, at),
            let_in: Store::new(plan.rate, plan.burst, at),
            let_in_ceiling: (plan.ceiling > 0.0).then(|| Store::new(plan.ceiling * plan.rate, depth, at)),
            ceiling: (plan.ceiling > 0.0).then(|| Store::new(plan.ceiling * plan.rate, depth, at)),
            slack: (experiment.rules.ceiling_slack * depth).max(largest),
            depth,
            rate: plan.rate,
            period: 0,
            using: 0.0,
            used: VecDeque::new(),
        }
    }

    /// Whether one who saw all would let it in: inside the quota, or beyond it where that pays.
    pub fn lets_in(&mut self, units: f64, plan: &Plan, now: Ticks) -> bool {
        if self.let_in_ceiling.as_mut().is_some_and(|ceiling| !ceiling.takes(units, now)) {
            return false;
        }
        let lets_in = self.let_in.takes(units, now) || plan.beyond_worth > plan.beyond_cost;
        if let Some(ceiling) = self.let_in_ceiling.as_mut().filter(|_| !lets_in) {
            ceiling.gives_back(units, now);
        }
        lets_in
    }

    /// What a guess was too high by is given back, or taken too.
    pub fn settles(&mut self, back: f64, now: Ticks) {
        self.sent.gives_back(back, now);
        self.let_in.gives_back(back, now);
    }

    fn turn(&mut self, now: Ticks, meter: &Meter) {
        let span = (meter.period_s * 10_000.0) as i64;
        let period = now.0.div_euclid(span.max(1));
        if period > self.period {
            let end = Ticks((self.period + 1) * span);
            self.used.push_back((end, self.using));
            if period > self.period + 1 {
                self.used.push_back((Ticks(period * span), 0.0));
            }
            self.using = 0.0;
            self.period = period;
        }
        while self.used.len() > 8 {
            self.used.pop_front();
        }
    }

    pub fn uses(&mut self, units: f64, now: Ticks, meter: Option<&Meter>) {
        if let Some(meter) = meter {
            self.turn(now, meter);
            self.using += units;
        }
    }

    /// The use in the last period that had ended so long ago, as a share of the rate.
    pub fn metered(&mut self, now: Ticks, late: Ticks, meter: &Meter) -> Option<f64> {
        self.turn(now, meter);
        let told = self.used.iter().rev().find(|(end, _)| *end + late <= now);
        told.map(|(_, units)| units / meter.period_s / self.rate)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::draw::seconds;

    #[test]
    fn a_store_holds_its_burst_and_fills_at_its_rate() {
        let mut store = Store::new(2.0, 4.0, seconds(1.0));
        assert!(store.takes(4.0, seconds(1.0)) && !store.takes(1.0, seconds(1.0)));
        assert!(store.takes(1.0, seconds(1.5)) && !store.takes(1.0, seconds(1.5)));
        assert_eq!(store.fill(seconds(60.0)), 4.0);
        assert_eq!(store.draws(6.0, seconds(60.0)), 2.0);
    }

    #[test]
    fn the_meter_tells_of_finished_periods_late() {
        let text = "name = \"a\"\nlength_s = 20\nmeter = {period_s = 1, late_s = 0.5}\n[fleet]\ndoors = 2\nbackends = 2\n[[product]]\n\
            name = \"look\"\nshare = 1\nwork_ms = 20\nsla_ms = 400\nexpiry_ms = 1500\nrepeat = \"inquiry-like\"\n[[plan]]\n\
            name = \"basic\"\nshare = 1\nrate = 4\nburst = 8\n[load]\nof_capacity = 0.5\n";
        let experiment = Experiment::parse(text).expect("good");
        let meter = experiment.meter.clone().expect("told");
        let mut books = Books::new(&experiment.plan[0], &experiment, Ticks(0));
        books.uses(2.0, seconds(0.4), Some(&meter));
        let late = seconds(0.5);
        assert_eq!(books.metered(seconds(1.2), late, &meter), None);
        assert_eq!(books.metered(seconds(1.6), late, &meter), Some(0.5));
        assert_eq!(books.metered(seconds(9.0), late, &meter), Some(0.0), "an idle period is told too");
    }
}
