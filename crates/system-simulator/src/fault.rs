//! Faults that can be injected into a cluster, and how the cluster recovers from each.

use crate::cluster::{Cluster, CutDirection, FaultScope, ProgramSelection};
use crate::configuration::{replace_backend, stop_backend};
use crate::disk::{DiskCondition, DiskImage, UnsyncedData};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a program may take to shut down before it is killed.
pub(crate) const SHUTDOWN_GRACE: Duration = Duration::from_millis(800);

/// A machine that loses power, and what becomes of its unsynced data.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PowerLoss {
    pub(crate) machine: usize,
    pub(crate) unsynced: UnsyncedData,
}

/// A fault. Machines are identified by their numbers.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Kills programs of machines; recovery starts the machines again.
    Kill { machines: Vec<usize>, programs: ProgramSelection },
    /// Cuts the power of machines and wipes the disks of some; recovery starts the machines again.
    PowerLoss { machines: Vec<PowerLoss>, wiped: Vec<usize> },
    /// Cuts the power of machines and resets their disks to these images; recovery starts the machines again.
    DiskRollback { machines: Vec<(usize, DiskImage)> },
    /// Suspends the programs of machines; recovery resumes them.
    Freeze { machines: Vec<usize> },
    /// Requests controllers to shut down and kills them after the grace period; recovery starts them again.
    Shutdown { machines: Vec<usize> },
    /// Cuts the links between two groups of machines; recovery heals them.
    Partition {
        one: BTreeSet<usize>,
        other: BTreeSet<usize>,
        direction: CutDirection,
        /// The scopes of the fault that the checker takes into account while it lasts.
        scopes: Vec<FaultScope>,
    },
    /// Makes disks slow, hung or full; recovery makes them healthy.
    Disk { machines: Vec<usize>, condition: DiskCondition },
    /// Limits the outbound bandwidth of machines; recovery lifts the limit.
    SlowLink { machines: Vec<usize>, bytes_per_second: u64 },
    /// Shuts controllers down and removes them permanently after the grace period; recovery adds a new controller.
    Replacement { machines: Vec<usize>, new: usize },
    /// Drains a backend and adds a replacement that has to warm up; recovery stops the drained backend.
    BackendReplacement { backend: String },
}

impl Fault {
    /// A fault that kills all programs of these machines.
    pub(crate) fn kill(machines: Vec<usize>) -> Fault {
        Fault::Kill { machines, programs: ProgramSelection::All }
    }

    /// A fault that cuts the power of these machines, with the same effect on the unsynced data of each.
    pub(crate) fn power_loss(machines: &[usize], unsynced: UnsyncedData, wiped: Vec<usize>) -> Fault {
        let machines = machines.iter().map(|&machine| PowerLoss { machine, unsynced }).collect();
        Fault::PowerLoss { machines, wiped }
    }

    /// Injects the fault.
    pub(crate) fn inject(&self, cluster: &Cluster) {
        match self {
            Fault::Kill { machines, programs } => {
                machines.iter().for_each(|machine| cluster.kill(*machine, *programs));
            }
            Fault::PowerLoss { machines, wiped } => {
                machines.iter().for_each(|loss| cluster.lose_power(loss.machine, loss.unsynced));
                wiped.iter().for_each(|machine| cluster.wipe_disk(*machine));
            }
            Fault::DiskRollback { machines } => {
                machines.iter().for_each(|(machine, image)| cluster.roll_back_disk(*machine, image));
            }
            Fault::Freeze { machines } => machines.iter().for_each(|machine| cluster.freeze(*machine)),
            Fault::Shutdown { machines } | Fault::Replacement { machines, .. } => {
                machines.iter().for_each(|machine| cluster.request_shutdown(*machine));
            }
            Fault::Partition { one, other, direction, scopes } => {
                scopes.iter().for_each(|scope| cluster.faults.begin(scope.clone()));
                cluster.cut_links(one, other, *direction);
            }
            Fault::Disk { machines, condition } => {
                for machine in machines {
                    cluster.faults.begin(FaultScope::Degraded(*machine));
                    set_disk_condition(cluster, *machine, *condition);
                }
            }
            Fault::SlowLink { machines, bytes_per_second } => {
                machines
                    .iter()
                    .for_each(|machine| cluster.limit_bandwidth(*machine, Some(*bytes_per_second)));
            }
            Fault::BackendReplacement { backend } => replace_backend(cluster, backend),
        }
    }

    /// How long after `inject` the fault has to be escalated; `None`: it has no second stage.
    pub(crate) fn grace(&self) -> Option<Duration> {
        matches!(self, Fault::Shutdown { .. } | Fault::Replacement { .. }).then_some(SHUTDOWN_GRACE)
    }

    /// Executes the second stage of a fault with a grace period.
    pub(crate) fn escalate(&self, cluster: &Cluster) {
        match self {
            Fault::Shutdown { machines } => {
                machines.iter().for_each(|machine| cluster.kill(*machine, ProgramSelection::All));
            }
            Fault::Replacement { machines, .. } => {
                machines.iter().for_each(|machine| cluster.remove_controller(*machine));
            }
            _ => {}
        }
    }

    /// Recovers from the fault.
    pub(crate) fn recover(&self, cluster: &Cluster) {
        match self {
            Fault::Kill { machines, .. } | Fault::Shutdown { machines } => {
                machines.iter().for_each(|machine| cluster.start_machine(*machine));
            }
            Fault::PowerLoss { machines, .. } => {
                machines.iter().for_each(|loss| cluster.start_machine(loss.machine));
            }
            Fault::DiskRollback { machines } => {
                machines.iter().for_each(|(machine, _)| cluster.start_machine(*machine));
            }
            Fault::Freeze { machines } => machines.iter().for_each(|machine| cluster.resume(*machine)),
            Fault::Partition { one, other, direction, scopes } => {
                scopes.iter().for_each(|scope| cluster.faults.end(scope));
                cluster.heal_links(one, other, *direction);
            }
            Fault::Disk { machines, .. } => {
                for machine in machines {
                    cluster.faults.end(&FaultScope::Degraded(*machine));
                    set_disk_condition(cluster, *machine, DiskCondition::Healthy);
                }
            }
            Fault::SlowLink { machines, .. } => {
                machines.iter().for_each(|machine| cluster.limit_bandwidth(*machine, None));
            }
            Fault::Replacement { new, .. } => cluster.add_controller(*new),
            Fault::BackendReplacement { backend } => stop_backend(cluster, backend),
        }
    }
}

fn set_disk_condition(cluster: &Cluster, machine: usize, condition: DiskCondition) {
    cluster.machines[machine].disk.iter().for_each(|disk| disk.set_condition(condition));
}
