use super::*;
use crate::experiment::Experiment;
use crate::random::seconds;

fn fleet() -> (Fleet, Rules) {
    let text = "name = \"a\"\nlength_s = 20\n[fleet]\ndoors = 2\nbackends = 2\nqueue = 3\n[[product]]\nname = \"look\"\nshare = 1\n\
         work_ms = 20\nsla_ms = 400\nexpiry_ms = 1500\nrepeat = \"inquiry-like\"\n[[plan]]\nname = \"basic\"\n\
         share = 1\nrate = 4\nburst = 8\n[load]\nof_capacity = 0.5\n";
    let experiment = Experiment::parse(text).expect("good");
    (experiment.fleet, experiment.rules)
}

#[test]
fn cores_work_the_queue_waits_and_more_is_rejected() {
    let (fleet, _) = fleet();
    let mut backend = Backend::new(0, 0, 1.0);
    let reached: Vec<_> = (0..6).map(|attempt| backend.receive(attempt, &fleet)).collect();
    use Reception::*;
    assert_eq!(reached, [Started, Started, Queued, Queued, Queued, Rejected]);
    assert_eq!(backend.cancel(3, false, Stops::Waiting), Some(Cancellation::Dequeued));
    assert_eq!(backend.cancel(0, true, Stops::Waiting), None, "what runs runs on");
    assert_eq!(backend.cancel(0, true, Stops::All), Some(Cancellation::CoreFreed));
    assert_eq!(backend.cancel(2, false, Stops::Nothing), None);
    assert_eq!(
        (backend.next_in_queue(), backend.next_in_queue(), backend.next_in_queue()),
        (Some(2), Some(4), None)
    );
}

#[test]
fn a_backend_warms_up_and_stops_for_good_when_overloaded() {
    let (fleet, rules) = fleet();
    let mut backend = Backend::new(0, 0, 1.0);
    backend.stop();
    backend.start(seconds(10.0));
    assert_eq!(backend.warmth(seconds(10.0), &fleet), 0.25);
    assert!((backend.warmth(seconds(15.0), &fleet) - 0.625).abs() < 1e-9);
    // A quarter of 2000 ms a second, three times: 1500 ms within a second, and a little more.
    let mut push = |from: i64, count: i64, informed| {
        (0..count).find_map(|no| backend.record_load(20.0, informed, Ticks(from + no), &fleet, &rules))
    };
    assert_eq!(push(100_000, 70, true), None);
    let part = push(100_100, 20, true).expect("it falls");
    assert!(part > 0.9);
    assert_eq!(backend.state, State::Down);
    backend.start(seconds(30.0));
    assert_eq!(backend.state, State::Down, "what was overloaded stays down");
}
