//! What a door is told at its start, from the options of the wire.

use crate::wire::{Line, Malformed, tenths};
use std::collections::HashMap;
use std::str::FromStr;
use vanewharf::interface::{Allowances, Among, ColdFigures, Plan, Product, Repeat, Start, Tenths};

/// The names that a door's settings give to numbered things.
#[derive(Default)]
pub struct Told {
    pub plans: HashMap<String, usize>,
    pub products: HashMap<String, usize>,
}

struct Options<'a> {
    line: &'a Line<'a>,
    pairs: HashMap<&'a str, &'a str>,
}

impl Options<'_> {
    fn read<T: FromStr>(&self, key: &str) -> Result<Option<T>, Malformed> {
        let Some(value) = self.pairs.get(key) else {
            return Ok(None);
        };
        let fault = || self.line.fault(format!("option {key} cannot be read: '{value}'"));
        value.parse().map(Some).map_err(|_| fault())
    }

    fn number(&self, key: &str) -> Result<f64, Malformed> {
        let number: f64 = self.read(key)?.unwrap_or_default();
        if number.is_finite() {
            return Ok(number);
        }
        Err(self.line.fault(format!("option {key} cannot be read: '{number}'")))
    }

    fn count(&self, key: &str) -> Result<usize, Malformed> {
        Ok(self.read(key)?.unwrap_or_default())
    }

    fn flag(&self, key: &str) -> Result<bool, Malformed> {
        Ok(self.read(key)?.unwrap_or_default())
    }

    fn time(&self, key: &str) -> Result<Tenths, Malformed> {
        Ok(tenths(self.number(key)?))
    }

    fn text(&self, key: &str) -> &str {
        self.pairs.get(key).copied().unwrap_or_default()
    }
}

pub fn read(line: &Line<'_>, at: Tenths) -> Result<(Start, Told), Malformed> {
    let options = Options { line, pairs: line.pairs().iter().copied().collect() };
    let mut told = Told::default();
    let mut products = Vec::new();
    for item in 0..options.count("classes.count")? {
        let key = |name: &str| format!("classes.{item}.{name}");
        let window = options.time(&key("window"))?;
        let repeat = match options.text(&key("idempotency")) {
            "retryable" => Repeat::InquiryLike,
            "dedup" => {
                let among = match options.text(&key("group")) {
                    "all" => Among::All,
                    "zone" => Among::Place,
                    _ => Among::Group,
                };
                Repeat::Referenced { among, window }
            }
            _ => Repeat::OnceOnly,
        };
        told.products.insert(options.text(&key("name")).to_owned(), item);
        products.push(Product {
            sla_time: options.time(&key("aim"))?,
            value: options.number(&key("gain"))?,
            repeat,
        });
    }
    let mut plans = Vec::new();
    for item in 0..options.count("tiers_of_service.count")? {
        let key = |name: &str| format!("tiers_of_service.{item}.{name}");
        told.plans.insert(options.text(&key("name")).to_owned(), item);
        plans.push(Plan {
            rate: options.number(&key("rate"))?,
            burst: options.number(&key("store_size"))?,
            open_at_once: options.number(&key("at_once"))?,
            value_factor: options.number(&key("value_factor"))?,
            beyond_worth: options.number(&key("excess_worth"))?,
            beyond_cost: options.number(&key("excess_cost"))?,
            ceiling_rate: options.number(&key("ceiling_rate"))?,
            ceiling_depth: options.number(&key("never_over_depth"))?,
        });
    }
    let on_request = options.text("membership_mode") == "on_request";
    let start = Start {
        seed: line.whole("init_seed")?,
        at,
        doors: options.read("balancers")?.unwrap_or(1),
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
        meter_period: options.time("family_info.use_period")?,
        ask_within: on_request.then_some(options.time("rules.ask_within")?),
    };
    Ok((start, told))
}
