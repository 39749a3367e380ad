//! What the policy starts from, and the names that the settings give to what the policy numbers.

use crate::limits::idle_reuse_limit;
use crate::options::{Options, UnreadableOption};
use std::collections::HashMap;
use vanewharf_policy::interface::{
    Allowances, ColdFigures, DoorId, Plan, PlanId, Product, ProductId, Repeat, Start, Tenths,
};

/// The names that the settings give to what the policy numbers.
#[derive(Debug, Default)]
pub struct SettingNames {
    /// The plan of each name.
    pub plans: HashMap<String, PlanId>,
    /// The product of each name.
    pub products: HashMap<String, ProductId>,
    /// Where this gateway stands; backends with the same locality are near.
    pub locality: String,
}

/// Reads what the policy of one gateway starts from at `at`.
///
/// # Errors
///
/// Where an option cannot be read.
pub fn policy_start(
    options: &Options,
    seed: u64,
    at: Tenths,
) -> Result<(Start, SettingNames), UnreadableOption> {
    let mut names = SettingNames { locality: options.text("locality").to_owned(), ..SettingNames::default() };
    let products = products(options, &mut names)?;
    let plans = plans(options, &mut names)?;
    let start = Start {
        seed,
        at,
        me: DoorId(options.optional("me")?.unwrap_or_default()),
        doors: options.optional("balancers")?.unwrap_or(1).max(1),
        products,
        plans,
        allowances: allowances(options)?,
        cold: ColdFigures {
            from: options.number("rules.cold_from")?,
            ramp_time: options.time("rules.ramp_time")?,
        },
        kept: idle_reuse_limit(options.time("allowed.conn_idle")?),
        meter_period: options.time("family_info.use_period")?,
        counter: options
            .flag("family_info.shared_counter")?
            .then_some(options.time("family_info.count_wait")?),
        peers: options.flag("allowed.peer_messages")?,
        most_cost: options.number("family_info.most_units")?,
    };
    Ok((start, names))
}

fn products(options: &Options, names: &mut SettingNames) -> Result<Vec<Product>, UnreadableOption> {
    let mut products = Vec::new();
    for item in 0..options.count("classes.count")? {
        let key = |name: &str| format!("classes.{item}.{name}");
        let window = options.time(&key("window"))?;
        let repeat = match options.text(&key("idempotency")) {
            "retryable" => Repeat::InquiryLike,
            // Where only some of the backends detect repeats, none is sent.
            "dedup" if options.text(&key("group")) == "all" => Repeat::Referenced { window },
            _ => Repeat::OnceOnly,
        };
        names.products.insert(options.text(&key("name")).to_owned(), ProductId(item));
        products.push(Product {
            sla_time: options.time(&key("aim"))?,
            value: options.number(&key("gain"))?,
            repeat,
        });
    }
    Ok(products)
}

fn plans(options: &Options, names: &mut SettingNames) -> Result<Vec<Plan>, UnreadableOption> {
    let mut plans = Vec::new();
    for item in 0..options.count("tiers_of_service.count")? {
        let key = |name: &str| format!("tiers_of_service.{item}.{name}");
        names.plans.insert(options.text(&key("name")).to_owned(), PlanId(item));
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
    Ok(plans)
}

fn allowances(options: &Options) -> Result<Allowances, UnreadableOption> {
    Ok(Allowances {
        cancel: options.flag("allowed.cancel")?,
        second_copies: options.flag("allowed.second_copies")?,
        retry_after: options.flag("allowed.retry_after")?,
        max_retry_after: options.time("allowed.max_retry_after")?,
        most_submissions: options.count("allowed.most_tries")?,
    })
}
