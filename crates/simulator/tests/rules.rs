//! The lab's own rule checker, against policies that break one rule each and the module, which must not; and the
//! faults that the rules are there for.

use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::*;
use vanewharf_simulator::arrivals::drawn;
use vanewharf_simulator::experiment::Experiment;
use vanewharf_simulator::policy::{Inside, Module, Plainest, Policy, Seen};
use vanewharf_simulator::rules::Rule;
use vanewharf_simulator::score::Record;
use vanewharf_simulator::world::World;

fn experiment(more: &str) -> Experiment {
    let text = format!(
        "name = \"rules\"\nlength_s = 20\n[fleet]\ndoors = 12\nbackends = 12\nstops = \"nothing\"\ncold_from = 0.2\nramp_s = 10\n\
         [discovery]\nlate_s = [0.3, 0.6]\nsilent_late_s = [1, 2]\n\
         [[product]]\nname = \"look\"\nshare = 0.6\nwork_ms = 40\nsla_ms = 600\nexpiry_ms = 2000\nrepeat = \"inquiry-like\"\n\
         [[product]]\nname = \"book\"\nshare = 0.4\nwork_ms = 80\nsla_ms = 1000\nexpiry_ms = 4000\nrepeat = \"once-only\"\nvalue = 3\nunits = 2\n\
         [[plan]]\nname = \"basic\"\nshare = 0.6\nrate = 4\nburst = 12\nwidth = [0.3, 0.6]\n\
         [[plan]]\nname = \"hard\"\nshare = 0.4\nrate = 12\nburst = 24\nceiling = 1.5\nwidth = [0.2, 0.3]\n\
         [load]\nof_capacity = 0.6\n{more}"
    );
    Experiment::parse(&text).expect("good")
}

fn played<P: Policy>(experiment: &Experiment, policy: P) -> Record {
    let arrivals = drawn(experiment, 3);
    World::new(experiment, &arrivals, 3, policy).run()
}

/// The module, with its actions changed on the way out.
struct Twisted<F> {
    module: Module,
    twist: F,
    filter: fn(&Event) -> bool,
}

impl<F: FnMut(usize, Vec<Action>) -> Vec<Action>> Policy for Twisted<F> {
    fn starts(&mut self, door: usize, told: BalancerConfig) {
        self.module.starts(door, told);
    }

    fn stops(&mut self, door: usize) {
        self.module.stops(door);
    }

    fn decide(
        &mut self,
        door: usize,
        now: Ticks,
        events: Vec<Event>,
        seen: &Seen,
        inside: &mut Inside<'_>,
    ) -> Vec<Action> {
        let events = events.into_iter().filter(self.filter).collect();
        let actions = self.module.decide(door, now, events, seen, inside);
        (self.twist)(door, actions)
    }
}

fn twisted(twist: impl FnMut(usize, Vec<Action>) -> Vec<Action>, filter: fn(&Event) -> bool) -> impl Policy {
    Twisted { module: Module::default(), twist, filter }
}

fn broken(record: &Record) -> Vec<Rule> {
    record.breaches().into_keys().collect()
}

#[test]
fn the_module_keeps_all_rules_where_nothing_goes_wrong() {
    let record = played(&experiment(""), Module::default());
    assert_eq!(broken(&record), [], "{:?}", record.broken.first());
    assert!(record.g > 0.7, "and is of use: {}", record.g);
}

#[test]
fn a_txn_that_nobody_answers_breaks_the_first_rule() {
    let mut left = 3;
    let forgets = move |_, mut actions: Vec<Action>| {
        actions.retain(|action| {
            let decline = matches!(action, Action::Reject { .. });
            left -= i32::from(decline && left > 0);
            !(decline && left > 0)
        });
        actions
    };
    let record = played(&experiment(""), twisted(forgets, |_| true));
    assert_eq!(broken(&record), [Rule::OneAnswer]);
}

#[test]
fn a_submission_after_the_answer_breaks_it_too() {
    let sends_on = |_, mut actions: Vec<Action>| {
        let answered = actions.iter().find_map(|action| match action {
            Action::Reject { txn, .. } => Some(*txn),
            _ => None,
        });
        actions.extend(answered.map(|txn| Action::SendAttempt { txn, backend: BackendId(0), timeout: None }));
        actions
    };
    assert_eq!(broken(&played(&experiment(""), twisted(sends_on, |_| true))), [Rule::OneAnswer]);
}

#[test]
fn a_once_only_txn_sent_twice_breaks_the_second() {
    let doubles = |_, actions: Vec<Action>| {
        let both = actions.into_iter().flat_map(|action| match action {
            Action::SendAttempt { txn, backend, timeout: time_out } => {
                let other = BackendId((backend.0 + 1) % 12);
                vec![action, Action::SendAttempt { txn, backend: other, timeout: time_out }]
            }
            _ => vec![action],
        });
        both.collect()
    };
    assert!(broken(&played(&experiment(""), twisted(doubles, |_| true))).contains(&Rule::NoEffectTwice));
}

