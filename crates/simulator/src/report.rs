//! Reports of runs and sweeps: summaries in Markdown and data in CSV. They contain neither the time of day nor properties
//! of the machine, so the same seed gives the same bytes. CSV columns and the names of policies and rules are part of the
//! report format and don't follow the names in the code.

use crate::experiment::Experiment;
use crate::random::TICKS_PER_MS;
use crate::run::RunOutcome;
use crate::score::RunRecord;
use crate::sweep::Point;
use hdrhistogram::Histogram;
use std::fmt::Write;

/// Quantiles that are written to CSV.
const QUANTILES: [f64; 6] = [0.5, 0.9, 0.99, 0.999, 0.9999, 1.0];
/// Maximum number of violations that a summary lists per run.
const LISTED_VIOLATIONS: usize = 5;

/// Appends a formatted line to a string.
macro_rules! line {
    ($text:expr, $($arguments:tt)*) => {
        writeln!($text, $($arguments)*).expect("writing to a string does not fail")
    };
}

/// Returns one CSV row for each second of the balancer's run.
pub fn seconds_csv(outcome: &RunOutcome) -> String {
    let mut text =
        "second,firsts,settled_in_time,settled_late,declined,failed,offered_worth,served_worth,units_inside,\
        units_beyond,worked_ms,capacity_ms,nearest_ceiling,nearest_fall\n"
            .to_owned();
    for (number, second) in outcome.balancer.seconds.iter().enumerate() {
        line!(
            text,
            "{number},{},{},{},{},{},{:.3},{:.3},{:.1},{:.1},{:.0},{:.0},{:.3},{:.3}",
            second.first_tries,
            second.in_time,
            second.late,
            second.rejected,
            second.failed,
            second.offered_value,
            second.served_value,
            second.within_quota_units,
            second.over_quota_units,
            second.worked_ms,
            second.capacity_ms,
            second.max_hard_limit_ratio,
            second.max_overload_ratio
        );
    }
    text
}

/// Returns quantiles of the latency and of the backends' queue length as CSV, for each policy.
pub fn quantiles_csv(outcome: &RunOutcome) -> String {
    let mut text = "policy,figure,quantile,value\n".to_owned();
    for (policy, record) in policies(outcome) {
        for quantile in QUANTILES {
            line!(text, "{policy},answer_ms,{quantile},{:.1}", latency_ms(record, quantile));
        }
        for quantile in QUANTILES {
            line!(text, "{policy},line_txns,{quantile},{:.1}", queue_length(record, quantile));
        }
    }
    text
}

fn quantile_value(histogram: &Histogram<u64>, quantile: f64, unit: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / unit
}

fn latency_ms(record: &RunRecord, quantile: f64) -> f64 {
    quantile_value(&record.latency, quantile, TICKS_PER_MS)
}

fn queue_length(record: &RunRecord, quantile: f64) -> f64 {
    quantile_value(&record.queue_lengths, quantile, 1.0)
}

