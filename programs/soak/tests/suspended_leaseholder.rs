//! A leaseholder that is suspended with SIGSTOP must not return outdated responses after SIGCONT, when another controller
//! may hold the lease. The suspension can fall between its last check of the lease and the write of a response.

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

/// Default number of suspensions in each test. The environment variable `SUSPENSIONS` overrides it.
const DEFAULT_SUSPENSIONS: u64 = 3;
const READERS: usize = 6;
/// Exceeds the duration of a lease plus an election.
const SUSPENSION_TIME: Duration = Duration::from_millis(2500);
/// Shorter than the duration of a lease.
const SHORT_SUSPENSION_TIME: Duration = Duration::from_millis(500);
/// Time after a suspension in which pending reads complete and all controllers follow one leaseholder again.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Exceeds the duration of a suspension, so that readers wait for the response of a suspended controller.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which a controller must hold the lease or acknowledge a configuration.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Revisions with the times of their acknowledgements, in the order of time.
#[derive(Default)]
struct Acknowledged(Mutex<Vec<(Instant, u64)>>);

impl Acknowledged {
    fn record(&self, revision: u64) {
        self.0.lock().expect("no thread panics with the lock held").push((Instant::now(), revision));
    }

    /// Returns the newest revision that was acknowledged before this time, or 0.
    fn newest_before(&self, time: Instant) -> u64 {
        let acknowledged = self.0.lock().expect("no thread panics with the lock held");
        acknowledged.iter().filter(|(at, _)| *at < time).map(|(_, revision)| *revision).max().unwrap_or(0)
    }
}

/// Numbers of reads that returned a configuration.
#[derive(Default)]
struct ReadCounts {
    completed: AtomicU64,
    /// Reads that were up to date when they were sent, but older than a revision acknowledged before the response arrived.
    overtaken: AtomicU64,
}

fn call(to: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, RESPONSE_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    write_message(&mut stream, &format!("{method} {path} HTTP/1.1"), &[("Host", "any")], "").ok()?;
    let response = read_message(&mut stream).ok()??;
    Some((response.status(), response.body))
}

/// Reads the configuration from a controller. Returns its revision, or `None` if the controller did not return it.
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
        counts.completed.fetch_add(1, Ordering::Relaxed);
        let is_overtaken = revision < acknowledged.newest_before(Instant::now());
        counts.overtaken.fetch_add(u64::from(is_overtaken), Ordering::Relaxed);
    }
}

fn leaseholder(controllers: &[SocketAddr]) -> usize {
    let started = Instant::now();
    loop {
        let leaseholder = controllers.iter().position(|controller| read_revision(*controller).is_some());
        if let Some(leaseholder) = leaseholder {
            return leaseholder;
        }
        assert!(
            started.elapsed() < RECOVERY_TIMEOUT,
            "no controller holds the lease after {RECOVERY_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(20));
    }
}

/// Sends a configuration to a suspended controller and closes the connection without waiting for a response.
fn send_and_close(controller: SocketAddr, revision: u64) {
    let mut stream =
        TcpStream::connect_timeout(&controller, RESPONSE_TIMEOUT).expect("the kernel accepts the connection");
    let body = config(revision, |_| {});
    let request_line = "POST /-/Configuration.Replace HTTP/1.1";
    write_message(&mut stream, request_line, &[("Host", "any")], &body)
        .expect("the kernel buffers the request");
}

/// An operator that records its acknowledged revisions.
struct RecordingOperator {
    operator: Operator,
    acknowledged: Acknowledged,
}

impl RecordingOperator {
    fn replace(&self, revision: u64) {
        let started = Instant::now();
        let gives_up = || started.elapsed() > RECOVERY_TIMEOUT;
        assert!(
            self.operator.replace_configuration(revision, gives_up),
            "r{revision} is not acknowledged after {RECOVERY_TIMEOUT:?}"
        );
        self.acknowledged.record(revision);
    }
}

/// A cluster with its operator and a first configuration.
struct TestCluster {
    cluster: SoakCluster,
    controllers: Vec<SocketAddr>,
    operator: RecordingOperator,
}

impl TestCluster {
    fn start() -> TestCluster {
        let history = SharedHistory::default();
        let executable = Path::new(env!("CARGO_BIN_EXE_vanewharf-soak"));
        let cluster = SoakCluster::start(executable, history.clone()).expect("the cluster starts");
        let controllers = cluster.controller_addresses();
        let operator = Operator { controllers: controllers.clone(), history };
        let operator = RecordingOperator { operator, acknowledged: Acknowledged::default() };
        operator.replace(1);
        TestCluster { cluster, controllers, operator }
    }
}

fn suspensions() -> u64 {
    let requested = std::env::var("SUSPENSIONS").ok().and_then(|text| text.parse().ok());
    requested.unwrap_or(DEFAULT_SUSPENSIONS)
}

/// A read must not return a revision older than one acknowledged before it was sent, at whatever point the leaseholder was
/// suspended.
#[test]
fn a_suspended_leaseholder_returns_no_revision_older_than_one_acknowledged_before() {
    let mut test = TestCluster::start();
    let counts = ReadCounts::default();
    for suspension in 1..=suspensions() {
        let revision = 1 + suspension;
        let suspended = leaseholder(&test.controllers);
        let controller = test.controllers[suspended];
        // Suspends the leaseholder at a random point of its work.
        let work_time = Duration::from_micros(rand::rng().random_range(0..200_000));
        let stop = &AtomicBool::new(false);
        thread::scope(|scope| {
            let TestCluster { cluster, operator, .. } = &mut test;
            for _ in 0..READERS {
                scope.spawn(|| read_until(stop, controller, &operator.acknowledged, &counts));
            }
            sleep(work_time);
            cluster.execute(Action::Pause(suspended)).expect("the signal can be sent");
            let suspended_at = Instant::now();
            operator.replace(revision);
            sleep(SUSPENSION_TIME.saturating_sub(suspended_at.elapsed()));
            cluster.execute(Action::Resume(suspended)).expect("the signal can be sent");
            sleep(SETTLE_TIME);
            stop.store(true, Ordering::Relaxed);
        });
        let current = leaseholder(&test.controllers);
        assert_eq!(read_revision(test.controllers[current]), Some(revision));
    }
    let (completed, overtaken) = (counts.completed.into_inner(), counts.overtaken.into_inner());
    println!("{} suspensions: {completed} reads, {overtaken} overtaken by an acknowledgement", suspensions());
    assert!(completed > 0);
}

/// A command whose sender closes the connection while the leaseholder is suspended must not be executed. The suspension is
/// shorter than the lease, so the leaseholder still holds it when it reads the command and the end of the connection.
#[test]
fn a_command_whose_sender_has_disconnected_is_not_executed() {
    let mut test = TestCluster::start();
    for suspension in 1..=suspensions() {
        let (newest, abandoned) = (10 * suspension, 10 * suspension + 5);
        test.operator.replace(newest);
        let current = leaseholder(&test.controllers);
        test.cluster.execute(Action::Pause(current)).expect("the signal can be sent");
        send_and_close(test.controllers[current], abandoned);
        sleep(SHORT_SUSPENSION_TIME);
        test.cluster.execute(Action::Resume(current)).expect("the signal can be sent");
        sleep(SETTLE_TIME);
        let current = leaseholder(&test.controllers);
        assert_eq!(read_revision(test.controllers[current]), Some(newest), "suspension {suspension}");
    }
}
