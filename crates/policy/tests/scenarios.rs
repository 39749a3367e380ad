//! Runs every file in `tests/scenarios/` against one gateway. `tests/scenarios/README.md` describes the notation.

use std::collections::HashMap;
use std::path::Path;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::*;

struct ScenarioRunner {
    gateway: Option<Balancer>,
    config: BalancerConfig,
    /// The names of the products, in the order of their ids.
    products: Vec<String>,
    /// The names of the plans, in the order of their ids.
    plans: Vec<String>,
    /// The names of backends and customers, in the order of their ids.
    names: Vec<String>,
    /// The request, attempt number and backend of each attempt in flight.
    in_flight: Vec<(u64, u32, u32)>,
    /// The number of attempts by request.
    attempts: HashMap<u64, u32>,
    last_series_request: u64,
}

fn parse_ms(text: &str) -> Ticks {
    Ticks((parse_number(text) * 10.0) as i64)
}

fn parse_number(text: &str) -> f64 {
    text.parse().unwrap_or_else(|_| panic!("'{text}' is not a number"))
}

fn position(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| panic!("unknown name '{name}'"))
}

/// Returns the value of the word `key=value`.
fn value_of<'a>(words: &[&'a str], key: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

fn number_of(words: &[&str], key: &str, default: f64) -> f64 {
    value_of(words, key).map_or(default, parse_number)
}

impl ScenarioRunner {
    fn new() -> ScenarioRunner {
        let allowed = AllowedActions {
            cancel: true,
            hedging: true,
            retry_after: true,
            max_retry_after: Ticks(10_000),
            max_attempts: 3,
        };
        let config = BalancerConfig {
            seed: 7,
            started_at: Ticks(0),
            gateway_count: 2,
            products: Vec::new(),
            plans: Vec::new(),
            allowed,
            warm_up: WarmUp { initial_capacity: 0.25, ramp_time: Ticks(100_000) },
            idle_timeout: Ticks(0),
            meter_period: Ticks(5_000),
            counter_timeout: None,
            peer_messages: false,
            max_cost: 8.0,
            gateway: GatewayId(0),
        };
        let (products, plans, names) = (Vec::new(), Vec::new(), Vec::new());
        let (in_flight, attempts) = (Vec::new(), HashMap::new());
        let last_series_request = 1000;
        ScenarioRunner {
            gateway: None,
            config,
            products,
            plans,
            names,
            in_flight,
            attempts,
            last_series_request,
        }
    }

    fn id(&mut self, name: &str) -> u32 {
        if !self.names.iter().any(|known| known == name) {
            self.names.push(name.to_owned());
        }
        position(&self.names, name) as u32
    }

    fn configure(&mut self, words: &[&str]) {
        match words[0] {
            "config" => {
                let flag = |key, default| value_of(words, key).map_or(default, |value| value == "yes");
                let allowed = &mut self.config.allowed;
                allowed.cancel = flag("cancel", allowed.cancel);
                allowed.hedging = flag("hedging", allowed.hedging);
                allowed.retry_after = flag("retry_after", allowed.retry_after);
                self.config.gateway_count =
                    number_of(words, "gateways", f64::from(self.config.gateway_count)) as u32;
            }
            "product" => {
                let idempotency = match *words.last().expect("a kind of idempotency") {
                    "idempotent" => Idempotency::Idempotent,
                    "non-idempotent" => Idempotency::NonIdempotent,
                    kind => {
                        let mut parts = kind.split(':').skip(1);
                        Idempotency::Deduplicated { window: parse_ms(parts.next().expect("a window")) }
                    }
                };
                let sla_time = parse_ms(value_of(words, "sla").expect("an SLA time"));
                self.config.products.push(Product {
                    sla_time,
                    value: number_of(words, "value", 1.0),
                    idempotency,
                });
                self.products.push(words[1].to_owned());
            }
            _ => {
                self.config.plans.push(Plan {
                    rate: number_of(words, "rate", 0.0),
                    burst: number_of(words, "burst", 0.0),
                    value_factor: 1.0,
                    excess_value: number_of(words, "excess_value", 0.0),
                    excess_cost: number_of(words, "excess_cost", 1.0),
                    hard_limit_rate: number_of(words, "hard_limit_rate", 0.0),
                    hard_limit_burst: number_of(words, "hard_limit_burst", 0.0),
                });
                self.plans.push(words[1].to_owned());
            }
        }
    }

    /// Parses `name[!drain|!gone][@started][~]`.
    fn parse_backend(&mut self, word: &str) -> BackendInfo {
        let (word, local) = word.strip_suffix('~').map_or((word, true), |word| (word, false));
        let (word, started_at) =
            word.split_once('@').map_or((word, None), |(name, at)| (name, Some(parse_ms(at))));
        let (name, status) = match word.split_once('!') {
            Some((name, "drain")) => (name, BackendStatus::Draining),
            Some((name, _)) => (name, BackendStatus::Gone),
            None => (word, BackendStatus::Ready),
        };
        BackendInfo { backend: BackendId(self.id(name)), status, capacity: 1.0, local, started_at }
    }

