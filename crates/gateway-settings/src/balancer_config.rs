//! Conversion of settings into the configuration of the balancing policy, which refers to plans and products by number.

use crate::limits::idle_reuse_limit;
use crate::options::{Options, UnreadableOption};
use std::collections::HashMap;
use vanewharf_policy::interface::{
    AllowedActions, BalancerConfig, GatewayId, Idempotency, Plan, PlanId, Product, ProductId, Ticks, WarmUp,
};

/// Maps the names in the settings to the identifiers that the policy uses.
#[derive(Debug, Default)]
pub struct PolicyNames {
    /// Plan ids by name.
    pub plans: HashMap<String, PlanId>,
    /// Product ids by name.
    pub products: HashMap<String, ProductId>,
    /// The locality of this gateway. Backends with the same locality are near.
    pub locality: String,
}

/// Converts the settings into the policy configuration of one gateway, which starts at `started_at`.
///
/// # Errors
///
/// Returns the first setting that cannot be parsed.
pub fn balancer_config(
    options: &Options,
    seed: u64,
    started_at: Ticks,
) -> Result<(BalancerConfig, PolicyNames), UnreadableOption> {
    let mut names = PolicyNames { locality: options.text("locality").to_owned(), ..PolicyNames::default() };
    let products = products(options, &mut names)?;
    let plans = plans(options, &mut names)?;
    let config = BalancerConfig {
        seed,
        started_at,
        gateway: GatewayId(options.optional("me")?.unwrap_or_default()),
        gateway_count: options.optional("balancers")?.unwrap_or(1).max(1),
        products,
        plans,
        allowed: allowed_actions(options)?,
        warm_up: WarmUp {
            initial_capacity: options.number("rules.cold_from")?,
            ramp_time: options.duration("rules.ramp_time")?,
        },
        idle_timeout: idle_reuse_limit(options.duration("allowed.conn_idle")?),
        meter_period: options.duration("family_info.use_period")?,
        counter_timeout: options
            .flag("family_info.shared_counter")?
            .then_some(options.duration("family_info.count_wait")?),
        peer_messages: options.flag("allowed.peer_messages")?,
        max_cost: options.number("family_info.most_units")?,
    };
    Ok((config, names))
}

fn products(options: &Options, names: &mut PolicyNames) -> Result<Vec<Product>, UnreadableOption> {
    let mut products = Vec::new();
    for item in 0..options.count("classes.count")? {
        let key = |name: &str| format!("classes.{item}.{name}");
        let window = options.duration(&key("window"))?;
        let idempotency = match options.text(&key("idempotency")) {
            "retryable" => Idempotency::Idempotent,
            // Requests are retried only if all backends deduplicate them.
            "dedup" if options.text(&key("group")) == "all" => Idempotency::Deduplicated { window },
            _ => Idempotency::NonIdempotent,
        };
        names.products.insert(options.text(&key("name")).to_owned(), ProductId(item));
        products.push(Product {
            sla_time: options.duration(&key("aim"))?,
            value: options.number(&key("gain"))?,
            idempotency,
        });
    }
    Ok(products)
}

fn plans(options: &Options, names: &mut PolicyNames) -> Result<Vec<Plan>, UnreadableOption> {
    let mut plans = Vec::new();
    for item in 0..options.count("tiers_of_service.count")? {
        let key = |name: &str| format!("tiers_of_service.{item}.{name}");
        names.plans.insert(options.text(&key("name")).to_owned(), PlanId(item));
        plans.push(Plan {
            rate: options.number(&key("rate"))?,
            burst: options.number(&key("store_size"))?,
            value_factor: options.number(&key("value_factor"))?,
            excess_value: options.number(&key("excess_worth"))?,
            excess_cost: options.number(&key("excess_cost"))?,
            hard_limit_rate: options.number(&key("ceiling_rate"))?,
            hard_limit_burst: options.number(&key("never_over_depth"))?,
        });
    }
    Ok(plans)
}

fn allowed_actions(options: &Options) -> Result<AllowedActions, UnreadableOption> {
    Ok(AllowedActions {
        cancel: options.flag("allowed.cancel")?,
        hedging: options.flag("allowed.second_copies")?,
        retry_after: options.flag("allowed.retry_after")?,
        max_retry_after: options.duration("allowed.max_retry_after")?,
        max_attempts: options.count("allowed.most_tries")?,
    })
}
