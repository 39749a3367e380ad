//! What a run or a sweep leaves behind: a summary in Markdown and figures in CSV. Nothing in them tells the time of day or
//! the machine, so the same seed leaves the same bytes; their words are those of the users' pages and stay.

use crate::experiment::Experiment;
use crate::run::Outcome;
use crate::score::RunRecord;
use crate::sweep::Point;
use hdrhistogram::Histogram;
use std::fmt::Write;

const QUANTILES: [f64; 6] = [0.5, 0.9, 0.99, 0.999, 0.9999, 1.0];
/// Ticks in a millisecond.
const TICKS_PER_MS: f64 = 10.0;
/// Breaches of rules that a summary lists.
const LISTED_VIOLATIONS: usize = 5;

/// Writes a line; a string takes all that is written to it.
macro_rules! line {
    ($text:expr, $($arguments:tt)*) => {
        writeln!($text, $($arguments)*).expect("a string takes all that is written to it")
    };
}

/// One line a second, of the run with the project's decisions.
pub fn seconds_csv(outcome: &Outcome) -> String {
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
            second.offered,
            second.served,
            second.inside_units,
            second.excess_units,
            second.worked_ms,
            second.capacity_ms,
            second.nearest_hard_limit,
            second.nearest_overload
        );
    }
    text
}

