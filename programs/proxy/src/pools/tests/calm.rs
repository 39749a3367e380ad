//! Routes in calm: backends have free slots, and each request takes its route's own time. Whatever else goes to the same
//! service, and whatever the configuration was before, nearly all requests have to be served.

use super::*;
use rand::Rng;
use std::collections::VecDeque;
use yare::parameterized;

const TICKS_PER_MS: i64 = 10;
/// How long the first configuration is in force before it is replaced.
const BEFORE_CHANGE: Ticks = Ticks(8_000 * TICKS_PER_MS);
/// How long after a change its requests may still be rejected (`apply_deadline`).
const APPLY_DEADLINE: Ticks = Ticks(3_000 * TICKS_PER_MS);
const AFTER_CHANGE: Ticks = Ticks(28_000 * TICKS_PER_MS);
const MIN_SERVED_SHARE: f64 = 0.95;
/// Slots of the backends of each service together; the streams of each case need far fewer.
const SLOTS: usize = 40;

const READ: &str = "read_only";
const WRITE: &str = "mutating";

/// A route, and the requests that clients send to it at equal intervals.
#[derive(Clone, Copy, Debug)]
struct RouteStream {
    name: &'static str,
    kind: &'static str,
    service: &'static str,
    deadline_ms: i64,
    target_ms: i64,
    /// How long a backend works on a request.
    work_ms: i64,
    interval_ms: i64,
}

const REPORT: RouteStream = RouteStream {
    name: "report",
    kind: READ,
    service: "s",
    deadline_ms: 8_000,
    target_ms: 3_000,
    work_ms: 1_000,
    interval_ms: 200,
};
const LOOKUP: RouteStream =
    RouteStream { name: "lookup", deadline_ms: 1_500, target_ms: 400, work_ms: 20, ..REPORT };
const BOOKING: RouteStream = RouteStream { name: "booking", kind: WRITE, ..LOOKUP };

fn register_of(revision: u64, streams: &[RouteStream]) -> Rc<Register> {
    let route = |stream: &RouteStream| {
        let RouteStream { name, kind, service, deadline_ms, target_ms, .. } = stream;
        format!(
            r#""{name}":{{"hostname":"h","path_prefix":"/{name}/","route_kind":"{kind}","deadline":"{deadline_ms}ms",
            "target":"{target_ms}ms","service":"{service}","tries":2,"public":true,"home_regions":[]}}"#
        )
    };
    let routes: Vec<String> = streams.iter().map(route).collect();
    let service = r#"{"health_path":"/h","connection_limit":90,"warmup":"3s","warmup_per_s":7.5}"#;
    let config = format!(
        r#"{{"revision":"r{revision}","routes":{{{}}},"services":{{"s":{service},"other":{service}}},
        "limits":{{"max_header_bytes":1,"max_body_bytes":1,"header_deadline":"1s","idle_timeout":"1s"}}}}"#,
        routes.join(",")
    );
    let config = Some(serde_json::from_str(&config).expect("JSON"));
    Rc::new(Register { ballot: Ballot(1), revision: Revision(revision), config, ..Register::empty() })
}

/// An attempt at a backend.
struct Running {
    ends_at: Ticks,
    txn: TxnId,
    latency: Ticks,
}

/// What became of a stream's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u32,
    served: u32,
}

impl Tally {
    fn served_share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent)
    }
}

/// Whether all requests of a route take the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkTimes {
    Equal,
    /// From half to one and a half times the route's time.
    Varying,
}

/// Plays streams of requests against one proxy's policy.
struct CalmRun {
    fixture: Fixture,
    now: Ticks,
    running: VecDeque<Running>,
    work_times: WorkTimes,
    random: SmallRng,
}

impl CalmRun {
    fn start(streams: &[RouteStream], work_times: WorkTimes) -> CalmRun {
        let list = ["s", "other"].iter().flat_map(|service| {
            [("1", "east-a"), ("2", "east-b")].map(|(number, zone)| Backend {
                capacity: SLOTS as u32 / 2,
                ..backend(&format!("{service}{number}"), service, zone)
            })
        });
        let mut fixture = Fixture::start(Vec::new(), None);
        fixture.apply_update(Update::Register(register_of(2, streams)));
        fixture.set_backends(list.collect());
        let random = SmallRng::seed_from_u64(75);
        CalmRun { fixture, now: SECOND, running: VecDeque::new(), work_times, random }
    }

    /// Lets clients send each stream's requests for `span`. Requests that are sent before `counted_from` are not counted.
    fn play(&mut self, streams: &[RouteStream], span: Ticks, counted_from: Ticks) -> Vec<Tally> {
        let (start, end) = (self.now, self.now + span);
        let mut tallies = vec![Tally::default(); streams.len()];
        while self.now < end {
            self.now = self.now + Ticks(TICKS_PER_MS);
            self.complete_attempts();
            for (stream, tally) in streams.iter().zip(&mut tallies) {
                let is_due = (self.now - start).0 % (stream.interval_ms * TICKS_PER_MS) == 0;
                if !is_due {
                    continue;
                }
                let is_served = self.send(stream);
                if self.now - start >= counted_from {
                    tally.sent += 1;
                    tally.served += u32::from(is_served);
                }
            }
        }
        tallies
    }

    fn complete_attempts(&mut self) {
        while let Some(index) = self.running.iter().position(|running| running.ends_at <= self.now) {
            let Running { txn, latency, .. } = self.running.remove(index).expect("it was just found");
            self.fixture.complete_at(self.now, txn, 0, Outcome::Succeeded, latency);
        }
    }

