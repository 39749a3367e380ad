//! What a door is told at its start, whichever form it came in: the bench's flat options or the
//! nested JSON of a deployment. This is the only place that knows the names the settings use.

mod check;

pub use check::{Refused, check};

use serde_json::Value;
use std::collections::HashMap;
use std::error::Error;
use std::fmt;
use std::str::FromStr;
use vanewharf_policy::interface::{
    Allowances, ColdFigures, DoorId, Plan, PlanId, Product, ProductId, Repeat, Start, Tenths,
};

/// The option that cannot be read, and what stood there.
#[derive(Debug)]
pub struct Unreadable {
    pub option: String,
    pub value: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "option {} cannot be read: '{}'", self.option, self.value)
    }
}

impl Error for Unreadable {}

/// Each option under its dotted path.
#[derive(Default)]
pub struct Options {
    values: HashMap<String, String>,
}

impl Options {
    pub fn flat<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Options {
        let owned = |(path, value): (&str, &str)| (path.to_owned(), value.to_owned());
        Options { values: pairs.into_iter().map(owned).collect() }
    }

    pub fn nested(value: &Value) -> Options {
        let mut options = Options::default();
        options.flatten(String::new(), value);
        options
    }

    /// These, and of the other's those that are not stated here; what both state must be the same.
    pub fn beside(mut self, other: Options) -> Result<Options, Refused> {
        for (key, value) in other.values {
            match self.values.get(&key) {
                Some(stated) if *stated != value => {
                    let why = format!("'{value}' in one place, '{stated}' in the other");
                    return Err(Refused { key, why });
                }
                _ => drop(self.values.insert(key, value)),
            }
        }
        Ok(self)
    }

    fn sorted(&self) -> Vec<(&str, &str)> {
        let mut all: Vec<_> = self.values.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
        all.sort_unstable();
        all
    }

    /// One that must be stated.
    pub fn whole<T: FromStr>(&self, option: &str) -> Result<T, Unreadable> {
        let missing = || Unreadable { option: option.to_owned(), value: String::new() };
        self.read(option)?.ok_or_else(missing)
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match value {
            Value::Object(fields) => {
                for (name, value) in fields {
                    self.flatten(below(name), value);
                }
            }
            Value::Array(items) => {
                self.values.insert(below("count"), items.len().to_string());
                for (item, value) in items.iter().enumerate() {
                    self.flatten(below(&item.to_string()), value);
                }
            }
            Value::Null => {}
            Value::String(text) => drop(self.values.insert(path, text.clone())),
            plain => drop(self.values.insert(path, plain.to_string())),
        }
    }

    fn read<T: FromStr>(&self, option: &str) -> Result<Option<T>, Unreadable> {
        let Some(value) = self.values.get(option) else {
            return Ok(None);
        };
        let unreadable = |_| Unreadable { option: option.to_owned(), value: value.clone() };
        value.parse().map(Some).map_err(unreadable)
    }

    fn number(&self, option: &str) -> Result<f64, Unreadable> {
        let number: f64 = self.read(option)?.unwrap_or_default();
        if number.is_finite() {
            return Ok(number);
        }
        Err(Unreadable { option: option.to_owned(), value: number.to_string() })
    }

    fn count(&self, option: &str) -> Result<usize, Unreadable> {
        Ok(self.read(option)?.unwrap_or_default())
    }

    fn flag(&self, option: &str) -> Result<bool, Unreadable> {
        Ok(self.read(option)?.unwrap_or_default())
    }

    fn time(&self, option: &str) -> Result<Tenths, Unreadable> {
        Ok(tenths(self.number(option)?))
    }

    fn text(&self, option: &str) -> &str {
        self.values.get(option).map(String::as_str).unwrap_or_default()
    }
}

/// Rounded down, so that an expiry is never taken for later than it is.
pub fn tenths(milliseconds: f64) -> Tenths {
    Tenths((milliseconds * 10.0 + 1e-6).floor() as i64)
}

