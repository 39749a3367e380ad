//! An experiment as its file states it, and the checks that it must pass before anything is run by it. What is
//! left out has the value that stands here; docs/lab.md has every key.

use serde::Deserialize;
use std::fmt;
use vanewharf_traces::Mapping;

/// What is wrong with an experiment's file, by the key that is at fault.
#[derive(Debug, PartialEq)]
pub struct Faulty {
    pub key: String,
    pub why: String,
}

impl fmt::Display for Faulty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() { write!(f, "{}", self.why) } else { write!(f, "{}: {}", self.key, self.why) }
    }
}

impl std::error::Error for Faulty {}

fn faulty<T>(key: impl Into<String>, why: impl Into<String>) -> Result<T, Faulty> {
    Err(Faulty { key: key.into(), why: why.into() })
}

/// From the least to the most; one number stands for both.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Span {
    One(f64),
    Two([f64; 2]),
}

impl Span {
    pub fn least(self) -> f64 {
        match self {
            Span::One(one) => one,
            Span::Two([least, _]) => least,
        }
    }

    pub fn most(self) -> f64 {
        match self {
            Span::One(one) => one,
            Span::Two([_, most]) => most,
        }
    }

    pub fn middle(self) -> f64 {
        (self.least() + self.most()) / 2.0
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    #[serde(default = "first_seed")]
    pub seed: u64,
    /// Seconds in which clients come.
    pub length_s: f64,
    /// A door decides once a tick what has come.
    #[serde(default = "tick")]
    pub tick_ms: f64,
    pub fleet: Fleet,
    #[serde(default)]
    pub net: Net,
    #[serde(default)]
    pub discovery: Discovery,
    pub meter: Option<Meter>,
    pub counter: Option<Counter>,
    pub peers: Option<Peers>,
    #[serde(default)]
    pub allow: Allow,
    #[serde(default)]
    pub rules: Rules,
    pub product: Vec<Product>,
    pub plan: Vec<Plan>,
    #[serde(default)]
    pub customers: Customers,
    pub load: Load,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub fault: Vec<Fault>,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub weights: Weights,
    #[serde(default)]
    pub sweep: Vec<Sweep>,
    pub trace: Option<Trace>,
}

fn first_seed() -> u64 {
    1
}

fn tick() -> f64 {
    4.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub doors: usize,
    pub backends: usize,
    #[serde(default = "Fleet::cores")]
    pub cores: usize,
    /// Txns that wait at a backend beyond those in work; more are turned away.
    #[serde(default = "Fleet::queue")]
    pub queue: usize,
    /// Doors and backends are spread over them in turn.
    #[serde(default = "Fleet::places")]
    pub places: Vec<String>,
    /// Backends that are struck together where a fault goes by cells.
    #[serde(default = "Fleet::cell")]
    pub cell: usize,
    #[serde(default = "Fleet::speed")]
    pub speed: Span,
    /// The part of its capacity that a backend starts with, and the seconds until it has all.
    #[serde(default = "Fleet::cold_from")]
    pub cold_from: f64,
    #[serde(default = "Fleet::ramp_s")]
    pub ramp_s: f64,
    /// How much longer work takes for each txn that waits beyond the first dozen.
    #[serde(default)]
    pub thrash: f64,
    /// What a cancel or time-out stops.
    #[serde(default)]
    pub stops: Stops,
    /// Work of one new connection, and the seconds an idle one is kept at most.
    #[serde(default = "Fleet::handshake_ms")]
    pub handshake_ms: f64,
    #[serde(default = "Fleet::idle_s")]
    pub idle_s: f64,
}

impl Fleet {
    fn cores() -> usize {
        2
    }
    fn queue() -> usize {
        40
    }
    fn places() -> Vec<String> {
        vec!["hall".to_owned()]
    }
    fn cell() -> usize {
        4
    }
    fn speed() -> Span {
        Span::Two([0.9, 1.1])
    }
    fn cold_from() -> f64 {
        0.25
    }
    fn ramp_s() -> f64 {
        10.0
    }
    fn handshake_ms() -> f64 {
        1.0
    }
    fn idle_s() -> f64 {
        15.0
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stops {
    Nothing,
    #[default]
    Waiting,
    All,
}

/// One way, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    pub same_ms: f64,
    pub cross_ms: f64,
    pub client_ms: f64,
    pub jitter: f64,
    /// A connection that is not up by then never comes up.
    pub dial_ms: f64,
}

impl Default for Net {
    fn default() -> Self {
        Net { same_ms: 0.25, cross_ms: 0.6, client_ms: 0.7, jitter: 0.2, dial_ms: 250.0 }
    }
}

/// How late news of backends come; of those that say nothing, later.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    pub late_s: Span,
    pub silent_late_s: Span,
    /// How far apart doors hear the same news.
    pub spread_s: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { late_s: Span::Two([0.5, 2.0]), silent_late_s: Span::Two([4.0, 8.0]), spread_s: 0.2 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Meter {
    pub period_s: f64,
    pub late_s: Span,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Calls a second that one part takes; names are spread over the parts.
    pub per_s: f64,
    #[serde(default = "Counter::parts")]
    pub parts: usize,
    pub wait_ms: f64,
}

impl Counter {
    fn parts() -> usize {
        1
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    pub takes_ms: Span,
    #[serde(default)]
    pub loss: f64,
    pub in_per_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Allow {
    pub cancel: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub max_retry_after_ms: f64,
    pub most_submissions: usize,
}

impl Default for Allow {
    fn default() -> Self {
        Allow {
            cancel: true,
            second_copies: true,
            retry_after: true,
            max_retry_after_ms: 500.0,
            most_submissions: 3,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub drain_grace_ms: f64,
    pub answer_slack_ms: f64,
    /// A cold backend that gets more than so many times its capacity for so long falls.
    pub fall_multiple: f64,
    pub fall_ms: f64,
    /// Of a ceiling's depth, or the largest txn where that is more.
    pub ceiling_slack: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: 1000.0,
            answer_slack_ms: 50.0,
            fall_multiple: 3.0,
            fall_ms: 1000.0,
            ceiling_slack: 0.1,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    pub name: String,
    pub share: f64,
    /// On one core at speed 1, without waiting.
    pub work_ms: f64,
    /// Of the work, as a lognormal's coefficient of variation.
    #[serde(default = "Product::spread")]
    pub spread: f64,
    pub sla_ms: f64,
    pub expiry_ms: f64,
    #[serde(default = "Product::value")]
    pub value: f64,
    #[serde(default)]
    pub late_worth: f64,
    pub repeat: Repeat,
    #[serde(default)]
    pub window_ms: f64,
    #[serde(default = "Product::units")]
    pub units: f64,
    /// The request names a guess that is off by so much either way; the true units come with the answer.
    #[serde(default)]
    pub guess: f64,
}

impl Product {
    fn spread() -> f64 {
        0.8
    }
    fn value() -> f64 {
        1.0
    }
    fn units() -> f64 {
        1.0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    InquiryLike,
    Referenced,
    OnceOnly,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// Of the load inside quotas.
    pub share: f64,
    /// Units a second and the units that may be used at once, for each customer.
    pub rate: f64,
    pub burst: f64,
    #[serde(default = "Plan::one")]
    pub value_factor: f64,
    #[serde(default)]
    pub beyond_worth: f64,
    #[serde(default = "Plan::one")]
    pub beyond_cost: f64,
    /// Times rate and burst; 0 is none.
    #[serde(default)]
    pub ceiling: f64,
    /// Part of the doors that a customer comes through.
    #[serde(default = "Plan::width")]
    pub width: Span,
}

impl Plan {
    fn one() -> f64 {
        1.0
    }
    fn width() -> Span {
        Span::Two([0.2, 0.4])
    }
}

/// Parts of the customers, and what they ask as a multiple of their rate. The rest are calm.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Customers {
    pub calm: Span,
    pub full: f64,
    pub heavy: f64,
    pub heavy_x: Span,
    pub spiky: f64,
    pub spike_x: Span,
    pub spike_s: Span,
    pub spike_every_s: Span,
    /// How unevenly a customer comes through its doors (0: evenly), and how often that changes.
    pub skew: f64,
    pub shift_s: Span,
}

impl Default for Customers {
    fn default() -> Self {
        Customers {
            calm: Span::Two([0.2, 0.4]),
            full: 0.2,
            heavy: 0.1,
            heavy_x: Span::Two([2.0, 5.0]),
            spiky: 0.15,
            spike_x: Span::Two([2.0, 6.0]),
            spike_s: Span::Two([0.5, 4.0]),
            spike_every_s: Span::Two([10.0, 20.0]),
            skew: 0.6,
            shift_s: Span::Two([6.0, 20.0]),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// What is asked inside quotas, as a part of what all warm backends can do.
    pub of_capacity: f64,
    #[serde(default)]
    pub shape: Shape,
    #[serde(default)]
    pub swing: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    #[default]
    Steady,
    Ramp,
    Wave,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    pub retries: u32,
    pub backoff_ms: Span,
    /// Part that heeds a retry-after.
    pub honour: f64,
    /// A try is given up after this part of the product's expiry.
    pub stays: Span,
    pub marks_retry: bool,
    /// Seconds for which clients go on coming to a door that has died.
    pub front_late_s: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: 1,
            backoff_ms: Span::Two([60.0, 300.0]),
            honour: 0.7,
            stays: Span::Two([0.5, 1.0]),
            marks_retry: true,
            front_late_s: 2.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    pub at_s: f64,
    pub for_s: f64,
    /// Of the backends or doors.
    #[serde(default = "Fault::part")]
    pub part: f64,
    #[serde(default)]
    pub by: By,
    /// `slow`: times slower; `flood`: times what those customers ask; `answers-lost`: share of the answers;
    /// `list-late`: seconds.
    #[serde(default = "Fault::size")]
    pub size: f64,
    /// `door-stall`, `flap`: seconds between; `drain`: seconds of notice.
    #[serde(default = "Fault::every_s")]
    pub every_s: f64,
}

impl Fault {
    fn part() -> f64 {
        0.2
    }
    fn size() -> f64 {
        1.0
    }
    fn every_s() -> f64 {
        3.0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Backends' processes die and come back cold.
    Crash,
    /// Backends take work and answer nothing; they come back cold.
    Silent,
    Slow,
    /// They die and come back again and again.
    Flap,
    /// They drain one after the other, go, and return cold.
    Drain,
    /// Answers are cut off after the work is done.
    AnswersLost,
    /// The links between one place and the others.
    PlaceCut,
    DoorCrash,
    DoorStall,
    CounterDown,
    ListLate,
    /// Some customers ask far more.
    Flood,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum By {
    #[default]
    Any,
    Place,
    Cell,
}

/// Taken off the result, each times its share or rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    pub cross_place: f64,
    pub waste: f64,
    pub handshake: f64,
    pub counter: f64,
    pub word: f64,
    pub late_fail: f64,
}

impl Default for Prices {
    fn default() -> Self {
        Prices {
            cross_place: 0.01,
            waste: 0.03,
            handshake: 0.05,
            counter: 0.005,
            word: 0.003,
            late_fail: 0.03,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    pub whole: f64,
    pub worst_window: f64,
    pub worst_product: f64,
    pub worst_plan: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights { whole: 0.5, worst_window: 0.25, worst_product: 0.1, worst_plan: 0.15 }
    }
}

/// One key of this file and the values it takes, one run each.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    pub key: String,
    pub values: Vec<toml::Value>,
}

/// Arrivals from a file in place of drawn ones, and what its columns say.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Beside the experiment's file.
    pub file: String,
    pub mapping: Mapping,
}

impl Experiment {
    /// The file's text; a fault in its form names the line.
    pub fn parse(text: &str) -> Result<Experiment, Faulty> {
        let table: toml::Table =
            toml::from_str(text).map_err(|error| Faulty { key: String::new(), why: one_line(&error) })?;
        // Read from the text again, so that a fault has its line.
        let experiment: Experiment =
            toml::from_str(text).map_err(|error| Faulty { key: String::new(), why: one_line(&error) })?;
        experiment.check()?;
        for (no, sweep) in experiment.sweep.iter().enumerate() {
            for value in &sweep.values {
                experiment_with(&table, &[(&sweep.key, value)])
                    .map_err(|fault| Faulty { key: format!("sweep.{no}"), why: fault.to_string() })?;
            }
        }
        Ok(experiment)
    }

    fn check(&self) -> Result<(), Faulty> {
        let least = |key: &str, value: f64, least: f64| {
            if value.is_finite() && value >= least {
                Ok(())
            } else {
                faulty(key, format!("{value} is below {least}"))
            }
        };
        let part = |key: &str, value: f64| {
            if (0.0..=1.0).contains(&value) {
                Ok(())
            } else {
                faulty(key, format!("{value} is no part of one"))
            }
        };
        let span = |key: &str, span: Span| {
            least(key, span.least(), 0.0)?;
            if span.most() >= span.least() && span.most().is_finite() {
                Ok(())
            } else {
                faulty(key, "the second number is below the first")
            }
        };
        least("length_s", self.length_s, 1.0)?;
        least("tick_ms", self.tick_ms, 0.1)?;
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
                return faulty(key, "none");
            }
        }
        if self.fleet.doors > 100_000 || self.fleet.backends > 100_000 {
            return faulty("fleet", "more than 100000 doors or backends");
        }
        span("fleet.speed", self.fleet.speed)?;
        least("fleet.speed", self.fleet.speed.least(), 0.01)?;
        part("fleet.cold_from", self.fleet.cold_from)?;
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
            least(key, value, 0.0)?;
        }
        part("net.jitter", self.net.jitter)?;
        least("load.of_capacity", self.load.of_capacity, 0.001)?;
        span("discovery.late_s", self.discovery.late_s)?;
        span("discovery.silent_late_s", self.discovery.silent_late_s)?;
        if let Some(meter) = &self.meter {
            least("meter.period_s", meter.period_s, 0.01)?;
            span("meter.late_s", meter.late_s)?;
        }
        if let Some(counter) = &self.counter {
            least("counter.per_s", counter.per_s, 1.0)?;
            least("counter.wait_ms", counter.wait_ms, 0.1)?;
            if counter.parts == 0 {
                return faulty("counter.parts", "none");
            }
        }
        if let Some(peers) = &self.peers {
            span("peers.takes_ms", peers.takes_ms)?;
            part("peers.loss", peers.loss)?;
            least("peers.in_per_s", peers.in_per_s, 1.0)?;
        }
        for (no, product) in self.product.iter().enumerate() {
            let key = |name: &str| format!("product.{no}.{name}");
            least(&key("share"), product.share, 0.0)?;
            least(&key("work_ms"), product.work_ms, 0.001)?;
            least(&key("sla_ms"), product.sla_ms, 0.1)?;
            least(&key("units"), product.units, 0.001)?;
            part(&key("late_worth"), product.late_worth)?;
            part(&key("guess"), product.guess)?;
            least(&key("value"), product.value, 0.0)?;
            least(&key("spread"), product.spread, 0.0)?;
            if product.expiry_ms < product.sla_ms {
                return faulty(key("expiry_ms"), "below sla_ms");
            }
            if product.repeat == Repeat::Referenced && product.window_ms <= 0.0 {
                return faulty(key("window_ms"), "missing for a referenced product");
            }
        }
        for (no, plan) in self.plan.iter().enumerate() {
            let key = |name: &str| format!("plan.{no}.{name}");
            for (name, value) in [
                ("share", plan.share),
                ("beyond_worth", plan.beyond_worth),
                ("beyond_cost", plan.beyond_cost),
                ("ceiling", plan.ceiling),
                ("value_factor", plan.value_factor),
            ] {
                least(&key(name), value, 0.0)?;
            }
            least(&key("rate"), plan.rate, 0.001)?;
            least(&key("burst"), plan.burst, 0.001)?;
            span(&key("width"), plan.width)?;
            part(&key("width"), plan.width.most())?;
            if plan.ceiling > 0.0 && plan.ceiling < 1.0 {
                return faulty(key("ceiling"), "below the quota itself");
            }
        }
        let shares = |key: &str, sum: f64| if sum > 0.0 { Ok(()) } else { faulty(key, "all shares are 0") };
        shares("product", self.product.iter().map(|product| product.share).sum())?;
        shares("plan", self.plan.iter().map(|plan| plan.share).sum())?;
        let customers = &self.customers;
        part("customers.full", customers.full)?;
        part("customers.heavy", customers.heavy)?;
        part("customers.spiky", customers.spiky)?;
        part("customers", customers.full + customers.heavy + customers.spiky)?;
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
        least("customers.shift_s", customers.shift_s.least(), 0.1)?;
        least("customers.spike_every_s", customers.spike_every_s.least(), 0.1)?;
        part("clients.honour", self.clients.honour)?;
        part("clients.stays", self.clients.stays.most())?;
        for (no, fault) in self.fault.iter().enumerate() {
            let key = |name: &str| format!("fault.{no}.{name}");
            least(&key("at_s"), fault.at_s, 0.0)?;
            least(&key("for_s"), fault.for_s, 0.0)?;
            part(&key("part"), fault.part)?;
            least(&key("size"), fault.size, 0.0)?;
            least(&key("every_s"), fault.every_s, 0.1)?;
            if fault.at_s > self.length_s {
                return faulty(key("at_s"), "after the end");
            }
            if fault.kind == Kind::PlaceCut && self.fleet.places.len() < 2 {
                return faulty(key("kind"), "place-cut with one place");
            }
            if fault.kind == Kind::CounterDown && self.counter.is_none() {
                return faulty(key("kind"), "counter-down with no counter");
            }
        }
        let sum = self.weights.whole
            + self.weights.worst_window
            + self.weights.worst_product
            + self.weights.worst_plan;
        shares("weights", sum)?;
        if let Some(Trace { mapping, .. }) = &self.trace {
            least("trace.mapping.time_unit_s", mapping.time_unit_s, 1e-9)?;
            least("trace.mapping.faster", mapping.speedup, 1e-6)?;
            least("trace.mapping.units", mapping.units, 1e-9)?;
            let product = |name: &String| self.product.iter().any(|known| known.name == *name);
            for (word, name) in &mapping.kinds {
                if !product(name) {
                    return faulty(
                        format!("trace.mapping.kinds.{word}"),
                        format!("no product is named '{name}'"),
                    );
                }
            }
            match (&mapping.product, &mapping.columns.kind) {
                (Some(name), _) if !product(name) => {
                    return faulty("trace.mapping.product", format!("no product is named '{name}'"));
                }
                (None, None) => return faulty("trace.mapping.product", "missing, and no column has it"),
                _ => {}
            }
            match (&mapping.plan, &mapping.columns.plan) {
                (Some(plan), _) if !self.plan.iter().any(|known| known.name == *plan) => {
                    return faulty("trace.mapping.plan", format!("no plan is named '{plan}'"));
                }
                (None, None) => return faulty("trace.mapping.plan", "missing, and no column has it"),
                _ => {}
            }
        }
        Ok(())
    }
}

fn one_line(error: &toml::de::Error) -> String {
    error.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// The experiment with some of its keys set anew; a key's parts are names, or numbers in lists.
pub fn experiment_with(table: &toml::Table, set: &[(&str, &toml::Value)]) -> Result<Experiment, Faulty> {
    let mut whole = toml::Value::Table(table.clone());
    for (key, value) in set {
        let mut place = &mut whole;
        for part in key.split('.') {
            place = match place {
                toml::Value::Table(table) => {
                    table.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()))
                }
                toml::Value::Array(items) => {
                    let item = part.parse::<usize>().ok().and_then(|no| items.get_mut(no));
                    item.ok_or_else(|| Faulty { key: (*key).to_owned(), why: format!("no item '{part}'") })?
                }
                _ => return faulty(*key, format!("'{part}' is below a plain value")),
            };
        }
        *place = (*value).clone();
    }
    let experiment: Experiment =
        whole.try_into().map_err(|error| Faulty { key: String::new(), why: one_line(&error) })?;
    experiment.check()?;
    Ok(experiment)
}

#[cfg(test)]
mod tests {
    use super::*;

    pub const SMALL: &str = r#"
name = "small"
length_s = 5
[fleet]
doors = 3
backends = 4
[[product]]
name = "look"
share = 1
work_ms = 20
sla_ms = 400
expiry_ms = 1500
repeat = "inquiry-like"
[[plan]]
name = "basic"
share = 1
rate = 4
burst = 8
[load]
of_capacity = 0.5
"#;

    #[test]
    fn a_file_with_the_least_is_read_and_the_rest_has_its_values() {
        let experiment = Experiment::parse(SMALL).expect("good");
        assert_eq!((experiment.seed, experiment.tick_ms, experiment.fleet.cores), (1, 4.0, 2));
        assert_eq!(experiment.plan[0].width, Span::Two([0.2, 0.4]));
    }

    #[test]
    fn what_is_wrong_is_named_by_key_or_line() {
        let cases = [
            ("doors = 3", "doors = 0", "fleet.doors"),
            ("doors = 3", "doors = \"many\"", "line 5"),
            ("doors = 3", "doors = 3\ndoor = 4", "door"),
            ("work_ms = 20", "work_ms = -1", "product.0.work_ms"),
            ("expiry_ms = 1500", "expiry_ms = 100", "product.0.expiry_ms"),
            ("\"inquiry-like\"", "\"referenced\"", "product.0.window_ms"),
            ("\"inquiry-like\"", "\"twice\"", "twice"),
            ("rate = 4", "rate = 0", "plan.0.rate"),
            ("rate = 4", "rate = 4\nceiling = 0.5", "plan.0.ceiling"),
            ("of_capacity = 0.5", "of_capacity = nan", "load.of_capacity"),
            ("length_s = 5", "length_s = 0", "length_s"),
            ("[load]", "[[fault]]\nkind = \"place-cut\"\nat_s = 1\nfor_s = 1\n[load]", "fault.0.kind"),
            ("[load]", "[[fault]]\nkind = \"slow\"\nat_s = 9\nfor_s = 1\n[load]", "fault.0.at_s"),
            ("[load]", "[[sweep]]\nkey = \"fleet.doors\"\nvalues = [2, 0]\n[load]", "sweep.0"),
            ("[load]", "[[sweep]]\nkey = \"product.7.value\"\nvalues = [2]\n[load]", "sweep.0"),
            (
                "[load]",
                "[trace]\nfile = \"t.csv\"\nmapping = {product = \"look\", columns = {time = \"t\", customer = \"c\"}}\n[load]",
                "trace.mapping.plan",
            ),
        ];
        for (from, to, word) in cases {
            let said = Experiment::parse(&SMALL.replacen(from, to, 1)).expect_err(to).to_string();
            assert!(said.contains(word), "{to}: {said}");
            assert!(!said.contains('\n'), "{said}");
        }
    }

    #[test]
    fn a_key_is_set_anew_wherever_it_stands() {
        let table: toml::Table = toml::from_str(SMALL).expect("a table");
        let set =
            [("load.of_capacity", &toml::Value::Float(0.9)), ("product.0.value", &toml::Value::Integer(3))];
        let anew = experiment_with(&table, &set).expect("good");
        assert_eq!((anew.load.of_capacity, anew.product[0].value), (0.9, 3.0));
        let set = [("meter", &toml::Value::Integer(3))];
        assert!(experiment_with(&table, &set).is_err());
    }
}