    fn event(&mut self, now: Ticks, words: &[&str]) -> Event {
        let txn = || TxnId(words[1].parse().expect("the number of a request"));
        match words[0] {
            "list" => Event::BackendList(words[1..].iter().map(|word| self.parse_backend(word)).collect()),
            "change" => {
                Event::BackendChanges(words[1..].iter().map(|word| self.parse_backend(word)).collect())
            }
            "request" => Event::RequestArrived(Arrival {
                txn: txn(),
                product: ProductId(position(&self.products, words[2])),
                claim: QuotaClaim {
                    plan: PlanId(position(&self.plans, words[3])),
                    customer: CustomerId(self.id(words[4]).into()),
                    subset_start: 0,
                    subset_size: number_of(words, "subset", 1.0) as u32,
                    cost: number_of(words, "cost", 1.0),
                    retry: words.contains(&"retry"),
                },
                deadline: now + parse_ms(value_of(words, "timeout").unwrap_or("4000")),
            }),
            "disconnect" => Event::ClientDisconnected(txn()),
            "timer" => Event::TimerFired(TimerId(words[1].parse().expect("the number of a timer"))),
            _ => {
                let (txn, attempt) = words[1].split_once('.').expect("request.attempt");
                let txn = txn.parse().expect("the number of a request");
                let attempt = attempt.parse().expect("the number of an attempt");
                self.in_flight.retain(|&(id, number, _)| (id, number) != (txn, attempt));
                let outcome = match words[2] {
                    "succeeded" => Outcome::Succeeded,
                    "error" => Outcome::Error,
                    "rejected" => Outcome::Rejected,
                    "timed-out" => Outcome::TimedOut,
                    "connect-failed" => Outcome::ConnectFailed,
                    "connection-lost" => Outcome::ConnectionLost,
                    "cancelled" => Outcome::Cancelled,
                    other => panic!("unknown outcome '{other}'"),
                };
                Event::AttemptEnded(AttemptReport {
                    txn: TxnId(txn),
                    attempt: AttemptNumber(attempt),
                    outcome,
                    latency: parse_ms(value_of(words, "latency").unwrap_or("20")),
                    complete: outcome == Outcome::Succeeded,
                    metered_usage: value_of(words, "usage").map(parse_number),
                    actual_cost: value_of(words, "actual_cost").map(parse_number),
                })
            }
        }
    }

