//! The faults of machines and their times. The checker reports no loss of availability that a fault explains.

use std::cell::RefCell;
use std::collections::BTreeSet;
use tokio::time::Instant;

/// What a fault affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// Some or all of a machine's processes were not running.
    Down(usize),
    /// A machine's disk was faulty, or the machine was disconnected from some controllers.
    Degraded(usize),
    /// A machine's outgoing bandwidth was limited.
    SlowLink(usize),
    /// These controllers were disconnected from the others.
    Partitioned(BTreeSet<usize>),
    /// All data on a controller's disk was lost. The record ends when it starts.
    DiskLost(usize),
}

/// A fault and the time for which it lasted.
#[derive(Clone, Debug)]
pub struct FaultRecord {
    /// When it began.
    pub started: Instant,
    /// When it ended; `None` while it is active.
    pub ended: Option<Instant>,
    /// What it affects.
    pub scope: FaultScope,
}

/// All faults of a run so far.
#[derive(Default)]
pub struct FaultLog(RefCell<Vec<FaultRecord>>);

impl FaultLog {
    /// Records the beginning of a fault. A fault that is already active is not recorded again, except for partitions,
    /// each of which ends separately.
    pub fn begin(&self, scope: FaultScope) {
        let mut records = self.0.borrow_mut();
        let is_partition = matches!(scope, FaultScope::Partitioned(_));
        if is_partition || !records.iter().any(|fault| fault.scope == scope && fault.ended.is_none()) {
            records.push(FaultRecord { started: Instant::now(), ended: None, scope });
        }
    }

    /// Records that a controller's disk is lost now.
    pub fn record_disk_loss(&self, machine: usize) {
        let now = Instant::now();
        let scope = FaultScope::DiskLost(machine);
        self.0.borrow_mut().push(FaultRecord { started: now, ended: Some(now), scope });
    }

    /// Records the end of a fault. Of several partitions of the same controllers, only the one that began first ends.
    pub fn end(&self, scope: &FaultScope) {
        let now = Instant::now();
        let mut records = self.0.borrow_mut();
        let active = records.iter_mut().filter(|fault| fault.scope == *scope && fault.ended.is_none());
        let max_ended = if let FaultScope::Partitioned(_) = scope { 1 } else { usize::MAX };
        active.take(max_ended).for_each(|fault| fault.ended = Some(now));
    }

    /// All faults in the order in which they began.
    pub fn records(&self) -> Vec<FaultRecord> {
        self.0.borrow().clone()
    }
}
