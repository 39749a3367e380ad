//! A leaseholder that is suspended (SIGSTOP) at any point of its work, also between its last look at the lease and the write
//! of an answer, and continued when another one holds the lease.

use rand::Rng;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};
use vanewharf_soak::cluster::SoakCluster;
use vanewharf_soak::fault_plan::Action;
use vanewharf_soak::history::SharedHistory;
use vanewharf_soak::operators::Operator;
use vanewharf_testkit::config::config;
use vanewharf_testkit::http::{read_message, write_message};

/// How often a leaseholder is suspended; `SUSPENSIONS` asks for more.
const SUSPENSIONS: u64 = 3;
const READERS: usize = 6;
/// Longer than a lease and an election last.
const SUSPENSION_TIME: Duration = Duration::from_millis(2500);
/// Shorter than a lease lasts.
const SHORT_SUSPENSION_TIME: Duration = Duration::from_millis(500);
/// Between two suspensions: all pending reads are answered, and the controllers follow one leaseholder again.
const CALM_TIME: Duration = Duration::from_millis(1500);
/// A reader waits for longer than a suspension lasts.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// For anything that must come about.
const RECOVERY_TIME: Duration = Duration::from_secs(20);

/// When each revision was acknowledged, in that order.
#[derive(Default)]
struct Acknowledged(Mutex<Vec<(Instant, u64)>>);

impl Acknowledged {
    fn record(&self, revision: u64) {
        self.0.lock().expect("no panic").push((Instant::now(), revision));
    }

    /// The newest revision that was acknowledged before.
    fn newest_before(&self, moment: Instant) -> u64 {
        let acknowledged = self.0.lock().expect("no panic");
        acknowledged.iter().filter(|(at, _)| *at < moment).map(|(_, revision)| *revision).max().unwrap_or(0)
    }
}

/// What readers have seen.
#[derive(Default)]
struct ReadCounts {
    certain: AtomicU64,
    /// Older than what was acknowledged by the time that the answer came, though not than what was when it was sent.
    overtaken: AtomicU64,
}

fn call(to: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, ANSWER_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    write_message(&mut stream, &format!("{method} {path} HTTP/1.1"), &[("Host", "any")], "").ok()?;
    let answer = read_message(&mut stream).ok()??;
    Some((answer.status(), answer.body))
}

/// The revision that a controller is certain of.
fn read_revision(controller: SocketAddr) -> Option<u64> {
    let (status, body) = call(controller, "GET", "/-/Configuration.Read")?;
    let configuration: serde_json::Value = serde_json::from_str(&body).ok().filter(|_| status == 200)?;
    configuration["revision"].as_str()?.strip_prefix('r')?.parse().ok()
}

fn read_until(stop: &AtomicBool, controller: SocketAddr, acknowledged: &Acknowledged, counts: &ReadCounts) {
    while !stop.load(Ordering::Relaxed) {
        let sent = Instant::now();
        let Some(revision) = read_revision(controller) else {
            sleep(Duration::from_millis(2));
            continue;
        };
        let before = acknowledged.newest_before(sent);
        assert!(revision >= before, "r{revision} was read after r{before} was acknowledged");
        counts.certain.fetch_add(1, Ordering::Relaxed);
        let is_overtaken = revision < acknowledged.newest_before(Instant::now());
        counts.overtaken.fetch_add(u64::from(is_overtaken), Ordering::Relaxed);
    }
}

fn leaseholder(controllers: &[SocketAddr]) -> usize {
    let started = Instant::now();
    loop {
        let holder = controllers.iter().position(|controller| read_revision(*controller).is_some());
        if let Some(holder) = holder {
            return holder;
        }
        assert!(started.elapsed() < RECOVERY_TIME, "a controller holds the lease");
        sleep(Duration::from_millis(20));
    }
}

/// Sends a configuration to a controller that is suspended, and gives up: the connection is closed.
fn send_and_give_up(controller: SocketAddr, revision: u64) {
    let mut stream = TcpStream::connect_timeout(&controller, ANSWER_TIMEOUT).expect("the kernel accepts");
    let body = config(revision, |_| {});
    let request_line = "POST /-/Configuration.Replace HTTP/1.1";
    write_message(&mut stream, request_line, &[("Host", "any")], &body).expect("the kernel takes it");
}

