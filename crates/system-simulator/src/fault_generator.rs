//! Generates the faults of a run from its seed.
//!
//! Every run depends on the order of the random draws: adding, removing or moving a draw changes the outcomes of all
//! seeds.

use crate::cluster::{Cluster, CutDirection, FaultScope, Program, ProgramSelection};
use crate::disk::{DiskCondition, UnsyncedData};
use crate::fault::{Fault, PowerLoss, SHUTDOWN_GRACE};
use crate::ground_truth::DRAIN_TIME;
use crate::loss_budget::{DiskLoss, LossBudget};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// The stages of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultStage {
    Inject,
    Escalate,
    Recover,
}

/// A stage of a fault and the time at which it is due.
pub(crate) struct FaultAction {
    /// The time from the start of the run.
    pub(crate) at: Duration,
    pub(crate) stage: FaultStage,
    pub(crate) fault: Rc<Fault>,
}

impl FaultAction {
    pub(crate) fn execute(&self, cluster: &Cluster) {
        match self.stage {
            FaultStage::Inject => self.fault.inject(cluster),
            FaultStage::Escalate => self.fault.escalate(cluster),
            FaultStage::Recover => self.fault.recover(cluster),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Kill,
    KillAllControllers,
    PowerLoss,
    DiskLoss,
    Freeze,
    Disk,
    Shutdown,
    Partition,
    OneWayPartition,
    ProxyPartition,
    OneWayProxyPartition,
    ProxyKill,
    ProxyFreeze,
    MassKill,
    BackendReplacement,
    Blackout,
}

/// All kinds, indexed by a random number; a kind that is listed twice is drawn twice as often.
const FAULT_KINDS: [FaultKind; 18] = [
    FaultKind::Kill,
    FaultKind::KillAllControllers,
    FaultKind::PowerLoss,
    FaultKind::DiskLoss,
    FaultKind::Freeze,
    FaultKind::Disk,
    FaultKind::Partition,
    FaultKind::Partition,
    FaultKind::ProxyPartition,
    FaultKind::ProxyPartition,
    FaultKind::ProxyKill,
    FaultKind::ProxyFreeze,
    FaultKind::MassKill,
    FaultKind::BackendReplacement,
    FaultKind::Blackout,
    FaultKind::Shutdown,
    FaultKind::OneWayPartition,
    FaultKind::OneWayProxyPartition,
];

/// The values that are drawn for every fault, whether its kind uses them or not.
struct Draw {
    /// Seconds from the start of the run.
    at: f64,
    /// Duration in seconds.
    span: f64,
    /// The controller that a fault of a single controller affects.
    controller: usize,
    /// The controllers whose loss is reserved in the loss budget; empty for kinds of fault that reserve none in advance.
    lost: BTreeSet<usize>,
}

/// Draws faults and collects their stages.
pub(crate) struct FaultGenerator {
    cluster: Rc<Cluster>,
    pub(crate) rng: SmallRng,
    /// A line for each fault, with its time.
    pub(crate) events: Vec<String>,
    /// The stages of all faults, in the order in which the faults were drawn.
    pub(crate) actions: Vec<FaultAction>,
    losses: LossBudget,
}

impl FaultGenerator {
    pub(crate) fn new(cluster: &Rc<Cluster>, rng: SmallRng) -> FaultGenerator {
        FaultGenerator {
            cluster: Rc::clone(cluster),
            rng,
            events: Vec::new(),
            actions: Vec::new(),
            losses: LossBudget::new(&cluster.parameters),
        }
    }

    /// Draws a fault that begins at `at` seconds. It is dropped if too many controllers would be lost at the same time.
    pub(crate) fn draw_fault(&mut self, at: f64) {
        let controllers = self.cluster.parameters.controllers;
        let controller = self.rng.random_range(0..controllers);
        let span = self.rng.random_range(0.3..5.0);
        let kind = FAULT_KINDS[self.rng.random_range(0..FAULT_KINDS.len() as u32) as usize];
        let lost: BTreeSet<usize> = match kind {
            FaultKind::Kill
            | FaultKind::PowerLoss
            | FaultKind::DiskLoss
            | FaultKind::Freeze
            | FaultKind::Shutdown => [controller].into(),
            FaultKind::Partition | FaultKind::OneWayPartition => {
                (0..controllers).filter(|_| self.rng.random_bool(0.4)).collect()
            }
            _ => BTreeSet::new(),
        };
        let disk = if kind == FaultKind::DiskLoss { DiskLoss::DiskLost } else { DiskLoss::DiskKept };
        if !lost.is_empty() && !self.losses.try_reserve(at, span, lost.clone(), disk) {
            return;
        }
        self.draw_kind(kind, Draw { at, span, controller, lost });
    }

    fn draw_kind(&mut self, kind: FaultKind, draw: Draw) {
        match kind {
            FaultKind::Kill => self.kill(&draw),
            FaultKind::KillAllControllers => self.kill_all_controllers(&draw),
            FaultKind::PowerLoss => self.power_loss(&draw),
            FaultKind::DiskLoss => self.disk_loss(&draw),
            FaultKind::Freeze => self.freeze(&draw),
            FaultKind::Disk => self.disk_fault(&draw),
            FaultKind::Shutdown => self.shutdown(&draw),
            FaultKind::Partition => self.partition(draw, CutDirection::Both),
            FaultKind::OneWayPartition => self.partition(draw, CutDirection::Outbound),
            FaultKind::ProxyPartition => self.proxy_partition(&draw, CutDirection::Both),
            FaultKind::OneWayProxyPartition => self.proxy_partition(&draw, CutDirection::Outbound),
            FaultKind::ProxyKill => self.proxy_kill(&draw),
            FaultKind::ProxyFreeze => self.proxy_freeze(&draw),
            FaultKind::MassKill => self.mass_kill(&draw),
            FaultKind::BackendReplacement => self.backend_replacement(&draw),
            FaultKind::Blackout => self.blackout(&draw),
        }
    }

    /// Schedules a fault that begins at `at` and ends after its grace period, if any, and `span` seconds.
    fn schedule(&mut self, at: f64, span: f64, event: &str, fault: Fault) {
        self.events.push(format!("{at:5.2} s  {event}"));
        let fault = Rc::new(fault);
        let mut add = |at: f64, stage| {
            let (at, fault) = (Duration::from_secs_f64(at), Rc::clone(&fault));
            self.actions.push(FaultAction { at, stage, fault });
        };
        add(at, FaultStage::Inject);
        if fault.grace().is_some() {
            let grace = SHUTDOWN_GRACE.as_secs_f64();
            add(at + grace, FaultStage::Escalate);
            add(at + grace + span, FaultStage::Recover);
        } else {
            add(at + span, FaultStage::Recover);
        }
    }

    fn controller_count(&self) -> usize {
        self.cluster.parameters.controllers
    }

    fn all_machines(&self) -> BTreeSet<usize> {
        (0..self.cluster.machines.len()).collect()
    }

    fn draw_proxy(&mut self) -> usize {
        let parameters = self.cluster.parameters;
        parameters.controllers + self.rng.random_range(0..parameters.proxies)
    }

    fn draw_unsynced(&mut self) -> UnsyncedData {
        match self.rng.random_range(0..3) {
            0 => UnsyncedData::Lost,
            1 => UnsyncedData::Kept,
            _ => UnsyncedData::Torn(self.rng.random()),
        }
    }

    fn kill(&mut self, draw: &Draw) {
        let Draw { at, span, controller, .. } = *draw;
        let event = format!("central-{controller} is killed, for {span:.1} s");
        self.schedule(at, span, &event, Fault::kill(vec![controller]));
    }

    fn kill_all_controllers(&mut self, draw: &Draw) {
        let span = self.rng.random_range(0.1..1.5);
        let fault = Fault::kill((0..self.controller_count()).collect());
        self.schedule(draw.at, span, &format!("all controllers are killed, for {span:.1} s"), fault);
    }

    fn power_loss(&mut self, draw: &Draw) {
        let Draw { at, span, controller, .. } = *draw;
        let unsynced = self.draw_unsynced();
        let event = format!("central-{controller} loses power ({unsynced}), for {span:.1} s");
        self.schedule(at, span, &event, Fault::power_loss(&[controller], unsynced, Vec::new()));
    }

    fn disk_loss(&mut self, draw: &Draw) {
        let Draw { at, span, controller, .. } = *draw;
        let event = format!("central-{controller} loses its disk, for {span:.1} s");
        let fault = Fault::power_loss(&[controller], UnsyncedData::Lost, vec![controller]);
        self.schedule(at, span, &event, fault);
    }

    fn freeze(&mut self, draw: &Draw) {
        let Draw { at, span, controller, .. } = *draw;
        let event = format!("central-{controller} is frozen for {span:.1} s");
        self.schedule(at, span, &event, Fault::Freeze { machines: vec![controller] });
    }

    fn disk_fault(&mut self, draw: &Draw) {
        let Draw { at, span, controller, .. } = *draw;
        let conditions = [DiskCondition::Slow, DiskCondition::Hung, DiskCondition::Full];
        let condition = *conditions.choose(&mut self.rng).expect("there are three");
        let event = format!("central-{controller}'s disk: {condition}, for {span:.1} s");
        self.schedule(at, span, &event, Fault::Disk { machines: vec![controller], condition });
    }

    fn shutdown(&mut self, draw: &Draw) {
        let Draw { at, span, controller, .. } = *draw;
        let event =
            format!("central-{controller} is requested to shut down, and starts again after {span:.1} s");
        self.schedule(at, span, &event, Fault::Shutdown { machines: vec![controller] });
    }

    /// Partitions some controllers and some proxies from all other machines.
    fn partition(&mut self, draw: Draw, direction: CutDirection) {
        let Draw { at, span, lost: controllers, .. } = draw;
        let all = self.all_machines();
        let all_proxies: BTreeSet<usize> = (self.controller_count()..self.cluster.machines.len()).collect();
        let proxies: BTreeSet<usize> =
            all_proxies.iter().copied().filter(|_| self.rng.random_bool(0.3)).collect();
        let how = if direction == CutDirection::Both { "cut off from" } else { "unable to send to" };
        let event = format!(
            "controllers {controllers:?} and proxy machines {proxies:?} are {how} the others, for {span:.1} s"
        );
        let one: BTreeSet<usize> = controllers.union(&proxies).copied().collect();
        let other = all.difference(&one).copied().collect();
        let mut scopes = vec![FaultScope::Partitioned(controllers)];
        scopes.extend(all_proxies.into_iter().map(FaultScope::Degraded));
        self.schedule(at, span, &event, Fault::Partition { one, other, direction, scopes });
    }

    /// Partitions a proxy from the controllers or from all machines.
    fn proxy_partition(&mut self, draw: &Draw, direction: CutDirection) {
        let proxy = self.draw_proxy();
        let span = self.rng.random_range(2.0..9.0);
        let only_controllers = self.rng.random_bool(0.5);
        let other: BTreeSet<usize> =
            if only_controllers { (0..self.controller_count()).collect() } else { self.all_machines() };
        let how = if direction == CutDirection::Both { "cut off from" } else { "unable to send to" };
        let event = format!("proxy machine {proxy} is {how} {} machines, for {span:.1} s", other.len());
        let scopes = vec![FaultScope::Degraded(proxy)];
        let fault = Fault::Partition { one: [proxy].into(), other, direction, scopes };
        self.schedule(draw.at, span, &event, fault);
    }

    fn proxy_kill(&mut self, draw: &Draw) {
        let proxy = self.draw_proxy();
        let selections = [
            ProgramSelection::All,
            ProgramSelection::Only(Program::Agent),
            ProgramSelection::Only(Program::Proxy),
        ];
        let programs = *selections.choose(&mut self.rng).expect("there are three");
        let only_program = match programs {
            ProgramSelection::All => "None".to_owned(),
            ProgramSelection::Only(program) => format!("Some({program})"),
        };
        let event =
            format!("proxy machine {proxy}: killed (only program: {only_program}), for {:.1} s", draw.span);
        self.schedule(draw.at, draw.span, &event, Fault::Kill { machines: vec![proxy], programs });
    }

    fn proxy_freeze(&mut self, draw: &Draw) {
        let proxy = self.draw_proxy();
        let event = format!("proxy machine {proxy} is frozen for {:.1} s", draw.span);
        self.schedule(draw.at, draw.span, &event, Fault::Freeze { machines: vec![proxy] });
    }

    fn mass_kill(&mut self, draw: &Draw) {
        let machines: Vec<usize> =
            (0..self.cluster.machines.len()).filter(|_| self.rng.random_bool(0.6)).collect();
        let span = self.rng.random_range(0.2..1.5);
        let event = format!("{machines:?} are killed, for {span:.1} s");
        self.schedule(draw.at, span, &event, Fault::kill(machines));
    }

    fn backend_replacement(&mut self, draw: &Draw) {
        let ids: Vec<String> = self.cluster.ground_truth.backends.borrow().keys().cloned().collect();
        let backend = ids[self.rng.random_range(0..ids.len())].clone();
        let event = format!("backend {backend} drains, and one that has to warm up replaces it");
        let fault = Fault::BackendReplacement { backend };
        self.schedule(draw.at, DRAIN_TIME.as_secs_f64(), &event, fault);
    }

    /// All machines lose power; some of these faults also wipe the disk of a controller.
    fn blackout(&mut self, draw: &Draw) {
        let unsynced: Vec<UnsyncedData> =
            (0..self.controller_count()).map(|_| self.draw_unsynced()).collect();
        let span = self.rng.random_range(0.2..2.0);
        let wiped = self.rng.random_bool(0.4)
            && self.losses.try_reserve(draw.at, span, [draw.controller].into(), DiskLoss::DiskLost);
        let wiped = wiped.then_some(draw.controller);
        let texts: Vec<String> = unsynced.iter().map(ToString::to_string).collect();
        let event = format!(
            "all machines lose power (controllers' unsynced data: [{}]), wiped controller: {wiped:?}, for {span:.1} s",
            texts.join(", ")
        );
        let machines = (0..self.cluster.machines.len()).map(|machine| {
            let unsynced = unsynced.get(machine).copied().unwrap_or(UnsyncedData::Lost);
            PowerLoss { machine, unsynced }
        });
        let fault = Fault::PowerLoss { machines: machines.collect(), wiped: wiped.into_iter().collect() };
        self.schedule(draw.at, span, &event, fault);
    }
}
