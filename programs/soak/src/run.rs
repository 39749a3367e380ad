//! One run: executes the faults of a seed, and then checks recovery after the faults.

use crate::checker::{Executions, Violation, check};
use crate::clients::Client;
use crate::cluster::SoakCluster;
use crate::fault_plan::{Action, CONTROLLERS, MACHINES, SHUTDOWN_TIMEOUT, ScheduledAction, plan};
use crate::history::{ClientOutcome, ClientRequest, SharedHistory};
use crate::operators::Operator;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};
use thiserror::Error;
use vanewharf_testkit::backend::FakeBackend;
use vanewharf_testkit::http::send_request;

const CLIENTS_PER_PROXY: usize = 4;
const OPERATORS: usize = 2;
/// Time within which the cluster must acknowledge the first configuration, and serve requests again after the faults.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const EVACUATED_ZONE: &str = "west-a";
/// Requests to each proxy that check that an evacuation has survived the restart of all processes.
const REQUESTS_AFTER_RECOVERY: usize = 12;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The executable of the soak, which each process runs as one program of the system.
    pub executable: PathBuf,
    /// Length of the fault phase, in which faults begin.
    pub length: Duration,
    /// Whether the directory with logs and data is kept if the run fails.
    pub keep_failed: bool,
}

/// The outcome of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The seed of the run.
    pub seed: u64,
    /// Number of requests that clients sent.
    pub requests: usize,
    /// Number of requests with status 200.
    pub served: usize,
    /// Number of acknowledged configurations.
    pub acknowledged: usize,
    /// Number of actions in the fault plan.
    pub actions: usize,
    /// The violations that were found.
    pub violations: Vec<Violation>,
    /// The directory with logs and data, if it was kept.
    pub retained: Option<PathBuf>,
}

/// The reason why a run could not be completed.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A file or process operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A condition did not hold within the recovery time.
    #[error("timed out waiting until {0}")]
    Timeout(&'static str),
}

/// Runs one seed.
///
/// # Errors
///
/// If a process cannot be started or a file operation fails, or the cluster does not start, recover or shut down in time.
pub fn run(seed: u64, options: &SoakOptions) -> Result<Outcome, SoakError> {
    let history = SharedHistory::default();
    let cluster = SoakCluster::start(&options.executable, history.clone())?;
    let operator = Operator { controllers: cluster.controller_addresses(), history: history.clone() };
    let actions = plan(seed, options.length);
    let mut run = Run { seed, cluster, operator, last_revision: AtomicU64::new(0), actions };
    let result = run.execute();
    let Run { cluster, actions, .. } = run;
    history.lock().process_violations.extend(cluster.logged_violations());
    let recorded = history.lock().clone();
    let violations = check(&recorded, &count_executions(cluster.backends()));
    let failed = result.is_err() || !violations.is_empty();
    let retained = (failed && options.keep_failed).then(|| cluster.keep_directory());
    if let (Err(error), Some(retained)) = (&result, &retained) {
        eprintln!("seed {seed}: {error}; logs in {}", retained.display());
    }
    result?;
    let is_served =
        |request: &&ClientRequest| matches!(request.outcome, ClientOutcome::Answered { status: 200, .. });
    Ok(Outcome {
        seed,
        requests: recorded.requests.len(),
        served: recorded.requests.iter().filter(is_served).count(),
        acknowledged: recorded
            .replacements
            .iter()
            .filter(|replacement| replacement.acknowledged.is_some())
            .count(),
        actions: actions.len(),
        violations,
        retained,
    })
}

/// A run in progress.
struct Run {
    seed: u64,
    cluster: SoakCluster,
    operator: Operator,
    /// The newest revision that was used.
    last_revision: AtomicU64,
    actions: Vec<ScheduledAction>,
}

impl Run {
    fn execute(&mut self) -> Result<(), SoakError> {
        self.send_configuration()?;
        wait_until_served(&self.cluster)?;
        self.run_fault_phase()?;
        self.cluster.end_all_faults()?;
        self.check_recovery_from_full_restart()?;
        self.shut_down_all()
    }

    /// Executes the fault plan while clients and operators send requests.
    fn run_fault_phase(&mut self) -> Result<(), SoakError> {
        let Run { cluster, operator, last_revision, actions, .. } = self;
        let (operator, last_revision) = (&*operator, &*last_revision);
        let stop = &AtomicBool::new(false);
        thread::scope(|scope| {
            for client in clients(cluster, operator) {
                scope.spawn(move || client.run(stop));
            }
            for _ in 0..OPERATORS {
                scope.spawn(|| operator.replace_configurations(last_revision, stop));
            }
            scope.spawn(|| operator.toggle_evacuation(EVACUATED_ZONE, stop));
            scope.spawn(|| operator.read_configurations(stop));
            let result = execute_actions(cluster, actions);
            stop.store(true, Ordering::Relaxed);
            result
        })
    }