/// An operator whose acknowledgements are recorded.
struct RecordingOperator {
    operator: Operator,
    acknowledged: Acknowledged,
}

impl RecordingOperator {
    fn replace(&self, revision: u64) {
        let started = Instant::now();
        let gives_up = || started.elapsed() > RECOVERY_TIME;
        assert!(self.operator.replace_configuration(revision, gives_up), "r{revision} is acknowledged");
        self.acknowledged.record(revision);
    }
}

/// A cluster with one configuration.
struct TestCluster {
    cluster: SoakCluster,
    controllers: Vec<SocketAddr>,
    operator: RecordingOperator,
}

impl TestCluster {
    fn start() -> TestCluster {
        let history = SharedHistory::default();
        let executable = Path::new(env!("CARGO_BIN_EXE_vanewharf-soak"));
        let cluster = SoakCluster::start(executable, history.clone()).expect("a cluster");
        let controllers = cluster.controller_addresses();
        let operator = Operator { controllers: controllers.clone(), history };
        let operator = RecordingOperator { operator, acknowledged: Acknowledged::default() };
        operator.replace(1);
        TestCluster { cluster, controllers, operator }
    }
}

fn suspensions() -> u64 {
    let asked_for = std::env::var("SUSPENSIONS").ok().and_then(|text| text.parse().ok());
    asked_for.unwrap_or(SUSPENSIONS)
}

/// A read is never older than what was acknowledged before it was sent, at whatever point the process was suspended.
#[test]
fn a_suspended_leaseholder_answers_nothing_older_than_was_acknowledged_before() {
    let mut test = TestCluster::start();
    let counts = ReadCounts::default();
    for suspension in 1..=suspensions() {
        let revision = 1 + suspension;
        let suspended = leaseholder(&test.controllers);
        let controller = test.controllers[suspended];
        // At any moment of their work.
        let work_time = Duration::from_micros(rand::rng().random_range(0..200_000));
        let stop = &AtomicBool::new(false);
        thread::scope(|scope| {
            let TestCluster { cluster, operator, .. } = &mut test;
            for _ in 0..READERS {
                scope.spawn(|| read_until(stop, controller, &operator.acknowledged, &counts));
            }
            sleep(work_time);
            cluster.execute(Action::Pause(suspended)).expect("a signal");
            let suspended_at = Instant::now();
            operator.replace(revision);
            sleep(SUSPENSION_TIME.saturating_sub(suspended_at.elapsed()));
            cluster.execute(Action::Resume(suspended)).expect("a signal");
            sleep(CALM_TIME);
            stop.store(true, Ordering::Relaxed);
        });
        let holder = leaseholder(&test.controllers);
        assert_eq!(read_revision(test.controllers[holder]), Some(revision));
    }
    let (certain, overtaken) = (counts.certain.into_inner(), counts.overtaken.into_inner());
    println!("{} suspensions: {certain} reads, {overtaken} overtaken on their way", suspensions());
    assert!(certain > 0);
}

/// The caller has gone by the time that the process, which holds the lease all the while, goes on: the end of the connection
/// is there with the order.
#[test]
fn an_order_whose_caller_has_gone_meanwhile_is_not_carried_out() {
    let mut test = TestCluster::start();
    for suspension in 1..=suspensions() {
        let (newest, given_up) = (10 * suspension, 10 * suspension + 5);
        test.operator.replace(newest);
        let holder = leaseholder(&test.controllers);
        test.cluster.execute(Action::Pause(holder)).expect("a signal");
        send_and_give_up(test.controllers[holder], given_up);
        sleep(SHORT_SUSPENSION_TIME);
        test.cluster.execute(Action::Resume(holder)).expect("a signal");
        sleep(CALM_TIME);
        let holder = leaseholder(&test.controllers);
        assert_eq!(read_revision(test.controllers[holder]), Some(newest), "suspension {suspension}");
    }
}
