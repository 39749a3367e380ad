//! Tests of the simulator's rule checks: policies that violate one rule each are detected, and the balancer violates none,
//! also with the faults that the rules are meant for.

use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::*;
use vanewharf_simulator::arrivals::generate_arrivals;
use vanewharf_simulator::experiment::Experiment;
use vanewharf_simulator::policy::{BalancerPolicy, FleetView, Policy, QuotaOracle, RoundRobin};
use vanewharf_simulator::rules::Rule;
use vanewharf_simulator::score::RunRecord;
use vanewharf_simulator::simulation::Simulation;

fn experiment(extra: &str) -> Experiment {
    let text = format!(
        "name = \"rules\"\nlength_s = 20\n[fleet]\ndoors = 12\nbackends = 12\nstops = \"nothing\"\ncold_from = 0.2\nramp_s = 10\n\
         [discovery]\nlate_s = [0.3, 0.6]\nsilent_late_s = [1, 2]\n\
         [[product]]\nname = \"look\"\nshare = 0.6\nwork_ms = 40\nsla_ms = 600\nexpiry_ms = 2000\nrepeat = \"inquiry-like\"\n\
         [[product]]\nname = \"book\"\nshare = 0.4\nwork_ms = 80\nsla_ms = 1000\nexpiry_ms = 4000\nrepeat = \"once-only\"\nvalue = 3\nunits = 2\n\
         [[plan]]\nname = \"basic\"\nshare = 0.6\nrate = 4\nburst = 12\nwidth = [0.3, 0.6]\n\
         [[plan]]\nname = \"hard\"\nshare = 0.4\nrate = 12\nburst = 24\nceiling = 1.5\nwidth = [0.2, 0.3]\n\
         [load]\nof_capacity = 0.6\n{extra}"
    );
    Experiment::parse(&text).expect("a valid experiment")
}

fn run<P: Policy>(experiment: &Experiment, policy: P) -> RunRecord {
    let arrivals = generate_arrivals(experiment, 3);
    Simulation::new(experiment, &arrivals, 3, policy).run()
}

/// The balancer with a filter on its input events and a transformation of its actions, to inject policy defects.
struct FaultyPolicy<F> {
    balancer: BalancerPolicy,
    transform: F,
    filter: fn(&Event) -> bool,
}

impl<F: FnMut(usize, Vec<Action>) -> Vec<Action>> Policy for FaultyPolicy<F> {
    fn start_gateway(&mut self, gateway: usize, config: BalancerConfig) {
        self.balancer.start_gateway(gateway, config);
    }

    fn stop_gateway(&mut self, gateway: usize) {
        self.balancer.stop_gateway(gateway);
    }

    fn decide(
        &mut self,
        gateway: usize,
        now: Ticks,
        events: Vec<Event>,
        view: &FleetView,
        admits: &mut QuotaOracle<'_>,
    ) -> Vec<Action> {
        let events = events.into_iter().filter(self.filter).collect();
        let actions = self.balancer.decide(gateway, now, events, view, admits);
        (self.transform)(gateway, actions)
    }
}

fn faulty_policy(
    transform: impl FnMut(usize, Vec<Action>) -> Vec<Action>,
    filter: fn(&Event) -> bool,
) -> impl Policy {
    FaultyPolicy { balancer: BalancerPolicy::default(), transform, filter }
}

fn violated_rules(record: &RunRecord) -> Vec<Rule> {
    record.violation_counts().into_keys().collect()
}

#[test]
fn the_balancer_violates_no_rule_without_faults() {
    let record = run(&experiment(""), BalancerPolicy::default());
    assert_eq!(violated_rules(&record), [], "{:?}", record.violations.first());
    assert!(record.net_value > 0.7, "the value is too low: {}", record.net_value);
}

#[test]
fn an_unanswered_request_violates_one_answer() {
    let mut remaining = 3;
    let drops_rejections = move |_, mut actions: Vec<Action>| {
        actions.retain(|action| {
            let rejection = matches!(action, Action::Reject { .. });
            remaining -= i32::from(rejection && remaining > 0);
            !(rejection && remaining > 0)
        });
        actions
    };
    let record = run(&experiment(""), faulty_policy(drops_rejections, |_| true));
    assert_eq!(violated_rules(&record), [Rule::OneAnswer]);
}

#[test]
fn an_attempt_after_the_answer_violates_one_answer() {
    let sends_rejected = |_, mut actions: Vec<Action>| {
        let answered = actions.iter().find_map(|action| match action {
            Action::Reject { txn, .. } => Some(*txn),
            _ => None,
        });
        actions.extend(answered.map(|txn| Action::SendAttempt { txn, backend: BackendId(0), timeout: None }));
        actions
    };
    assert_eq!(
        violated_rules(&run(&experiment(""), faulty_policy(sends_rejected, |_| true))),
        [Rule::OneAnswer]
    );
}

#[test]
fn a_once_only_request_sent_twice_violates_no_effect_twice() {
    let duplicates = |_, actions: Vec<Action>| {
        let both = actions.into_iter().flat_map(|action| match action {
            Action::SendAttempt { txn, backend, timeout } => {
                let other = BackendId((backend.0 + 1) % 12);
                vec![action, Action::SendAttempt { txn, backend: other, timeout }]
            }
            _ => vec![action],
        });
        both.collect()
    };
    assert!(
        violated_rules(&run(&experiment(""), faulty_policy(duplicates, |_| true)))
            .contains(&Rule::NoEffectTwice)
    );
}

