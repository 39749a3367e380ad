//! Faults: what each does to a cluster when it begins and when it is over.

use crate::cluster::{Cluster, CutDirection, FaultScope, ProgramSelection};
use crate::configuration::{replace_backend, stop_backend};
use crate::disk::{DiskCondition, DiskImage, UnsyncedData};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a program that was asked to shut down has before it is killed.
pub(crate) const SHUTDOWN_GRACE: Duration = Duration::from_millis(800);

/// A machine that loses power.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PowerLoss {
    pub(crate) machine: usize,
    pub(crate) unsynced: UnsyncedData,
}

/// A fault of a cluster. Machines are given by number.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Programs of machines are killed, and started again.
    Kill { machines: Vec<usize>, programs: ProgramSelection },
    /// Machines lose power, some of them their disks as well.
    PowerLoss { machines: Vec<PowerLoss>, wiped: Vec<usize> },
    /// Machines lose power, and their disks all that was written since these images.
    DiskRollback { machines: Vec<(usize, DiskImage)> },
    /// Programs of machines stop where they are.
    Freeze { machines: Vec<usize> },
    /// Controllers are asked to shut down, killed after the grace period, and started again.
    Shutdown { machines: Vec<usize> },
    /// Links between two groups of machines are cut.
    Partition {
        one: BTreeSet<usize>,
        other: BTreeSet<usize>,
        direction: CutDirection,
        /// What the checker excuses meanwhile.
        scopes: Vec<FaultScope>,
    },
    /// Disks do not work as they should.
    Disk { machines: Vec<usize>, condition: DiskCondition },
    /// Machines send slowly.
    SlowLink { machines: Vec<usize>, bytes_per_second: u64 },
    /// Controllers are shut down and removed for good, and a new one is added.
    Replacement { machines: Vec<usize>, new: usize },
    /// A backend drains and stops, and one that has to warm up takes its place.
    BackendReplacement { backend: String },
}

impl Fault {
    /// Kills all programs of these machines.
    pub(crate) fn kill(machines: Vec<usize>) -> Fault {
        Fault::Kill { machines, programs: ProgramSelection::All }
    }

    /// Cuts power of these machines; what was not synced is lost.
    pub(crate) fn power_loss(machines: &[usize], unsynced: UnsyncedData, wiped: Vec<usize>) -> Fault {
        let machines = machines.iter().map(|&machine| PowerLoss { machine, unsynced }).collect();
        Fault::PowerLoss { machines, wiped }
    }

    /// Begins the fault.
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

    /// How long after its beginning `escalate` follows.
    pub(crate) fn grace(&self) -> Option<Duration> {
        matches!(self, Fault::Shutdown { .. } | Fault::Replacement { .. }).then_some(SHUTDOWN_GRACE)
    }

    /// The second stage of faults with a grace period.
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

    /// Ends the fault.
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
