//! What a run or a sweep leaves behind: a summary in Markdown and figures in CSV. Nothing in them tells the
//! time of day or the machine, so the same seed leaves the same bytes.

use crate::experiment::Experiment;
use crate::run::Outcome;
use crate::score::Record;
use crate::sweep::Point;
use hdrhistogram::Histogram;
use std::fmt::Write;

const QUANTILES: [f64; 6] = [0.5, 0.9, 0.99, 0.999, 0.9999, 1.0];

/// One line a second, of the module's run.
pub fn seconds_csv(outcome: &Outcome) -> String {
    let mut text =
        "second,firsts,settled_in_time,settled_late,declined,failed,offered_worth,served_worth,units_inside,\
        units_beyond,worked_ms,capacity_ms,nearest_ceiling,nearest_fall\n"
            .to_owned();
    for (no, one) in outcome.module.seconds.iter().enumerate() {
        let _ = writeln!(
            text,
            "{no},{},{},{},{},{},{:.3},{:.3},{:.1},{:.1},{:.0},{:.0},{:.3},{:.3}",
            one.firsts,
            one.settled,
            one.late,
            one.declined,
            one.failed,
            one.offered,
            one.served,
            one.inside_units,
            one.beyond_units,
            one.worked_ms,
            one.capacity_ms,
            one.nearest_ceiling,
            one.nearest_fall
        );
    }
    text
}

/// Answer times and lines at the backends, for each policy.
pub fn quantiles_csv(outcome: &Outcome) -> String {
    let mut text = "policy,figure,quantile,value\n".to_owned();
    for (name, record) in policies(outcome) {
        for (figure, histogram, unit) in
            [("answer_ms", &record.latency, 10.0), ("line_txns", &record.lines, 1.0)]
        {
            for quantile in QUANTILES {
                let value = at(histogram, quantile, unit);
                let _ = writeln!(text, "{name},{figure},{quantile},{value:.1}");
            }
        }
    }
    text
}

fn at(histogram: &Histogram<u64>, quantile: f64, unit: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / unit
}

fn policies(outcome: &Outcome) -> [(&'static str, &Record); 3] {
    [("module", &outcome.module), ("plainest", &outcome.plainest), ("seeing", &outcome.seeing)]
}

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
    for one in outcomes {
        let _ = writeln!(
            text,
            "| {} | {:.3} | {:.3} | {:.3} | {:.3} | {} |",
            one.seed,
            one.score,
            one.module.g,
            one.floor,
            one.top,
            rules(&one.module)
        );
    }
    let mean = outcomes.iter().map(|one| one.score).sum::<f64>() / outcomes.len().max(1) as f64;
    let _ = writeln!(
        text,
        "\nMean score {mean:.3}. The score is (G - floor) / (top - floor); 0 where a rule broke."
    );
    for one in outcomes {
        let _ = write!(
            text,
            "\n## Seed {}\n\n{} customers, {} first tries, {:.0} txns a second at capacity.\n\n| | module | plainest | \
             seeing |\n| --- | --- | --- | --- |\n",
            one.seed, one.customers, one.module.firsts, one.txns_at_capacity
        );
        let mut row = |name: &str, of: &dyn Fn(&Record) -> String| {
            let [(_, module), (_, plainest), (_, seeing)] = policies(one);
            let _ = writeln!(text, "| {name} | {} | {} | {} |", of(module), of(plainest), of(seeing));
        };
        let three = |value: f64| format!("{value:.3}");
        row("G", &|record| three(record.g));
        row("whole run", &|record| three(record.whole));
        row("worst 10 s", &|record| three(record.worst_window));
        for (no, product) in experiment.product.iter().enumerate() {
            row(&format!("product {}", product.name), &|record| three(record.products[no]));
        }
        for (no, plan) in experiment.plan.iter().enumerate() {
            row(&format!("plan {}, inside", plan.name), &|record| three(record.plans[no]));
        }
        for price in one.module.prices.keys() {
            row(&format!("price: {price}"), &|record| three(record.prices[price]));
        }
        row("settled in time", &|record| format!("{:.0}", record.total(|second| second.settled as f64)));
        row("settled late", &|record| format!("{:.0}", record.total(|second| second.late as f64)));
        row("declined", &|record| format!("{:.0}", record.total(|second| second.declined as f64)));
        row("failed", &|record| format!("{:.0}", record.total(|second| second.failed as f64)));
        row("units beyond quotas", &|record| format!("{:.0}", record.total(|second| second.beyond_units)));
        row("answer ms, median", &|record| format!("{:.1}", at(&record.latency, 0.5, 10.0)));
        row("answer ms, 99%", &|record| format!("{:.1}", at(&record.latency, 0.99, 10.0)));
        row("line at a backend, 99%", &|record| format!("{:.0}", at(&record.lines, 0.99, 1.0)));
        row("submissions", &|record| record.bill.submissions.to_string());
        row("new connections", &|record| record.bill.handshakes.to_string());
        row("counter calls", &|record| record.bill.calls.to_string());
        row("words", &|record| record.bill.words.to_string());
        row("backends fallen", &|record| record.bill.fallen.to_string());
        row("rules", &rules);
        for broken in one.module.broken.iter().take(5) {
            let _ = writeln!(text, "\n- {:.3} s, {}: {}", broken.at.seconds(), broken.rule, broken.what);
        }
    }
    text
}

fn rules(record: &Record) -> String {
    let breaches = record.breaches();
    if breaches.is_empty() {
        return "kept".to_owned();
    }
    let each: Vec<_> = breaches.iter().map(|(rule, count)| format!("{rule} broken {count}x")).collect();
    each.join(", ")
}

/// One line for each point and seed.
pub fn sweep_csv(keys: &[String], points: &[Point]) -> String {
    let mut text = format!("{},seed,score,module_g,floor,top,broken\n", keys.join(","));
    for point in points {
        for one in &point.outcomes {
            let values: Vec<_> = point.values.iter().map(toml::Value::to_string).collect();
            let broken = if one.module.broken.is_empty() {
                String::new()
            } else {
                rules(&one.module).replace(',', ";")
            };
            let _ = writeln!(
                text,
                "{},{},{:.4},{:.4},{:.4},{:.4},{broken}",
                values.join(","),
                one.seed,
                one.score,
                one.module.g,
                one.floor,
                one.top
            );
        }
    }
    text
}

pub fn sweep_summary(experiment: &Experiment, keys: &[String], points: &[Point]) -> String {
    let mut text = format!("# {}, swept over {}\n\n", experiment.name, keys.join(" and "));
    let head = keys.iter().map(|key| format!("| {key} ")).collect::<String>();
    let _ = writeln!(text, "{head}| score | least | most | rules |");
    let _ = writeln!(text, "{}", "| --- ".repeat(keys.len() + 4) + "|");
    for point in points {
        let values = point.values.iter().map(|value| format!("| {value} ")).collect::<String>();
        let scores = point.outcomes.iter().map(|one| one.score);
        let (least, most) = (scores.clone().fold(f64::MAX, f64::min), scores.fold(f64::MIN, f64::max));
        let broken = point.outcomes.iter().find(|one| !one.module.broken.is_empty());
        let told =
            broken.map_or("kept".to_owned(), |one| format!("{} (seed {})", rules(&one.module), one.seed));
        let _ = writeln!(text, "{values}| {:.3} | {least:.3} | {most:.3} | {told} |", point.score());
    }
    text
}