const DRAIN: &str = "[[fault]]\nkind = \"drain\"\nat_s = 6\nfor_s = 6\npart = 0.5\nevery_s = 4\n\
    [[fault]]\nkind = \"flood\"\nat_s = 5\nfor_s = 8\npart = 0.1\nsize = 6\n";

#[test]
fn a_drain_under_high_load_violates_the_rule_only_without_discovery_updates() {
    let experiment = experiment(DRAIN);
    let record = run(&experiment, BalancerPolicy::default());
    assert_eq!(violated_rules(&record), [], "{:?}", record.violations.first());
    // This policy receives the initial backend list and no changes.
    let without_updates =
        faulty_policy(|_, actions| actions, |event| !matches!(event, Event::BackendChanges(_)));
    assert!(violated_rules(&run(&experiment, without_updates)).contains(&Rule::Drains));
}

const RESTART: &str = "[[fault]]\nkind = \"crash\"\nat_s = 5\nfor_s = 3\npart = 0.5\nby = \"cell\"\n";

#[test]
fn the_balancer_does_not_overload_backends_that_warm_up_at_the_same_time() {
    let experiment = experiment(RESTART);
    let record = run(&experiment, BalancerPolicy::default());
    assert_eq!(
        (violated_rules(&record), record.usage.overloaded_backends),
        (vec![], 0),
        "{:?}",
        record.violations.first()
    );
    let max_ratio = record.seconds.iter().map(|second| second.max_overload_ratio).fold(0.0, f64::max);
    assert!(max_ratio > 0.02, "backends in warm-up got hardly any work: {max_ratio}");
    // Round robin ignores the warm-up, and here a low load overloads a backend in warm-up.
    let round_robin =
        run(&self::experiment(&format!("{RESTART}[rules]\nfall_multiple = 1.2\n")), RoundRobin::default());
    assert!(violated_rules(&round_robin).contains(&Rule::WarmUp), "{:?}", round_robin.violation_counts());
}

#[test]
fn a_policy_that_admits_all_requests_violates_hard_limits() {
    let experiment = experiment("[customers]\nheavy = 0.5\nheavy_x = [4, 5]\nfull = 0\nspiky = 0\n");
    assert!(violated_rules(&run(&experiment, RoundRobin::default())).contains(&Rule::HardLimits));
    assert_eq!(violated_rules(&run(&experiment, BalancerPolicy::default())), []);
}

#[test]
fn the_balancer_violates_no_rule_with_overlapping_faults() {
    let all = "[[fault]]\nkind = \"door-crash\"\nat_s = 4\nfor_s = 2\npart = 0.5\n\
        [[fault]]\nkind = \"silent\"\nat_s = 6\nfor_s = 4\npart = 0.2\n[[fault]]\nkind = \"answers-lost\"\nat_s = 8\nfor_s = 6\npart = 0.5\nsize = 0.3\n\
        [[fault]]\nkind = \"flap\"\nat_s = 10\nfor_s = 5\npart = 0.2\nevery_s = 2\n[[fault]]\nkind = \"list-late\"\nat_s = 9\nfor_s = 5\nsize = 3\n\
        [[fault]]\nkind = \"slow\"\nat_s = 12\nfor_s = 5\npart = 0.3\nsize = 5\n";
    let record = run(&experiment(all), BalancerPolicy::default());
    assert_eq!(violated_rules(&record), [], "{:?}", record.violations.first());
    assert!(record.total(|second| second.in_time as f64) > 0.0);
}

#[test]
fn stalling_gateways_with_peer_messages_answer_all_requests() {
    let text = "[peers]\ntakes_ms = [5, 28]\nloss = 0.05\nin_per_s = 40\n\
        [[fault]]\nkind = \"door-stall\"\nat_s = 3\nfor_s = 14\npart = 0.8\nsize = 1.2\nevery_s = 2\n";
    let record = run(&experiment(text), BalancerPolicy::default());
    assert!(record.usage.peer_messages > 100);
    assert_eq!(violated_rules(&record), [], "{:?}", record.violations.first());
}

#[test]
fn the_simulator_returns_the_decisions_of_the_balancer() {
    // A balancer without the simulator returns the same actions for a batch of events as the simulator's policy.
    let config = |seed| BalancerConfig {
        seed,
        started_at: Ticks(0),
        gateway: GatewayId(0),
        gateway_count: 1,
        products: vec![Product { sla_time: Ticks(4_000), value: 1.0, idempotency: Idempotency::Idempotent }],
        plans: Vec::new(),
        allowed: AllowedActions {
            cancel: true,
            hedging: true,
            retry_after: true,
            max_retry_after: Ticks(5_000),
            max_attempts: 3,
        },
        warm_up: WarmUp { initial_capacity: 1.0, ramp_time: Ticks(0) },
        idle_timeout: Ticks(0),
        meter_period: Ticks(0),
        counter_timeout: None,
        peer_messages: false,
        max_cost: 1.0,
    };
    let events = || {
        let backend = BackendInfo {
            backend: BackendId(4),
            status: BackendStatus::Ready,
            capacity: 1.0,
            local: true,
            started_at: None,
        };
        vec![Event::BackendList(vec![backend])]
    };
    let mut balancer = BalancerPolicy::default();
    balancer.start_gateway(0, config(5));
    let view = FleetView { waits: Vec::new(), service_times: Vec::new() };
    let actions = balancer.decide(0, Ticks(10), events(), &view, &mut |_| true);
    assert_eq!(actions, Balancer::new(config(5)).decide(Ticks(10), events()));
}
