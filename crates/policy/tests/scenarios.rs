//! Plays every file of `tests/scenarios/` against one gateway; `tests/scenarios/README.md` has the notation.

use std::collections::HashMap;
use std::path::Path;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::*;

struct ScenarioRunner {
    gateway: Option<Balancer>,
    config: BalancerConfig,
    products: Vec<String>,
    plans: Vec<String>,
    names: Vec<String>,
    /// The txn, number and backend of each attempt that has no outcome yet.
    in_flight: Vec<(u64, u32, u32)>,
    attempts: HashMap<u64, u32>,
    next_txn: u64,
}

fn ms(text: &str) -> Ticks {
    Ticks((number(text) * 10.0) as i64)
}

fn number(text: &str) -> f64 {
    text.parse().unwrap_or_else(|_| panic!("'{text}' is no number"))
}

fn position(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| panic!("'{name}' is not known"))
}

/// The value of `key=value` among the words.
fn value_of<'a>(words: &[&'a str], key: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

fn figure(words: &[&str], key: &str, absent: f64) -> f64 {
    value_of(words, key).map_or(absent, number)
}

impl ScenarioRunner {
    fn new() -> ScenarioRunner {
        let allowances = AllowedActions {
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
            allowed: allowances,
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
        ScenarioRunner { gateway: None, config, products, plans, names, in_flight, attempts, next_txn: 1000 }
    }

    fn id(&mut self, name: &str) -> u32 {
        if !self.names.iter().any(|known| known == name) {
            self.names.push(name.to_owned());
        }
        position(&self.names, name) as u32
    }

    fn configure(&mut self, words: &[&str]) {
        match words[0] {
            "told" => {
                let flag = |key, known| value_of(words, key).map_or(known, |value| value == "yes");
                let allowances = &mut self.config.allowed;
                allowances.cancel = flag("cancel", allowances.cancel);
                allowances.hedging = flag("copies", allowances.hedging);
                allowances.retry_after = flag("advice", allowances.retry_after);
                self.config.gateway_count =
                    figure(words, "doors", f64::from(self.config.gateway_count)) as u32;
            }
            "product" => {
                let repeat = match *words.last().expect("a kind of repeat") {
                    "inquiry-like" => Idempotency::Idempotent,
                    "once-only" => Idempotency::NonIdempotent,
                    kind => {
                        let mut parts = kind.split(':').skip(1);
                        Idempotency::Deduplicated { window: ms(parts.next().expect("a window")) }
                    }
                };
                let sla_time = ms(value_of(words, "sla").expect("an SLA time"));
                self.config.products.push(Product {
                    sla_time,
                    value: figure(words, "value", 1.0),
                    idempotency: repeat,
                });
                self.products.push(words[1].to_owned());
            }
            _ => {
                self.config.plans.push(Plan {
                    rate: figure(words, "rate", 0.0),
                    burst: figure(words, "burst", 0.0),
                    value_factor: 1.0,
                    excess_value: figure(words, "earns", 0.0),
                    excess_cost: figure(words, "beyond", 1.0),
                    hard_limit_rate: figure(words, "ceiling_rate", 0.0),
                    hard_limit_burst: figure(words, "ceiling_depth", 0.0),
                });
                self.plans.push(words[1].to_owned());
            }
        }
    }

    /// `name[!drain|!gone][@booted][~]`
    fn listed(&mut self, word: &str) -> BackendInfo {
        let (word, near) = word.strip_suffix('~').map_or((word, true), |word| (word, false));
        let (word, booted) = word.split_once('@').map_or((word, None), |(name, at)| (name, Some(ms(at))));
        let (name, standing) = match word.split_once('!') {
            Some((name, "drain")) => (name, BackendStatus::Draining),
            Some((name, _)) => (name, BackendStatus::Gone),
            None => (word, BackendStatus::Ready),
        };
        BackendInfo {
            backend: BackendId(self.id(name)),
            status: standing,
            capacity: 1.0,
            local: near,
            started_at: booted,
        }
    }

    fn event(&mut self, now: Ticks, words: &[&str]) -> Event {
        let txn = || TxnId(words[1].parse().expect("a txn"));
        match words[0] {
            "list" => Event::BackendList(words[1..].iter().map(|word| self.listed(word)).collect()),
            "change" => Event::BackendChanges(words[1..].iter().map(|word| self.listed(word)).collect()),
            "txn" => Event::RequestArrived(Arrival {
                txn: txn(),
                product: ProductId(position(&self.products, words[2])),
                claim: QuotaClaim {
                    plan: PlanId(position(&self.plans, words[3])),
                    customer: CustomerId(self.id(words[4]).into()),
                    subset_start: 0,
                    subset_size: figure(words, "width", 1.0) as u32,
                    cost: figure(words, "cost", 1.0),
                    retry: words.contains(&"again"),
                },
                deadline: now + ms(value_of(words, "expiry").unwrap_or("4000")),
            }),
            "left" => Event::ClientDisconnected(txn()),
            "due" => Event::TimerFired(TimerId(words[1].parse().expect("a timer"))),
            _ => {
                let (txn, no) = words[1].split_once('.').expect("txn.number");
                let (txn, no) = (txn.parse().expect("a txn"), no.parse().expect("a number"));
                self.in_flight.retain(|&(id, number, _)| (id, number) != (txn, no));
                let outcome = match words[2] {
                    "settled" => Outcome::Succeeded,
                    "error" => Outcome::Error,
                    "turned-away" => Outcome::Rejected,
                    "timed-out" => Outcome::TimedOut,
                    "no-connection" => Outcome::ConnectFailed,
                    "broken" => Outcome::ConnectionLost,
                    "cancelled" => Outcome::Cancelled,
                    other => panic!("'{other}' is no outcome"),
                };
                Event::AttemptEnded(AttemptReport {
                    txn: TxnId(txn),
                    attempt: AttemptNumber(no),
                    outcome,
                    latency: ms(value_of(words, "took").unwrap_or("20")),
                    complete: outcome == Outcome::Succeeded,
                    metered_usage: value_of(words, "use").map(number),
                    actual_cost: value_of(words, "true").map(number),
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
                let no = self.attempts.entry(txn.0).or_default();
                self.in_flight.push((txn.0, *no, backend.0));
                *no += 1;
            }
        }
        actions
    }

    /// A run of equal txns; with `settling`, each is settled before the next one comes.
    fn run(&mut self, span: &str, words: &[&str], expected: &str) {
        let (from, rest) = span.split_once("..").expect("from..to/step");
        let (to, step) = rest.split_once('/').expect("from..to/step");
        let (mut now, to, step) = (ms(from), ms(to), ms(step));
        let mut actions = Vec::new();
        while now < to {
            if words.contains(&"settling") {
                let mute = value_of(words, "mute").map(|name| self.id(name));
                let out = self.in_flight.clone();
                for (txn, no, _) in out.into_iter().filter(|(_, _, at)| Some(*at) != mute) {
                    let id = format!("{txn}.{no}");
                    let used =
                        words.iter().filter(|word| word.starts_with("use=") || word.starts_with("took="));
                    let mut end = vec!["end", &id, "settled"];
                    end.extend(used);
                    let event = self.event(now, &end);
                    actions.extend(self.batch(now, vec![event]));
                }
            }
            self.next_txn += 1;
            let id = self.next_txn.to_string();
            let mut one = vec!["txn", &id];
            one.extend(&words[1..]);
            let event = self.event(now, &one);
            actions.extend(self.batch(now, vec![event]));
            now = now + step;
        }
        if let Some((wanted, range)) = expected.rsplit_once(' ') {
            let to = wanted.strip_prefix("submits to ");
            let count = actions.iter().filter(|action| match action {
                Action::SendAttempt { backend, .. } => {
                    to.is_none_or(|to| to == self.names[backend.0 as usize])
                }
                _ => false,
            });
            let count = count.count() as f64;
            let (least, most) = range.split_once("..").expect("a range");
            assert!(number(least) <= count && count <= number(most), "{count} submits, not {range}");
        }
    }

    fn step(&mut self, line: &str) {
        let (does, expected) = line.split_once("=>").unwrap_or((line, ""));
        let words: Vec<_> = does.split_whitespace().collect();
        let expected = expected.trim();
        if ["told", "product", "plan"].contains(&words[0]) {
            return self.configure(&words);
        }
        if words[0] == "usual" {
            let (figures, listed): (Vec<_>, Vec<_>) = words[1..].iter().partition(|word| word.contains('='));
            let figures = [&figures[..], &["sla=400", "rate=1000", "burst=1000"]].concat();
            self.configure(&[&["product", "look"], &figures[..], &["inquiry-like"]].concat());
            self.configure(&[&["plan", "basic"], &figures[..]].concat());
            return self.step(&format!("0 list {}", listed.join(" ")));
        }
        if words[0].contains("..") {
            return self.run(words[0], &words[1..], expected);
        }
        let now = ms(words[0]);
        if words[1] == "restart" {
            (self.gateway, self.in_flight) = (None, Vec::new());
            return;
        }
        let events = if words[1] == "tick" { Vec::new() } else { vec![self.event(now, &words[1..])] };
        let actions = self.batch(now, events);
        let said: Vec<_> = actions.iter().map(|action| self.describe(action)).collect();
        let agrees = |(said, wanted): (&String, &str)| {
            said == wanted || said.strip_prefix(wanted).is_some_and(|rest| rest.starts_with(' '))
        };
        let wanted: Vec<_> = expected.split(", ").filter(|word| !["", "nothing"].contains(word)).collect();
        let same = said.len() == wanted.len() && said.iter().zip(wanted).all(agrees);
        assert!(expected.is_empty() || same, "{said:?}, not '{expected}'");
    }

    fn describe(&self, action: &Action) -> String {
        match action {
            Action::SendAttempt { txn, backend, .. } => {
                format!("submit {} {}", txn.0, self.names[backend.0 as usize])
            }
            Action::CancelAttempt { txn, attempt } => format!("cancel {}.{}", txn.0, attempt.0),
            Action::Reject { txn, retry_after: None } => format!("decline {} unadvised", txn.0),
            Action::Reject { txn, retry_after: Some(span) } => {
                format!("decline {} after {}", txn.0, span.0 / 10)
            }
            Action::Fail { txn } => format!("void {}", txn.0),
            Action::SetTimer { after, timer } => format!("wake {} after {}", timer.0, after.0 / 10),
            Action::IncrementCounter { key, amount, .. } => format!("count {} {amount}", key.0),
            Action::SendPeerMessage { to, message } => format!("tell {} {message:?}", to.0),
        }
    }
}

#[test]
fn scenarios() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let files = std::fs::read_dir(folder).expect("the folder of scenarios").map(|file| file.unwrap().path());
    let mut files: Vec<_> = files.filter(|path| path.extension().is_some_and(|end| end == "txt")).collect();
    files.sort();
    assert!(!files.is_empty());
    let mut failed = Vec::new();
    for path in &files {
        let text = std::fs::read_to_string(path).expect("a scenario");
        let mut runner = ScenarioRunner::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.split("# ").next().unwrap_or_default().trim();
            if line == "anew" {
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
    assert!(failed.is_empty(), "failed:\n{}", failed.join("\n"));
}

/// "The Bucket Has a Clock": for one-unit requests a token bucket and GCRA decide alike.
#[test]
fn unit_costs_agree_with_gcra() {
    let mut runner = ScenarioRunner::new();
    for line in ["product look sla=400 inquiry-like", "plan basic rate=4 burst=5 beyond=1", "0 list a"] {
        runner.step(line);
    }
    let (interval, tolerance) = (2_500, 10_000);
    let (mut now, mut next, mut draw) = (0, 0, 1u64);
    for txn in 0..2_000 {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        now += (draw >> 33) as i64 % 3_000;
        let line = format!("0 txn {txn} look basic acme");
        let words: Vec<_> = line.split(' ').skip(1).collect();
        let event = runner.event(Ticks(now), &words);
        let actions = runner.batch(Ticks(now), vec![event]);
        let admitted = matches!(actions[..], [Action::SendAttempt { .. }]);
        assert_eq!(admitted, now >= next - tolerance, "txn {txn} at {now}");
        if admitted {
            next = now.max(next) + interval;
            let event = runner.event(Ticks(now), &["end", &format!("{txn}.0"), "settled"]);
            runner.batch(Ticks(now), vec![event]);
        }
    }
}
