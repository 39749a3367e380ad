//! One run: the faults of a seed, and then what must hold once they are over.

use crate::checker::{Executions, Violation, check};
use crate::clients::Client;
use crate::cluster::SoakCluster;
use crate::fault_plan::{Action, CONTROLLERS, MACHINES, ScheduledAction, TERMINATION_TIME, plan};
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
/// For the first configuration, and for service to come back once all faults are over.
const RECOVERY_TIME: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const EVACUATED_ZONE: &str = "west-a";
/// Requests that show that an evacuation outlasted the last fault.
const REQUESTS_AFTER_RECOVERY: usize = 12;

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The soak's own executable: processes run it as one program each.
    pub executable: PathBuf,
    /// How long faults begin.
    pub length: Duration,
    /// Whether a run's directory, with logs and disks, is kept where something was violated.
    pub keep_failed: bool,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The run's seed.
    pub seed: u64,
    /// Requests that clients sent.
    pub requests: usize,
    /// Those that were answered 200.
    pub served: usize,
    /// Configurations that were acknowledged.
    pub acknowledged: usize,
    /// Actions of the plan.
    pub actions: usize,
    /// What did not hold.
    pub violations: Vec<Violation>,
    /// Where logs and disks were retained.
    pub retained: Option<PathBuf>,
}

/// Why a run could not be carried through.
#[derive(Debug, Error)]
pub enum SoakError {
    /// Files or processes.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Something that must come about did not.
    #[error("not within {RECOVERY_TIME:?}: {0}")]
    NotInTime(&'static str),
}

/// Runs one seed.
///
/// # Errors
///
/// Where processes cannot be started, or service does not come back after the faults.
pub fn run(seed: u64, options: &SoakOptions) -> Result<Outcome, SoakError> {
    let history = SharedHistory::default();
    let cluster = SoakCluster::start(&options.executable, history.clone())?;
    let operator = Operator { controllers: cluster.controller_addresses(), history: history.clone() };
    let actions = plan(seed, options.length);
    let mut run = Run { seed, cluster, operator, last_revision: AtomicU64::new(0), actions };
    let result = run.play();
    let Run { cluster, actions, .. } = run;
    history.lock().complaints.extend(cluster.complaints());
    let seen = history.lock().clone();
    let violations = check(&seen, &count_executions(cluster.backends()));
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
        requests: seen.requests.len(),
        served: seen.requests.iter().filter(is_served).count(),
        acknowledged: seen.orders.iter().filter(|order| order.acknowledged.is_some()).count(),
        actions: actions.len(),
        violations,
        retained,
    })
}

/// A run that is under way.
struct Run {
    seed: u64,
    cluster: SoakCluster,
    operator: Operator,
    /// The last number that was given to a configuration.
    last_revision: AtomicU64,
    actions: Vec<ScheduledAction>,
}

impl Run {
    fn play(&mut self) -> Result<(), SoakError> {
        self.send_configuration()?;
        wait_until_served(&self.cluster)?;
        self.play_faults()?;
        self.cluster.heal()?;
        self.lose_all_processes()?;
        self.exit_in_order()
    }

