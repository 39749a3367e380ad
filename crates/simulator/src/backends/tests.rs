use super::*;
use crate::experiment::Experiment;
use crate::random::seconds;

fn fleet() -> (Fleet, Rules) {
    let text = "name = \"a\"\nlength_s = 20\n[fleet]\ndoors = 2\nbackends = 2\nqueue = 3\n[[product]]\nname = \"look\"\nshare = 1\n\
         work_ms = 20\nsla_ms = 400\nexpiry_ms = 1500\nrepeat = \"inquiry-like\"\n[[plan]]\nname = \"basic\"\n\
         share = 1\nrate = 4\nburst = 8\n[load]\nof_capacity = 0.5\n";
    let experiment = Experiment::parse(text).expect("a valid experiment");
    (experiment.fleet, experiment.rules)
}

#[test]
fn attempts_are_queued_when_all_cores_are_busy_and_rejected_when_the_queue_is_full() {
    let (fleet, _) = fleet();
    let mut backend = Backend::new(0, 0, 1.0);
    let receptions: Vec<_> = (0..6).map(|attempt| backend.receive(attempt, &fleet)).collect();
    use Reception::*;
    assert_eq!(receptions, [Started, Started, Queued, Queued, Queued, Rejected]);
    assert_eq!(backend.cancel(3, false, Stops::Waiting), Some(Cancellation::Dequeued));
    assert_eq!(backend.cancel(0, true, Stops::Waiting), None, "an attempt in service continues");
    assert_eq!(backend.cancel(0, true, Stops::All), Some(Cancellation::CoreFreed));
    assert_eq!(backend.cancel(2, false, Stops::Nothing), None);
    assert_eq!(
        (backend.release_core(), backend.release_core(), backend.release_core()),
        (Some(2), Some(4), None)
    );
}

#[test]
fn a_backend_warms_up_and_stops_for_good_when_overloaded() {
    let (fleet, rules) = fleet();
    let mut backend = Backend::new(0, 0, 1.0);
    backend.stop();
    backend.start(seconds(10.0));
    assert_eq!(backend.warm_fraction(seconds(10.0), &fleet), 0.25);
    assert!((backend.warm_fraction(seconds(15.0), &fleet) - 0.625).abs() < 1e-9);
    // The backend is overloaded by 3 times a quarter of 2000 ms per second, which is 1500 ms within a second, plus the
    // tolerance of one request per core.
    let mut send = |from: i64, count: i64, informed| {
        (0..count).find_map(|no| backend.record_load(20.0, informed, Ticks(from + no), &fleet, &rules))
    };
    assert_eq!(send(100_000, 70, true), None);
    let informed_fraction = send(100_100, 20, true).expect("the backend is overloaded");
    assert!(informed_fraction > 0.9);
    assert_eq!(backend.state, State::Down);
    backend.start(seconds(30.0));
    assert_eq!(backend.state, State::Down, "an overloaded backend does not restart");
}
