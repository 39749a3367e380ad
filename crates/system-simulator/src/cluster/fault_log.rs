//! What happened to machines and when: the checker excuses what a fault explains.

use std::cell::RefCell;
use std::collections::BTreeSet;
use tokio::time::Instant;

/// What a fault affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// A machine's processes did not run, or not all of them.
    Down(usize),
    /// A machine's disk had a fault, or it was cut off from some controllers.
    Degraded(usize),
    /// What a machine sends arrived slowly.
    SlowLink(usize),
    /// These controllers were cut off from the others.
    Partitioned(BTreeSet<usize>),
    /// A controller's disk was lost, in a moment.
    DiskLost(usize),
}

/// One fault.
#[derive(Clone, Debug)]
pub struct FaultRecord {
    /// When it began.
    pub started: Instant,
    /// When it was over; `None` while it lasts.
    pub ended: Option<Instant>,
    /// What it affects.
    pub scope: FaultScope,
}

/// All faults of a run so far.
#[derive(Default)]
pub struct FaultLog(RefCell<Vec<FaultRecord>>);

impl FaultLog {
    /// A fault begins; one that lasts already is not recorded again, except for partitions, of which each has its own
    /// end.
    pub fn begin(&self, scope: FaultScope) {
        let mut records = self.0.borrow_mut();
        let is_partition = matches!(scope, FaultScope::Partitioned(_));
        if is_partition || !records.iter().any(|fault| fault.scope == scope && fault.ended.is_none()) {
            records.push(FaultRecord { started: Instant::now(), ended: None, scope });
        }
    }

    /// A controller's disk is lost now.
    pub fn record_disk_loss(&self, machine: usize) {
        let now = Instant::now();
        let scope = FaultScope::DiskLost(machine);
        self.0.borrow_mut().push(FaultRecord { started: now, ended: Some(now), scope });
    }

    /// A fault is over; of several partitions of the same controllers the first.
    pub fn end(&self, scope: &FaultScope) {
        let now = Instant::now();
        let mut records = self.0.borrow_mut();
        let lasting = records.iter_mut().filter(|fault| fault.scope == *scope && fault.ended.is_none());
        let most = if let FaultScope::Partitioned(_) = scope { 1 } else { usize::MAX };
        lasting.take(most).for_each(|fault| fault.ended = Some(now));
    }

    /// All faults in the order in which they began.
    pub fn records(&self) -> Vec<FaultRecord> {
        self.0.borrow().clone()
    }
}
