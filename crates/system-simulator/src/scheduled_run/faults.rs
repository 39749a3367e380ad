//! Executes the faults of a scheduled run: resolves their machines when they begin, injects them and recovers from
//! them.

use super::{Operators, seconds, select_machine};
use crate::cluster::{Cluster, CutDirection, FaultScope, Machine};
use crate::disk::{DiskImage, UnsyncedData};
use crate::fault::Fault;
use crate::schedule::{FaultKind, FaultTrigger, ScheduledFault};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A fault that waits for an acknowledgement begins without one after this time.
pub(super) const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Waits until a fault is due, injects it, and recovers from it after its duration.
pub(super) async fn run_fault(
    cluster: Rc<Cluster>,
    scheduled: ScheduledFault,
    started: Instant,
    operators: Rc<Operators>,
) {
    sleep_until(started + seconds(scheduled.at)).await;
    let images = disk_images(&cluster);
    if scheduled.trigger == FaultTrigger::NextAcknowledgement {
        let _ = timeout(ACKNOWLEDGEMENT_TIMEOUT, operators.acknowledged.notified()).await;
    }
    let machines: BTreeSet<usize> =
        scheduled.machines.iter().map(|selector| select_machine(&cluster, *selector)).collect();
    set_seed_nodes(&cluster, &scheduled, &machines);
    let fault = to_fault(&cluster, &scheduled.kind, machines, &images);
    fault.inject(&cluster);
    if let Some(grace) = fault.grace() {
        sleep(grace).await;
        fault.escalate(&cluster);
    }
    sleep(seconds(scheduled.span)).await;
    fault.recover(&cluster);
}

/// The current disk contents of all machines that have a disk, by machine number.
fn disk_images(cluster: &Cluster) -> BTreeMap<usize, DiskImage> {
    let image = |(number, machine): (usize, &Machine)| Some((number, machine.disk.as_ref()?.image()));
    cluster.machines.iter().enumerate().filter_map(image).collect()
}

/// Sets the seed nodes with which the affected machines start again, or those of the replacement that is added.
fn set_seed_nodes(cluster: &Cluster, scheduled: &ScheduledFault, machines: &BTreeSet<usize>) {
    if scheduled.seeds.is_empty() {
        return;
    }
    let mut known = BTreeSet::new();
    let seeds = scheduled.seeds.iter().map(|selector| select_machine(cluster, *selector));
    let seeds: Vec<usize> = seeds.filter(|seed| known.insert(*seed)).collect();
    let starting = match scheduled.kind {
        FaultKind::Replacement { new } => vec![new],
        _ => machines.iter().copied().collect(),
    };
    starting.into_iter().for_each(|machine| cluster.set_seed_nodes(machine, seeds.clone()));
}

/// Converts a scheduled fault to one for these machines. `images` are the disk contents at its scheduled time.
fn to_fault(
    cluster: &Cluster,
    kind: &FaultKind,
    selected: BTreeSet<usize>,
    images: &BTreeMap<usize, DiskImage>,
) -> Fault {
    let machines: Vec<usize> = selected.iter().copied().collect();
    match kind {
        FaultKind::Kill => Fault::kill(machines),
        FaultKind::PowerLoss(unsynced) => Fault::power_loss(&machines, *unsynced, Vec::new()),
        FaultKind::DiskRollback => {
            let image = |machine| Some((machine, images.get(&machine)?.clone()));
            Fault::DiskRollback { machines: selected.into_iter().filter_map(image).collect() }
        }
        FaultKind::DiskLoss => Fault::power_loss(&machines, UnsyncedData::Lost, machines.clone()),
        FaultKind::Freeze => Fault::Freeze { machines },
        FaultKind::Shutdown => Fault::Shutdown { machines },
        FaultKind::Partition { proxies } => partition(cluster, selected, proxies),
        FaultKind::OutboundCut => {
            let scopes = vec![FaultScope::Partitioned(selected.clone())];
            let (other, direction) = (all_except(cluster, &selected), CutDirection::Outbound);
            Fault::Partition { one: selected, other, direction, scopes }
        }
        FaultKind::InboundCut => {
            let scopes = vec![FaultScope::Partitioned(selected.clone())];
            let (one, direction) = (all_except(cluster, &selected), CutDirection::Outbound);
            Fault::Partition { one, other: selected, direction, scopes }
        }
        FaultKind::Disk(condition) => Fault::Disk { machines, condition: *condition },
        FaultKind::SlowLink(rate) => Fault::SlowLink { machines, bytes_per_second: *rate },
        FaultKind::Replacement { new } => Fault::Replacement { machines, new: *new },
        FaultKind::Blackout(unsynced) => {
            let all: Vec<usize> = (0..cluster.machines.len()).collect();
            Fault::power_loss(&all, *unsynced, machines)
        }
        FaultKind::ControllerSplit => {
            let scopes = vec![FaultScope::Partitioned(selected.clone())];
            let controllers = cluster.active_controllers.borrow();
            let other = controllers.iter().copied().filter(|number| !selected.contains(number)).collect();
            Fault::Partition { one: selected, other, direction: CutDirection::Both, scopes }
        }
        FaultKind::ProxyCut { proxy } => Fault::Partition {
            one: [*proxy].into(),
            other: cluster.active_controllers.borrow().iter().copied().collect(),
            direction: CutDirection::Both,
            scopes: vec![FaultScope::Degraded(*proxy)],
        },
        FaultKind::ProxyKill { proxy } => Fault::kill(vec![*proxy]),
    }
}

/// Partitions these controllers and proxies from all other machines.
fn partition(cluster: &Cluster, controllers: BTreeSet<usize>, proxies: &[usize]) -> Fault {
    let one: BTreeSet<usize> = controllers.iter().chain(proxies).copied().collect();
    let other = all_except(cluster, &one);
    let mut scopes = vec![FaultScope::Partitioned(controllers)];
    scopes.extend(proxies.iter().map(|proxy| FaultScope::Degraded(*proxy)));
    Fault::Partition { one, other, direction: CutDirection::Both, scopes }
}

fn all_except(cluster: &Cluster, machines: &BTreeSet<usize>) -> BTreeSet<usize> {
    (0..cluster.machines.len()).filter(|machine| !machines.contains(machine)).collect()
}