    /// Kills all processes right after an evacuation and a configuration are acknowledged, and checks that both survive. Also
    /// wipes a disk if the fault plan has not.
    fn check_recovery_from_full_restart(&mut self) -> Result<(), SoakError> {
        let sent = Instant::now();
        let path = format!("/-/Evacuation.Begin/{EVACUATED_ZONE}");
        let status =
            self.operator.send_until_definite("POST", &path, "", || sent.elapsed() > RECOVERY_TIMEOUT);
        status.ok_or(SoakError::Timeout("an evacuation is acknowledged after the faults"))?;
        self.send_configuration()?;
        (0..MACHINES).try_for_each(|machine| self.cluster.execute(Action::Kill(machine)))?;
        let has_wiped = self.actions.iter().any(|scheduled| matches!(scheduled.action, Action::WipeDisk(_)));
        if !has_wiped {
            let controller = StdRng::seed_from_u64(self.seed).random_range(0..CONTROLLERS);
            self.cluster.execute(Action::WipeDisk(controller))?;
        }
        self.cluster.end_all_faults()?;
        let operator = &self.operator;
        wait_until("the configuration can be read after the restart", || {
            operator.read_configuration().is_some()
        })?;
        wait_until_served(&self.cluster)?;
        self.check_evacuation();
        Ok(())
    }

    /// Sends requests and records a violation if any of them reaches the evacuated zone.
    fn check_evacuation(&self) {
        let count_in_zone = || {
            let backends = self.cluster.backends().iter().filter(|backend| backend.zone == EVACUATED_ZONE);
            backends.map(|backend| backend.executed_requests().len()).sum::<usize>()
        };
        let before = count_in_zone();
        for number in 0..REQUESTS_AFTER_RECOVERY {
            for (_, proxy) in self.cluster.proxy_addresses() {
                // The response is ignored: only the zone that executes the request matters.
                let _ = send_read(proxy, &format!("after-{number}"));
            }
        }
        let after = count_in_zone();
        if after > before {
            let violation =
                format!("evacuation lost after restart: {} requests reached the zone", after - before);
            self.operator.history.lock().process_violations.push(violation);
        }
    }

    /// Sends SIGTERM to all programs, which must exit in time.
    fn shut_down_all(&mut self) -> Result<(), SoakError> {
        (0..MACHINES).try_for_each(|machine| self.cluster.execute(Action::Terminate(machine)))?;
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        let mut running: Vec<usize> = (0..MACHINES).collect();
        while !running.is_empty() && Instant::now() < deadline {
            running.retain(|machine| !self.cluster.has_exited(*machine));
            sleep(POLL_INTERVAL);
        }
        match running.is_empty() {
            true => Ok(()),
            false => Err(SoakError::Timeout("all programs exit after SIGTERM")),
        }
    }

    fn send_configuration(&self) -> Result<(), SoakError> {
        let revision = self.last_revision.fetch_add(1, Ordering::Relaxed) + 1;
        let started = Instant::now();
        match self.operator.replace_configuration(revision, || started.elapsed() > RECOVERY_TIMEOUT) {
            true => Ok(()),
            false => Err(SoakError::Timeout("a configuration is acknowledged")),
        }
    }
}

/// Returns the clients of all proxies. Half of the clients of each proxy reuse their connections.
fn clients(cluster: &SoakCluster, operator: &Operator) -> Vec<Client> {
    let proxies = cluster.proxy_addresses().into_iter();
    let clients = proxies.flat_map(|proxy| (0..CLIENTS_PER_PROXY).map(move |number| (proxy, number)));
    let client = |((machine, proxy), number)| {
        let history = operator.history.clone();
        Client { proxy, machine, reuses_connections: number % 2 == 0, history }
    };
    clients.map(client).collect()
}

/// Executes the actions at their times, and restarts processes that exit in between.
fn execute_actions(cluster: &mut SoakCluster, actions: &[ScheduledAction]) -> Result<(), SoakError> {
    let started = Instant::now();
    for scheduled in actions {
        while started.elapsed() < scheduled.at {
            sleep(POLL_INTERVAL.min(scheduled.at.saturating_sub(started.elapsed())));
            cluster.supervise()?;
        }
        cluster.execute(scheduled.action)?;
    }
    Ok(())
}

fn wait_until_served(cluster: &SoakCluster) -> Result<(), SoakError> {
    cluster.proxy_addresses().into_iter().try_for_each(|(_, proxy)| {
        wait_until("all proxies serve requests", || {
            send_read(proxy, "probe").is_some_and(|status| status == 200)
        })
    })
}

/// Sends a read-only request to a proxy and returns the status of the response.
fn send_read(proxy: SocketAddr, attempt: &str) -> Option<u16> {
    let headers = [("Host", "shop.example"), ("Attempt-Id", attempt), ("X-Api-Key", "key-a")];
    send_request(proxy, "GET", "/read/x", &headers, "").ok().map(|response| response.status())
}

fn wait_until(description: &'static str, mut holds: impl FnMut() -> bool) -> Result<(), SoakError> {
    let started = Instant::now();
    while !holds() {
        if started.elapsed() > RECOVERY_TIMEOUT {
            return Err(SoakError::Timeout(description));
        }
        sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn count_executions(backends: &[FakeBackend]) -> Executions {
    let mut executions = Executions::new();
    for request in backends.iter().flat_map(FakeBackend::executed_requests) {
        *executions.entry(request.attempt).or_default() += 1;
    }
    executions
}