    /// Sends one request and returns whether it is served before its deadline.
    fn send(&mut self, stream: &RouteStream) -> bool {
        let expiry = self.now + Ticks(stream.deadline_ms * TICKS_PER_MS);
        let path = format!("/{}/x", stream.name);
        let (txn, actions) = self.fixture.send_request_at(self.now, &path, expiry);
        let [Action::SendAttempt { .. }] = actions.as_slice() else {
            return false;
        };
        let factor = match self.work_times {
            WorkTimes::Equal => 1.0,
            WorkTimes::Varying => self.random.random_range(0.5..1.5),
        };
        let latency = Ticks(stream.work_ms * TICKS_PER_MS).times(factor);
        self.running.push_back(Running { ends_at: self.now + latency, txn, latency });
        assert!(self.running.len() < SLOTS / 2, "the case is not calm");
        self.now + latency <= expiry
    }
}

/// Plays `before`, replaces the configuration, and plays `after`, whose streams must all be served.
fn assert_served_after_change(before: &[RouteStream], after: &[RouteStream]) {
    for work_times in [WorkTimes::Equal, WorkTimes::Varying] {
        let mut run = CalmRun::start(before, work_times);
        run.play(before, BEFORE_CHANGE, Ticks(0));
        run.fixture.policy.apply_update(run.now, Update::Register(register_of(3, after)));
        let tallies = run.play(after, AFTER_CHANGE, APPLY_DEADLINE);
        let is_starved = |tally: &Tally| tally.served_share() < MIN_SERVED_SHARE;
        assert!(!tallies.iter().any(is_starved), "{work_times:?} {before:#?} {after:#?} {tallies:?}");
    }
}

/// Guards against requests that are judged by the latencies of another route, or by a target that their route does not have
/// any more (review/6: 0 of 100 requests of a route that was added to a service with slower requests).
#[parameterized(
    a_route_is_added = { &[REPORT], &[REPORT, LOOKUP] },
    a_mutating_route_is_added = { &[REPORT], &[REPORT, BOOKING] },
    a_slow_route_is_added = { &[LOOKUP], &[LOOKUP, REPORT] },
    the_deadline_is_shortened = { &[REPORT, LOOKUP], &[RouteStream { deadline_ms: 1_500, ..REPORT }, LOOKUP] },
    the_target_is_tightened = { &[REPORT, LOOKUP], &[RouteStream { target_ms: 500, ..REPORT }, LOOKUP] },
    the_target_cannot_be_met = { &[REPORT, LOOKUP], &[RouteStream { target_ms: 100, ..REPORT }, LOOKUP] },
    read_only_becomes_mutating = { &[REPORT, LOOKUP], &[RouteStream { kind: WRITE, ..REPORT }, RouteStream { kind: WRITE, ..LOOKUP }] },
    mutating_becomes_read_only = { &[REPORT, BOOKING], &[REPORT, RouteStream { kind: READ, ..BOOKING }] },
    a_route_moves_to_the_slow_service = { &[REPORT, RouteStream { service: "other", ..LOOKUP }], &[REPORT, LOOKUP] },
    a_route_moves_away_from_the_slow_service = { &[REPORT, LOOKUP], &[REPORT, RouteStream { service: "other", ..LOOKUP }] },
    the_slow_route_moves_in = { &[RouteStream { service: "other", ..REPORT }, LOOKUP], &[REPORT, LOOKUP] },
)]
fn routes_are_served_after_a_change(before: &[RouteStream], after: &[RouteStream]) {
    assert_served_after_change(before, after);
}

/// Guards against the same without a change: routes of the first configuration that differ only in the time that their
/// requests take, or whose requests take a large part of their target.
#[parameterized(
    same_class_and_different_times = { &[REPORT, RouteStream { name: "lookup", deadline_ms: 1_500, work_ms: 20, ..REPORT }] },
    same_class_of_mutating_routes = { &[RouteStream { kind: WRITE, ..REPORT }, RouteStream { name: "booking", kind: WRITE, deadline_ms: 1_500, work_ms: 20, ..REPORT }] },
    slow_and_fast = { &[REPORT, LOOKUP] },
    slow_and_fast_mutating = { &[RouteStream { kind: WRITE, ..REPORT }, BOOKING] },
    a_few_slow_and_many_fast = { &[REPORT, RouteStream { interval_ms: 5, ..LOOKUP }] },
    many_slow_and_a_few_fast = { &[RouteStream { interval_ms: 100, ..REPORT }, RouteStream { interval_ms: 1_000, ..LOOKUP }] },
    a_deadline_of_twice_the_time = { &[RouteStream { deadline_ms: 2_000, ..REPORT }, LOOKUP] },
    a_target_of_the_time_itself = { &[RouteStream { target_ms: 1_000, ..REPORT }, LOOKUP] },
    alone = { &[REPORT] },
)]
fn routes_are_served_from_the_first_configuration_on(streams: &[RouteStream]) {
    assert_served_after_change(streams, streams);
}

/// Guards against a rejection that keeps itself from learning: while all requests of a route are rejected because they take
/// longer than their clients wait, another route's requests go on.
#[test]
fn a_route_whose_requests_become_fast_is_served_again() {
    let hopeless = RouteStream { work_ms: 2_500, ..LOOKUP };
    let mut run = CalmRun::start(&[REPORT, LOOKUP], WorkTimes::Equal);
    run.play(&[REPORT, hopeless], BEFORE_CHANGE, Ticks(0));
    let tallies = run.play(&[REPORT, LOOKUP], AFTER_CHANGE, APPLY_DEADLINE);
    assert!(tallies.iter().all(|tally| tally.served_share() >= MIN_SERVED_SHARE), "{tallies:?}");
}