/// Latencies and queue lengths at backends, for each policy.
pub fn quantiles_csv(outcome: &Outcome) -> String {
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

fn at(histogram: &Histogram<u64>, quantile: f64, unit: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / unit
}

fn latency_ms(record: &RunRecord, quantile: f64) -> f64 {
    at(&record.latency, quantile, TICKS_PER_MS)
}

fn queue_length(record: &RunRecord, quantile: f64) -> f64 {
    at(&record.queue_lengths, quantile, 1.0)
}

/// The records of a run, by the names of their policies in files.
pub(crate) fn policies(outcome: &Outcome) -> [(&'static str, &RunRecord); 3] {
    [("module", &outcome.balancer), ("plainest", &outcome.round_robin), ("seeing", &outcome.omniscient)]
}

/// A summary of an experiment's runs, in Markdown.
pub fn summary(experiment: &Experiment, outcomes: &[Outcome]) -> String {
    let fleet = &experiment.fleet;
    let mut text = format!(
        "# {}\n\n{} doors, {} backends of {} cores, {} s; load {} of capacity inside quotas.\n\n",
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
            outcome.balancer.g,
            outcome.floor,
            outcome.top,
            rules(&outcome.balancer)
        );
    }
    let mean = outcomes.iter().map(|outcome| outcome.score).sum::<f64>() / outcomes.len().max(1) as f64;
    line!(text, "\nMean score {mean:.3}. The score is (G - floor) / (top - floor); 0 where a rule broke.");
    for outcome in outcomes {
        run_summary(experiment, outcome, &mut text);
    }
    text
}

fn run_summary(experiment: &Experiment, outcome: &Outcome, text: &mut String) {
    let Outcome { seed, customers, txns_at_capacity, balancer, .. } = outcome;
    line!(
        text,
        "\n## Seed {seed}\n\n{customers} customers, {} first tries, {txns_at_capacity:.0} txns a second at capacity.\n\n\
         | | module | plainest | seeing |\n| --- | --- | --- | --- |",
        balancer.first_tries
    );
    value_rows(experiment, outcome, text);
    count_rows(outcome, text);
    for violation in balancer.violations.iter().take(LISTED_VIOLATIONS) {
        line!(text, "\n- {:.3} s, {}: {}", violation.at.seconds(), violation.rule, violation.what);
    }
}

/// One row of a run's table: a figure of each policy.
fn row(outcome: &Outcome, text: &mut String, name: &str, figure: impl Fn(&RunRecord) -> String) {
    let [balancer, round_robin, omniscient] = policies(outcome).map(|(_, record)| figure(record));
    line!(text, "| {name} | {balancer} | {round_robin} | {omniscient} |");
}

fn value_rows(experiment: &Experiment, outcome: &Outcome, text: &mut String) {
    let three = |value: f64| format!("{value:.3}");
    row(outcome, text, "G", |record| three(record.g));
    row(outcome, text, "whole run", |record| three(record.complete_run));
    row(outcome, text, "worst 10 s", |record| three(record.worst_window));
    for (index, product) in experiment.product.iter().enumerate() {
        row(outcome, text, &format!("product {}", product.name), |record| three(record.products[index]));
    }
    for (index, plan) in experiment.plan.iter().enumerate() {
        row(outcome, text, &format!("plan {}, inside", plan.name), |record| three(record.plans[index]));
    }
    for price in outcome.balancer.prices.keys() {
        row(outcome, text, &format!("price: {price}"), |record| three(record.prices[price]));
    }
}

fn count_rows(outcome: &Outcome, text: &mut String) {
    let count = |total: f64| format!("{total:.0}");
    row(outcome, text, "settled in time", |record| count(record.total(|second| second.in_time as f64)));
    row(outcome, text, "settled late", |record| count(record.total(|second| second.late as f64)));
    row(outcome, text, "declined", |record| count(record.total(|second| second.rejected as f64)));
    row(outcome, text, "failed", |record| count(record.total(|second| second.failed as f64)));
    row(outcome, text, "units beyond quotas", |record| count(record.total(|second| second.excess_units)));
    row(outcome, text, "answer ms, median", |record| format!("{:.1}", latency_ms(record, 0.5)));
    row(outcome, text, "answer ms, 99%", |record| format!("{:.1}", latency_ms(record, 0.99)));
    row(outcome, text, "line at a backend, 99%", |record| count(queue_length(record, 0.99)));
    row(outcome, text, "submissions", |record| record.usage.attempts.to_string());
    row(outcome, text, "new connections", |record| record.usage.handshakes.to_string());
    row(outcome, text, "counter calls", |record| record.usage.counter_calls.to_string());
    row(outcome, text, "words", |record| record.usage.peer_messages.to_string());
    row(outcome, text, "backends fallen", |record| record.usage.overloaded_backends.to_string());
    row(outcome, text, "rules", rules);
}

/// Which rules were broken, and how often.
fn rules(record: &RunRecord) -> String {
    let counts = record.violation_counts();
    if counts.is_empty() {
        return "kept".to_owned();
    }
    let each: Vec<_> = counts.iter().map(|(rule, count)| format!("{rule} broken {count}x")).collect();
    each.join(", ")
}

/// One line for each point and seed.
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
                outcome.balancer.g,
                outcome.floor,
                outcome.top
            );
        }
    }
    text
}

/// A summary of a sweep, in Markdown.
pub fn sweep_summary(experiment: &Experiment, keys: &[String], points: &[Point]) -> String {
    let mut text = format!("# {}, swept over {}\n\n", experiment.name, keys.join(" and "));
    let head = keys.iter().map(|key| format!("| {key} ")).collect::<String>();
    line!(text, "{head}| score | least | most | rules |");
    line!(text, "{}", "| --- ".repeat(keys.len() + 4) + "|");
    for point in points {
        let values = point.values.iter().map(|value| format!("| {value} ")).collect::<String>();
        let scores = point.outcomes.iter().map(|outcome| outcome.score);
        let (least, most) = (scores.clone().fold(f64::MAX, f64::min), scores.fold(f64::MIN, f64::max));
        let broken = point.outcomes.iter().find(|outcome| !outcome.balancer.violations.is_empty());
        let rules = broken.map_or("kept".to_owned(), |outcome| {
            format!("{} (seed {})", rules(&outcome.balancer), outcome.seed)
        });
        line!(text, "{values}| {:.3} | {least:.3} | {most:.3} | {rules} |", point.score());
    }
    text
}