    /// Carries out the plan, with clients and operators at work.
    fn play_faults(&mut self) -> Result<(), SoakError> {
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
            scope.spawn(|| operator.evacuate_by_turns(EVACUATED_ZONE, stop));
            scope.spawn(|| operator.read_configurations(stop));
            let result = carry_out(cluster, actions);
            stop.store(true, Ordering::Relaxed);
            result
        })
    }

    /// Kills everything right after acknowledgements, with a disk lost where the plan has lost none, and checks that what
    /// was acknowledged is there afterwards.
    fn lose_all_processes(&mut self) -> Result<(), SoakError> {
        let sent = Instant::now();
        let path = format!("/-/Evacuation.Begin/{EVACUATED_ZONE}");
        let status = self.operator.send_until_clear("POST", &path, "", || sent.elapsed() > RECOVERY_TIME);
        status.ok_or(SoakError::NotInTime("an evacuation is acknowledged after the faults"))?;
        self.send_configuration()?;
        (0..MACHINES).try_for_each(|machine| self.cluster.execute(Action::Kill(machine)))?;
        let has_wiped = self.actions.iter().any(|scheduled| matches!(scheduled.action, Action::WipeDisk(_)));
        if !has_wiped {
            let controller = StdRng::seed_from_u64(self.seed).random_range(0..CONTROLLERS);
            self.cluster.execute(Action::WipeDisk(controller))?;
        }
        self.cluster.heal()?;
        let operator = &self.operator;
        wait_until("the configuration is read after the last fault", || {
            operator.read_configuration().is_some()
        })?;
        wait_until_served(&self.cluster)?;
        self.check_evacuation();
        Ok(())
    }

    /// Requests after the last fault must not reach the evacuated zone.
    fn check_evacuation(&self) {
        let in_zone = || {
            let backends = self.cluster.backends().iter().filter(|backend| backend.zone == EVACUATED_ZONE);
            backends.map(|backend| backend.executed_requests().len()).sum::<usize>()
        };
        let before = in_zone();
        for number in 0..REQUESTS_AFTER_RECOVERY {
            for (_, proxy) in self.cluster.proxy_addresses() {
                // Whatever the answer: only where it was run counts.
                let _ = read(proxy, &format!("after-{number}"));
            }
        }
        let after = in_zone();
        if after > before {
            let complaint = format!("the evacuation was lost: {} requests reached the zone", after - before);
            self.operator.history.lock().complaints.push(complaint);
        }
    }

    /// All machines must exit within the grace period.
    fn exit_in_order(&mut self) -> Result<(), SoakError> {
        (0..MACHINES).try_for_each(|machine| self.cluster.execute(Action::Terminate(machine)))?;
        let deadline = Instant::now() + TERMINATION_TIME;
        let mut running: Vec<usize> = (0..MACHINES).collect();
        while !running.is_empty() && Instant::now() < deadline {
            running.retain(|machine| !self.cluster.has_exited(*machine));
            sleep(POLL_INTERVAL);
        }
        match running.is_empty() {
            true => Ok(()),
            false => Err(SoakError::NotInTime("all machines exit after SIGTERM")),
        }
    }

    fn send_configuration(&self) -> Result<(), SoakError> {
        let revision = self.last_revision.fetch_add(1, Ordering::Relaxed) + 1;
        let started = Instant::now();
        match self.operator.replace_configuration(revision, || started.elapsed() > RECOVERY_TIME) {
            true => Ok(()),
            false => Err(SoakError::NotInTime("a configuration is acknowledged")),
        }
    }
}

/// Half of each proxy's clients keep their connections.
fn clients(cluster: &SoakCluster, operator: &Operator) -> Vec<Client> {
    let proxies = cluster.proxy_addresses().into_iter();
    let clients = proxies.flat_map(|proxy| (0..CLIENTS_PER_PROXY).map(move |number| (proxy, number)));
    let client = |((machine, proxy), number)| {
        let history = operator.history.clone();
        Client { proxy, machine, reuses_connections: number % 2 == 0, history }
    };
    clients.map(client).collect()
}

/// Carries out the actions when they are due.
fn carry_out(cluster: &mut SoakCluster, actions: &[ScheduledAction]) -> Result<(), SoakError> {
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
        wait_until("a proxy serves", || read(proxy, "probe").is_some_and(|status| status == 200))
    })
}

/// The status of a request to a proxy.
fn read(proxy: SocketAddr, attempt: &str) -> Option<u16> {
    let headers = [("Host", "shop.example"), ("Attempt-Id", attempt), ("X-Api-Key", "key-a")];
    send_request(proxy, "GET", "/read/x", &headers, "").ok().map(|answer| answer.status())
}

fn wait_until(what: &'static str, mut holds: impl FnMut() -> bool) -> Result<(), SoakError> {
    let started = Instant::now();
    while !holds() {
        if started.elapsed() > RECOVERY_TIME {
            return Err(SoakError::NotInTime(what));
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