    fn batch(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action> {
        let config = &self.config;
        let gateway = self
            .gateway
            .get_or_insert_with(|| Balancer::new(BalancerConfig { started_at: now, ..config.clone() }));
        let actions = gateway.decide(now, events);
        for action in &actions {
            if let Action::SendAttempt { txn, backend, .. } = action {
                let attempt = self.attempts.entry(txn.0).or_default();
                self.in_flight.push((txn.0, *attempt, backend.0));
                *attempt += 1;
            }
        }
        actions
    }

    /// Runs a series of equal requests. With `completing`, all attempts in flight succeed before the next request.
    fn run_series(&mut self, span: &str, words: &[&str], expected: &str) {
        let (from, rest) = span.split_once("..").expect("from..to/step");
        let (to, step) = rest.split_once('/').expect("from..to/step");
        let (mut now, to, step) = (parse_ms(from), parse_ms(to), parse_ms(step));
        let mut actions = Vec::new();
        while now < to {
            if words.contains(&"completing") {
                let unresponsive = value_of(words, "unresponsive").map(|name| self.id(name));
                let in_flight = self.in_flight.clone();
                for (txn, attempt, _) in in_flight.into_iter().filter(|(_, _, at)| Some(*at) != unresponsive)
                {
                    let id = format!("{txn}.{attempt}");
                    let report = words
                        .iter()
                        .filter(|word| word.starts_with("usage=") || word.starts_with("latency="));
                    let mut end = vec!["end", &id, "succeeded"];
                    end.extend(report);
                    let event = self.event(now, &end);
                    actions.extend(self.batch(now, vec![event]));
                }
            }
            self.last_series_request += 1;
            let id = self.last_series_request.to_string();
            let mut request = vec!["request", &id];
            request.extend(&words[1..]);
            let event = self.event(now, &request);
            actions.extend(self.batch(now, vec![event]));
            now = now + step;
        }
        if let Some((wanted, range)) = expected.rsplit_once(' ') {
            let to = wanted.strip_prefix("sends to ");
            let count = actions.iter().filter(|action| match action {
                Action::SendAttempt { backend, .. } => {
                    to.is_none_or(|to| to == self.names[backend.0 as usize])
                }
                _ => false,
            });
            let count = count.count() as f64;
            let (min, max) = range.split_once("..").expect("a range");
            let is_expected = parse_number(min) <= count && count <= parse_number(max);
            assert!(is_expected, "{count} attempts sent, expected {range}");
        }
    }

    fn step(&mut self, line: &str) {
        let (step, expected) = line.split_once("=>").unwrap_or((line, ""));
        let words: Vec<_> = step.split_whitespace().collect();
        let expected = expected.trim();
        if ["config", "product", "plan"].contains(&words[0]) {
            return self.configure(&words);
        }
        if words[0] == "default" {
            let (values, backends): (Vec<_>, Vec<_>) = words[1..].iter().partition(|word| word.contains('='));
            let values = [&values[..], &["sla=400", "rate=1000", "burst=1000"]].concat();
            self.configure(&[&["product", "look"], &values[..], &["idempotent"]].concat());
            self.configure(&[&["plan", "basic"], &values[..]].concat());
            return self.step(&format!("0 list {}", backends.join(" ")));
        }
        if words[0].contains("..") {
            return self.run_series(words[0], &words[1..], expected);
        }
        let now = parse_ms(words[0]);
        if words[1] == "restart" {
            (self.gateway, self.in_flight) = (None, Vec::new());
            return;
        }
        let events = if words[1] == "tick" { Vec::new() } else { vec![self.event(now, &words[1..])] };
        let actions = self.batch(now, events);
        let actual: Vec<_> = actions.iter().map(|action| self.describe(action)).collect();
        let matches = |(actual, wanted): (&String, &str)| {
            actual == wanted || actual.strip_prefix(wanted).is_some_and(|rest| rest.starts_with(' '))
        };
        let wanted: Vec<_> = expected.split(", ").filter(|word| !["", "nothing"].contains(word)).collect();
        let same = actual.len() == wanted.len() && actual.iter().zip(wanted).all(matches);
        assert!(expected.is_empty() || same, "actions {actual:?}, expected '{expected}'");
    }

    fn describe(&self, action: &Action) -> String {
        match action {
            Action::SendAttempt { txn, backend, .. } => {
                format!("send {} {}", txn.0, self.names[backend.0 as usize])
            }
            Action::CancelAttempt { txn, attempt } => format!("cancel {}.{}", txn.0, attempt.0),
            Action::Reject { txn, retry_after: None } => format!("reject {} no-retry-after", txn.0),
            Action::Reject { txn, retry_after: Some(span) } => {
                format!("reject {} after {}", txn.0, span.0 / 10)
            }
            Action::Fail { txn } => format!("fail {}", txn.0),
            Action::SetTimer { after, timer } => format!("timer {} after {}", timer.0, after.0 / 10),
            Action::IncrementCounter { key, amount, .. } => format!("increment {} {amount}", key.0),
            Action::SendPeerMessage { to, message } => format!("message {} {message:?}", to.0),
        }
    }
}

#[test]
fn scenarios() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let files =
        std::fs::read_dir(folder).expect("the directory of scenarios").map(|file| file.unwrap().path());
    let mut files: Vec<_> = files.filter(|path| path.extension().is_some_and(|end| end == "txt")).collect();
    files.sort();
    assert!(!files.is_empty());
    let mut failed = Vec::new();
    for path in &files {
        let text = std::fs::read_to_string(path).expect("a readable scenario");
        let mut runner = ScenarioRunner::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.split("# ").next().unwrap_or_default().trim();
            if line == "reset" {
                runner = ScenarioRunner::new();
            } else if !line.is_empty() {
                let step = std::panic::AssertUnwindSafe(|| runner.step(line));
                if std::panic::catch_unwind(step).is_err() {
                    failed.push(format!("{}:{}: {line}", path.display(), number + 1));
                    break;
                }
            }
        }
    }
    assert!(failed.is_empty(), "failed steps:\n{}", failed.join("\n"));
}

/// For requests of one unit, the token bucket and GCRA (generic cell rate algorithm) give the same decisions.
#[test]
fn unit_costs_agree_with_gcra() {
    let mut runner = ScenarioRunner::new();
    for line in ["product look sla=400 idempotent", "plan basic rate=4 burst=5 excess_cost=1", "0 list a"] {
        runner.step(line);
    }
    let (interval, tolerance) = (2_500, 10_000);
    let (mut now, mut next, mut random) = (0, 0, 1u64);
    for txn in 0..2_000 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        now += (random >> 33) as i64 % 3_000;
        let line = format!("0 request {txn} look basic acme");
        let words: Vec<_> = line.split(' ').skip(1).collect();
        let event = runner.event(Ticks(now), &words);
        let actions = runner.batch(Ticks(now), vec![event]);
        let admitted = matches!(actions[..], [Action::SendAttempt { .. }]);
        assert_eq!(admitted, now >= next - tolerance, "request {txn} at {now}");
        if admitted {
            next = now.max(next) + interval;
            let event = runner.event(Ticks(now), &["end", &format!("{txn}.0"), "succeeded"]);
            runner.batch(Ticks(now), vec![event]);
        }
    }
}
