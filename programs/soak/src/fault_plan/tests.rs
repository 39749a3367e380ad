use super::*;
use std::collections::BTreeSet;

const LENGTH: Duration = Duration::from_secs(8);
const SEEDS: u64 = 200;

#[test]
fn plans_are_deterministic_and_lose_at_most_one_disk() {
    let mut kinds = BTreeSet::new();
    for seed in 0..SEEDS {
        let actions = plan(seed, LENGTH);
        assert_eq!(actions, plan(seed, LENGTH), "seed {seed}");
        assert!(actions.is_sorted_by_key(|scheduled| scheduled.at), "seed {seed}");
        let wipes = actions.iter().filter(|scheduled| matches!(scheduled.action, Action::WipeDisk(_)));
        assert!(wipes.count() <= 1, "seed {seed}");
        kinds.extend(actions.iter().map(|scheduled| {
            let text = format!("{:?}", scheduled.action);
            text.split('(').next().unwrap_or_default().to_owned()
        }));
    }
    assert_eq!(kinds.len(), 10, "all kinds of actions are generated: {kinds:?}");
}

#[test]
fn every_stopped_or_paused_machine_is_started_or_resumed() {
    for seed in 0..SEEDS {
        let actions = plan(seed, LENGTH);
        for machine in 0..MACHINES {
            let last = |wanted: fn(&Action, usize) -> bool| {
                actions.iter().rposition(|scheduled| wanted(&scheduled.action, machine))
            };
            let stopped = last(
                |action, machine| matches!(action, Action::Kill(at) | Action::Terminate(at) if *at == machine),
            );
            let started = last(|action, machine| matches!(action, Action::Start(at) if *at == machine));
            assert!(stopped <= started, "seed {seed}, machine {machine}");
            let paused = last(|action, machine| matches!(action, Action::Pause(at) if *at == machine));
            let resumed = last(|action, machine| matches!(action, Action::Resume(at) if *at == machine));
            assert!(paused <= resumed, "seed {seed}, machine {machine}");
        }
    }
}