/// The names that the settings give to numbered things.
#[derive(Debug, Default)]
pub struct Named {
    pub plans: HashMap<String, PlanId>,
    pub products: HashMap<String, ProductId>,
    /// Where this door stands.
    pub place: String,
}

pub fn start(options: &Options, seed: u64, at: Tenths) -> Result<(Start, Named), Unreadable> {
    let mut named = Named { place: options.text("locality").to_owned(), ..Named::default() };
    let mut products = Vec::new();
    for item in 0..options.count("classes.count")? {
        let key = |name: &str| format!("classes.{item}.{name}");
        let window = options.time(&key("window"))?;
        let repeat = match options.text(&key("idempotency")) {
            "retryable" => Repeat::InquiryLike,
            // Where only some backends drop repeats, none is sent.
            "dedup" if options.text(&key("group")) == "all" => Repeat::Referenced { window },
            _ => Repeat::OnceOnly,
        };
        named.products.insert(options.text(&key("name")).to_owned(), ProductId(item));
        products.push(Product {
            sla_time: options.time(&key("aim"))?,
            value: options.number(&key("gain"))?,
            repeat,
        });
    }
    let mut plans = Vec::new();
    for item in 0..options.count("tiers_of_service.count")? {
        let key = |name: &str| format!("tiers_of_service.{item}.{name}");
        named.plans.insert(options.text(&key("name")).to_owned(), PlanId(item));
        plans.push(Plan {
            rate: options.number(&key("rate"))?,
            burst: options.number(&key("store_size"))?,
            value_factor: options.number(&key("value_factor"))?,
            beyond_worth: options.number(&key("excess_worth"))?,
            beyond_cost: options.number(&key("excess_cost"))?,
            ceiling_rate: options.number(&key("ceiling_rate"))?,
            ceiling_depth: options.number(&key("never_over_depth"))?,
        });
    }
    let start = Start {
        seed,
        at,
        me: DoorId(options.read("me")?.unwrap_or_default()),
        doors: options.read("balancers")?.unwrap_or(1).max(1),
        products,
        plans,
        allowances: Allowances {
            cancel: options.flag("allowed.cancel")?,
            second_copies: options.flag("allowed.second_copies")?,
            retry_after: options.flag("allowed.retry_after")?,
            max_retry_after: options.time("allowed.max_retry_after")?,
            most_submissions: options.count("allowed.most_tries")?,
        },
        cold: ColdFigures {
            from: options.number("rules.cold_from")?,
            ramp_time: options.time("rules.ramp_time")?,
        },
        kept: kept(options.time("allowed.conn_idle")?),
        meter_period: options.time("family_info.use_period")?,
        counter: options
            .flag("family_info.shared_counter")?
            .then_some(options.time("family_info.count_wait")?),
        peers: options.flag("allowed.peer_messages")?,
        most_cost: options.number("family_info.most_units")?,
    };
    Ok((start, named))
}

/// Where lists come only when asked for: how often a door must ask.
pub fn ask_within(options: &Options) -> Result<Option<Tenths>, Unreadable> {
    let on_request = options.text("membership_mode") == "on_request";
    Ok(on_request.then_some(options.time("rules.ask_within")?))
}

/// How many words from other doors a door takes in, a second.
pub fn peer_in_per_s(options: &Options) -> Result<f64, Unreadable> {
    options.number("family_info.peer_in_per_s")
}

/// What a request may say at most. What was never told is the type's own most, so anything goes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bounds {
    pub cost: f64,
    pub doors: u32,
    /// The longest expiry of each product, rounded up to what a request can say.
    pub expiries: Vec<Tenths>,
}