/// Returns the records of a run with the names of their policies in reports.
pub(crate) fn policies(outcome: &RunOutcome) -> [(&'static str, &RunRecord); 3] {
    [("module", &outcome.balancer), ("plainest", &outcome.round_robin), ("seeing", &outcome.omniscient)]
}

/// Returns a summary of an experiment's runs in Markdown.
pub fn summary(experiment: &Experiment, outcomes: &[RunOutcome]) -> String {
    let fleet = &experiment.fleet;
    let mut text = format!(
        "# {}\n\n{} gateways, {} backends with {} cores each, {} s; load inside quotas {} of capacity.\n\n",
        experiment.name,
        fleet.doors,
        fleet.backends,
        fleet.cores,
        experiment.length_s,
        experiment.load.of_capacity
    );
    text += "| seed | score | module G | floor | top | rules |\n| --- | --- | --- | --- | --- | --- |\n";
    for outcome in outcomes {
        line!(
            text,
            "| {} | {:.3} | {:.3} | {:.3} | {:.3} | {} |",
            outcome.seed,
            outcome.score,
            outcome.balancer.net_value,
            outcome.floor,
            outcome.top,
            rules(&outcome.balancer)
        );
    }
    let mean = outcomes.iter().map(|outcome| outcome.score).sum::<f64>() / outcomes.len().max(1) as f64;
    line!(
        text,
        "\nMean score {mean:.3}. G is the served fraction of the offered value, less prices. The score is\n\
         (G - floor) / (top - floor), or 0 if a rule was violated; floor and top are the G of two baselines.\n\
         `module` is the balancer, `plainest` the round-robin baseline, `seeing` the omniscient baseline."
    );
    for outcome in outcomes {
        run_summary(experiment, outcome, &mut text);
    }
    text
}

fn run_summary(experiment: &Experiment, outcome: &RunOutcome, text: &mut String) {
    let RunOutcome { seed, customers, requests_per_s_at_capacity, balancer, .. } = outcome;
    line!(
        text,
        "\n## Seed {seed}\n\n{customers} customers, {} first tries, {requests_per_s_at_capacity:.0} requests per second at capacity.\n\n\
         | | module | plainest | seeing |\n| --- | --- | --- | --- |",
        balancer.first_tries
    );
    value_rows(experiment, outcome, text);
    count_rows(outcome, text);
    for violation in balancer.violations.iter().take(LISTED_VIOLATIONS) {
        line!(text, "\n- {:.3} s, {}: {}", violation.at.seconds(), violation.rule, violation.description);
    }
}

/// Appends a row to a run's table, with a value for each policy.
fn row(outcome: &RunOutcome, text: &mut String, name: &str, value: impl Fn(&RunRecord) -> String) {
    let [balancer, round_robin, omniscient] = policies(outcome).map(|(_, record)| value(record));
    line!(text, "| {name} | {balancer} | {round_robin} | {omniscient} |");
}

fn value_rows(experiment: &Experiment, outcome: &RunOutcome, text: &mut String) {
    let three = |value: f64| format!("{value:.3}");
    row(outcome, text, "G", |record| three(record.net_value));
    row(outcome, text, "complete run", |record| three(record.complete_run));
    row(outcome, text, "worst 10 s", |record| three(record.worst_window));
    for (index, product) in experiment.product.iter().enumerate() {
        row(outcome, text, &format!("product {}", product.name), |record| three(record.products[index]));
    }
    for (index, plan) in experiment.plan.iter().enumerate() {
        row(outcome, text, &format!("plan {}, inside quotas", plan.name), |record| {
            three(record.plans[index])
        });
    }
    for price in outcome.balancer.prices.keys() {
        row(outcome, text, &format!("price: {price}"), |record| three(record.prices[price]));
    }
}

fn count_rows(outcome: &RunOutcome, text: &mut String) {
    let count = |total: f64| format!("{total:.0}");
    row(outcome, text, "answered in time", |record| count(record.total(|second| second.in_time as f64)));
    row(outcome, text, "answered late", |record| count(record.total(|second| second.late as f64)));
    row(outcome, text, "declined", |record| count(record.total(|second| second.rejected as f64)));
    row(outcome, text, "failed", |record| count(record.total(|second| second.failed as f64)));
    row(outcome, text, "units beyond quotas", |record| count(record.total(|second| second.over_quota_units)));
    row(outcome, text, "latency ms, median", |record| format!("{:.1}", latency_ms(record, 0.5)));
    row(outcome, text, "latency ms, 99%", |record| format!("{:.1}", latency_ms(record, 0.99)));
    row(outcome, text, "requests at a backend, 99%", |record| count(queue_length(record, 0.99)));
    row(outcome, text, "submissions", |record| record.usage.attempts.to_string());
    row(outcome, text, "new connections", |record| record.usage.handshakes.to_string());
    row(outcome, text, "counter calls", |record| record.usage.counter_calls.to_string());
    row(outcome, text, "words", |record| record.usage.peer_messages.to_string());
    row(outcome, text, "backends overloaded in warm-up", |record| {
        record.usage.overloaded_backends.to_string()
    });
    row(outcome, text, "rules", rules);
}

/// Describes which rules were violated and how often.
fn rules(record: &RunRecord) -> String {
    let counts = record.violation_counts();
    if counts.is_empty() {
        return "kept".to_owned();
    }
    let each: Vec<_> = counts.iter().map(|(rule, count)| format!("{rule} broken {count}x")).collect();
    each.join(", ")
}

/// Returns one CSV row for each point and seed of a sweep.
pub fn sweep_csv(keys: &[String], points: &[Point]) -> String {
    let mut text = format!("{},seed,score,module_g,floor,top,broken\n", keys.join(","));
    for point in points {
        let values: Vec<_> = point.values.iter().map(toml::Value::to_string).collect();
        for outcome in &point.outcomes {
            let kept = outcome.balancer.violations.is_empty();
            let broken = if kept { String::new() } else { rules(&outcome.balancer).replace(',', ";") };
            line!(
                text,
                "{},{},{:.4},{:.4},{:.4},{:.4},{broken}",
                values.join(","),
                outcome.seed,
                outcome.score,
                outcome.balancer.net_value,
                outcome.floor,
                outcome.top
            );
        }
    }
    text
}

/// Returns a summary of a sweep in Markdown.
pub fn sweep_summary(experiment: &Experiment, keys: &[String], points: &[Point]) -> String {
    let mut text = format!("# {}, swept over {}\n\n", experiment.name, keys.join(" and "));
    let head = keys.iter().map(|key| format!("| {key} ")).collect::<String>();
    line!(text, "{head}| score | min | max | rules |");
    line!(text, "{}", "| --- ".repeat(keys.len() + 4) + "|");
    for point in points {
        let values = point.values.iter().map(|value| format!("| {value} ")).collect::<String>();
        let scores = point.outcomes.iter().map(|outcome| outcome.score);
        let (min, max) = (scores.clone().fold(f64::MAX, f64::min), scores.fold(f64::MIN, f64::max));
        let broken = point.outcomes.iter().find(|outcome| !outcome.balancer.violations.is_empty());
        let rules = broken.map_or("kept".to_owned(), |outcome| {
            format!("{} (seed {})", rules(&outcome.balancer), outcome.seed)
        });
        line!(text, "{values}| {:.3} | {min:.3} | {max:.3} | {rules} |", point.score());
    }
    text
}