const DRAIN: &str = "[[fault]]\nkind = \"drain\"\nat_s = 6\nfor_s = 6\npart = 0.5\nevery_s = 4\n\
    [[fault]]\nkind = \"flood\"\nat_s = 5\nfor_s = 8\npart = 0.1\nsize = 6\n";

#[test]
fn a_drain_in_a_burst_is_kept_by_the_module_and_broken_by_one_that_does_not_listen() {
    let experiment = experiment(DRAIN);
    let record = played(&experiment, Module::default());
    assert_eq!(broken(&record), [], "{:?}", record.broken.first());
    // Hears its first list and no change of it.
    let deaf = twisted(|_, actions| actions, |event| !matches!(event, Event::BackendChanges(_)));
    assert!(broken(&played(&experiment, deaf)).contains(&Rule::Drains));
}

const RESTART: &str = "[[fault]]\nkind = \"crash\"\nat_s = 5\nfor_s = 3\npart = 0.5\nby = \"cell\"\n";

#[test]
fn cold_backends_that_return_together_are_not_pushed_over_by_the_module() {
    let experiment = experiment(RESTART);
    let record = played(&experiment, Module::default());
    assert_eq!((broken(&record), record.bill.fallen), (vec![], 0), "{:?}", record.broken.first());
    let nearest = record.seconds.iter().map(|second| second.nearest_fall).fold(0.0, f64::max);
    assert!(nearest > 0.02, "cold ones did get work: {nearest}");
    // One that takes them for as good as the others, where they bear little.
    let blind =
        played(&self::experiment(&format!("{RESTART}[rules]\nfall_multiple = 1.2\n")), Plainest::default());
    assert!(broken(&blind).contains(&Rule::ColdBackends), "{:?}", blind.breaches());
}

#[test]
fn a_ceiling_is_broken_by_one_that_lets_all_in() {
    let experiment = experiment("[customers]\nheavy = 0.5\nheavy_x = [4, 5]\nfull = 0\nspiky = 0\n");
    assert!(broken(&played(&experiment, Plainest::default())).contains(&Rule::Ceilings));
    assert_eq!(broken(&played(&experiment, Module::default())), []);
}

#[test]
fn all_that_goes_wrong_at_once_breaks_no_rule_of_the_module() {
    let all = "[[fault]]\nkind = \"door-crash\"\nat_s = 4\nfor_s = 2\npart = 0.5\n\
        [[fault]]\nkind = \"silent\"\nat_s = 6\nfor_s = 4\npart = 0.2\n[[fault]]\nkind = \"answers-lost\"\nat_s = 8\nfor_s = 6\npart = 0.5\nsize = 0.3\n\
        [[fault]]\nkind = \"flap\"\nat_s = 10\nfor_s = 5\npart = 0.2\nevery_s = 2\n[[fault]]\nkind = \"list-late\"\nat_s = 9\nfor_s = 5\nsize = 3\n\
        [[fault]]\nkind = \"slow\"\nat_s = 12\nfor_s = 5\npart = 0.3\nsize = 5\n";
    let record = played(&experiment(all), Module::default());
    assert_eq!(broken(&record), [], "{:?}", record.broken.first());
    assert!(record.total(|second| second.settled as f64) > 0.0);
}

#[test]
fn doors_that_stand_still_and_talk_lose_no_txn() {
    let text = "[peers]\ntakes_ms = [5, 28]\nloss = 0.05\nin_per_s = 40\n\
        [[fault]]\nkind = \"door-stall\"\nat_s = 3\nfor_s = 14\npart = 0.8\nsize = 1.2\nevery_s = 2\n";
    let record = played(&experiment(text), Module::default());
    assert!(record.bill.words > 100);
    assert_eq!(broken(&record), [], "{:?}", record.broken.first());
}

#[test]
fn a_lone_door_of_the_module_decides_as_in_the_lab() {
    // The lab hosts the very same doors: one started by hand answers a batch as the lab's policy does.
    let told = |seed| BalancerConfig {
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
    let listing = || {
        let one = BackendInfo {
            backend: BackendId(4),
            status: BackendStatus::Ready,
            capacity: 1.0,
            local: true,
            started_at: None,
        };
        vec![Event::BackendList(vec![one])]
    };
    let mut module = Module::default();
    module.starts(0, told(5));
    let seen = Seen { waits: Vec::new(), paces: Vec::new() };
    let by_lab = module.decide(0, Ticks(10), listing(), &seen, &mut |_| true);
    assert_eq!(by_lab, Balancer::new(told(5)).decide(Ticks(10), listing()));
}