pub fn bounds(options: &Options) -> Result<Bounds, Unreadable> {
    let products = 0..options.count("classes.count")?;
    let expiry = |item| options.number(&format!("classes.{item}.hard_limit"));
    let bound = |expiry: f64| if expiry > 0.0 { tenths(expiry.ceil()) } else { Tenths(i64::MAX) };
    let expiries = products.map(|item| expiry(item).map(bound)).collect::<Result<_, _>>()?;
    let cost = Some(options.number("family_info.most_units")?).filter(|&cost| cost > 0.0);
    let doors = options.read("balancers")?.filter(|&doors| doors > 0);
    Ok(Bounds { cost: cost.unwrap_or(f64::MAX), doors: doors.unwrap_or(u32::MAX), expiries })
}

/// How connections to backends are kept and opened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionTimeouts {
    /// A backend closes a connection that has stood idle so long, at the latest. Zero: never told.
    pub idle: Tenths,
    /// A connection not up by then never comes up. Zero: never told.
    pub dial: Tenths,
}

/// For how long an idle connection is kept, where backends close theirs after `closes` at the latest. Most of
/// it is kept clear of, as a submission that crosses the close may have run, and a new connection costs
/// little.
pub fn kept(closes: Tenths) -> Tenths {
    if closes.0 > 0 { closes.times(0.25) } else { Tenths::SECOND }
}

pub fn connection_timeouts(options: &Options) -> Result<ConnectionTimeouts, Unreadable> {
    Ok(ConnectionTimeouts {
        idle: options.time("allowed.conn_idle")?,
        dial: options.time("allowed.dial_timeout")?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn flat_and_nested_tell_the_same() {
        let nested = json!({
            "balancers": 3,
            "family_info": {"most_units": 8},
            "allowed": {"cancel": true, "most_tries": 3, "conn_idle": 15000.0, "dial_timeout": 250.0},
            "classes": [{"name": "look", "aim": 400.0, "gain": 1.5, "idempotency": "dedup", "group": "all",
                "window": 5000.25, "hard_limit": 1500.4}],
            "tiers_of_service": [{"name": "basic", "rate": 2, "store_size": 16.0}, {"name": "gold"}],
            "odd": null
        });
        let flat = "balancers=3 allowed.cancel=true allowed.most_tries=3 allowed.conn_idle=15000.0 \
            allowed.dial_timeout=250.0 classes.count=1 classes.0.name=look classes.0.aim=400.0 \
            classes.0.gain=1.5 classes.0.idempotency=dedup classes.0.group=all classes.0.window=5000.25 \
            classes.0.hard_limit=1500.4 family_info.most_units=8 \
            tiers_of_service.count=2 tiers_of_service.0.name=basic tiers_of_service.0.rate=2 \
            tiers_of_service.0.store_size=16 tiers_of_service.1.name=gold";
        let flat = Options::flat(flat.split(' ').filter_map(|pair| pair.split_once('=')));
        let nested = Options::nested(&nested);
        let (one, names) = start(&flat, 7, Tenths(5)).expect("readable");
        let (other, _) = start(&nested, 7, Tenths(5)).expect("readable");
        assert_eq!(one, other);
        assert_eq!(names.plans["gold"], PlanId(1));
        let repeat = Repeat::Referenced { window: Tenths(50_002) };
        assert_eq!((one.products[0].repeat, one.plans[0].rate), (repeat, 2.0));
        let told = ConnectionTimeouts { idle: Tenths(150_000), dial: Tenths(2_500) };
        assert_eq!(connection_timeouts(&nested).expect("readable"), told);
        assert_eq!(connection_timeouts(&flat).expect("readable"), told);
        let told = Bounds { cost: 8.0, doors: 3, expiries: vec![Tenths(15_010)] };
        assert_eq!(bounds(&nested).expect("readable"), told);
        assert_eq!(bounds(&flat).expect("readable"), told);
    }

    #[test]
    fn what_cannot_be_read_is_named() {
        let odd = Options::nested(&json!({"classes": [{"gain": "much"}]}));
        let fault = start(&odd, 7, Tenths(5)).expect_err("no number");
        assert_eq!(fault.to_string(), "option classes.0.gain cannot be read: 'much'");
        assert!(start(&Options::flat([("rules.cold_from", "inf")]), 7, Tenths(5)).is_err());
    }
}
