//! An in-memory disk for simulations, which models what a loss of power does to unsynced data.
//!
//! Synced data survives a loss of power. Each unsynced operation survives, is lost, or is torn (applied in part), as
//! [`UnsyncedData`] states. A new file can be lost even though it was synced, if its directory was not. A disk can also
//! be slow, hang, be full, or stop at a breakpoint before a given operation.

#![forbid(unsafe_code)]

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;
use vanewharf_runtime::environment::{BoxFuture, Directory, FileOperation};

/// Extra latency of each operation on a slow disk, as a multiple of the sync latency.
const SLOW_LATENCY_FACTOR: u32 = 60;
/// Upper bound of the random extra latency of one operation, see [`SimulatedDisk::enable_random_latency`].
const MAX_RANDOM_LATENCY: Duration = Duration::from_millis(20);

/// What a loss of power does to unsynced operations. `Display` gives the text that a run's list of events shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedData {
    /// All unsynced operations are lost.
    Lost,
    /// All unsynced operations survive.
    Kept,
    /// Each unsynced operation survives, is lost or is torn, as drawn from this seed.
    Torn(u64),
}

impl fmt::Display for UnsyncedData {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnsyncedData::Lost => formatter.write_str("Nothing"),
            UnsyncedData::Kept => formatter.write_str("All"),
            UnsyncedData::Torn(seed) => write!(formatter, "Torn({seed})"),
        }
    }
}

/// A disk's health. `Display` gives the text that a run's list of events shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskCondition {
    /// Operations succeed at the normal latency.
    Healthy,
    /// Every operation takes much longer than a sync normally does.
    Slow,
    /// Operations block until the condition changes.
    Hung,
    /// Writes fail with `StorageFull` and leave an empty file.
    Full,
}

impl fmt::Display for DiskCondition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DiskCondition::Healthy => "Well",
            DiskCondition::Slow => "Slow",
            DiskCondition::Hung => "Hangs",
            DiskCondition::Full => "Full",
        })
    }
}

type Files = BTreeMap<String, Vec<u8>>;

struct DiskState {
    /// The contents that the running process sees.
    files: Files,
    /// The contents that survive if all unsynced operations are lost.
    durable_files: Files,
    unsynced_operations: Vec<FileOperation>,
    /// Names of the files whose directory entries are synced.
    durable_names: BTreeSet<String>,
    condition: DiskCondition,
    sync_latency: Duration,
    /// Draws the random extra latency of each operation; `None` if there is none.
    latency_rng: Option<SmallRng>,
    operations_started: u64,
    /// The number, counted from 0, of the operation before which the disk stops.
    breakpoint: Option<u64>,
}

/// The durable contents of a disk at one point in time.
#[derive(Clone, Debug)]
pub struct DiskImage {
    files: Files,
    durable_names: BTreeSet<String>,
}

/// A handle to a simulated disk. Clones share the same disk.
#[derive(Clone)]
pub struct SimulatedDisk {
    state: Rc<RefCell<DiskState>>,
    /// Notified when the disk stops at its breakpoint.
    pub breakpoint_reached: Rc<Notify>,
    condition_changed: Rc<Notify>,
}

impl SimulatedDisk {
    /// Creates an empty, healthy disk on which each sync takes `sync_latency`.
    pub fn new(sync_latency: Duration) -> SimulatedDisk {
        let state = DiskState {
            files: Files::new(),
            durable_files: Files::new(),
            unsynced_operations: Vec::new(),
            durable_names: BTreeSet::new(),
            condition: DiskCondition::Healthy,
            sync_latency,
            latency_rng: None,
            operations_started: 0,
            breakpoint: None,
        };
        SimulatedDisk {
            state: Rc::new(RefCell::new(state)),
            breakpoint_reached: Rc::default(),
            condition_changed: Rc::default(),
        }
    }

    /// Changes the disk's condition for later operations. Operations that are blocked on a hung disk resume if the new
    /// condition is not [`DiskCondition::Hung`].
    pub fn set_condition(&self, condition: DiskCondition) {
        self.state.borrow_mut().condition = condition;
        self.condition_changed.notify_waiters();
    }

    /// Adds to each later operation a random latency of up to 20 ms, drawn from the seed.
    pub fn enable_random_latency(&self, seed: u64) {
        self.state.borrow_mut().latency_rng = Some(SmallRng::seed_from_u64(seed));
    }

    /// The number of operations started since the disk was created.
    pub fn operations(&self) -> u64 {
        self.state.borrow().operations_started
    }

    /// Stops the disk before this operation, counted from 0: the operation never completes, and a loss of power removes
    /// the breakpoint.
    pub fn set_breakpoint(&self, operation: u64) {
        self.state.borrow_mut().breakpoint = Some(operation);
    }

    /// Deletes all files, durable ones included.
    pub fn wipe(&self) {
        let mut state = self.state.borrow_mut();
        (state.files, state.durable_files, state.unsynced_operations) = Default::default();
        state.durable_names.clear();
    }

    /// Returns what a loss of power that discards all unsynced operations would leave now.
    pub fn image(&self) -> DiskImage {
        let state = self.state.borrow();
        let mut files = state.durable_files.clone();
        files.retain(|file, _| state.durable_names.contains(file));
        DiskImage { files, durable_names: state.durable_names.clone() }
    }

    /// Loses power and restores an earlier image, which discards data that was synced since then. A correct disk never
    /// does this: tests use it to show that the checker detects the loss.
    pub fn roll_back(&self, image: &DiskImage) {
        self.lose_power(UnsyncedData::Lost);
        let mut state = self.state.borrow_mut();
        (state.files, state.durable_files) = (image.files.clone(), image.files.clone());
        state.durable_names = image.durable_names.clone();
    }

    /// Simulates a loss of power: `unsynced` decides which unsynced operations survive. The surviving contents are durable
    /// afterwards.
    pub fn lose_power(&self, unsynced: UnsyncedData) {
        let mut state = self.state.borrow_mut();
        let operations = std::mem::take(&mut state.unsynced_operations);
        let mut recovered = std::mem::take(&mut state.durable_files);
        let mut rng = SmallRng::seed_from_u64(if let UnsyncedData::Torn(seed) = unsynced { seed } else { 0 });
        for operation in operations {
            let surviving_fraction = draw_surviving_fraction(unsynced, &mut rng);
            apply_surviving_fraction(&mut recovered, operation, surviving_fraction);
        }
        // A file whose directory entry was not synced can disappear together with its synced contents.
        recovered.retain(|file, _| {
            state.durable_names.contains(file)
                || match unsynced {
                    UnsyncedData::Lost => false,
                    UnsyncedData::Kept => true,
                    UnsyncedData::Torn(_) => rng.random_bool(0.5),
                }
        });
        state.durable_names = recovered.keys().cloned().collect();
        (state.files, state.durable_files) = (recovered.clone(), recovered);
        state.breakpoint = None;
    }

    async fn execute_operation(self, operation: FileOperation) -> io::Result<()> {
        let (at_breakpoint, condition, sync_latency) = {
            let mut state = self.state.borrow_mut();
            let number = state.operations_started;
            state.operations_started += 1;
            (state.breakpoint == Some(number), state.condition, state.sync_latency)
        };
        if at_breakpoint {
            self.breakpoint_reached.notify_one();
            std::future::pending::<()>().await;
        }
        match condition {
            DiskCondition::Slow => sleep(sync_latency * SLOW_LATENCY_FACTOR).await,
            DiskCondition::Hung => self.wait_while_hung().await,
            DiskCondition::Healthy | DiskCondition::Full => {}
        }
        if let FileOperation::Sync { .. } | FileOperation::SyncDirectory = operation {
            sleep(sync_latency).await;
        }
        if let Some(latency) = self.draw_random_latency() {
            sleep(latency).await;
        }
        self.state.borrow_mut().apply(operation)
    }

    fn draw_random_latency(&self) -> Option<Duration> {
        let mut state = self.state.borrow_mut();
        let rng = state.latency_rng.as_mut()?;
        Some(MAX_RANDOM_LATENCY.mul_f64(rng.random::<f64>()))
    }

    async fn wait_while_hung(&self) {
        while self.state.borrow().condition == DiskCondition::Hung {
            self.condition_changed.notified().await;
        }
    }
}

/// Returns the fraction of an unsynced operation that survives a loss of power, from 0.0 (lost) to 1.0 (complete).
fn draw_surviving_fraction(unsynced: UnsyncedData, rng: &mut SmallRng) -> f64 {
    match unsynced {
        UnsyncedData::Lost => 0.0,
        UnsyncedData::Kept => 1.0,
        UnsyncedData::Torn(_) => match rng.random_range(0..3) {
            0 => 0.0,
            1 => 1.0,
            _ => rng.random::<f64>(),
        },
    }
}

/// Applies the surviving fraction of an operation: a torn write leaves a prefix of the bytes, and a rename happens as a
/// whole or not at all.
fn apply_surviving_fraction(files: &mut Files, operation: FileOperation, fraction: f64) {
    match operation {
        _ if fraction == 0.0 => {}
        FileOperation::Write { file, bytes } => {
            let length = (bytes.len() as f64 * fraction) as usize;
            files.insert(file, bytes[..length].to_vec());
        }
        FileOperation::Rename { from, to } if fraction >= 1.0 => rename(files, &from, to),
        _ => {}
    }
}

fn rename(files: &mut Files, from: &str, to: String) {
    if let Some(bytes) = files.remove(from) {
        files.insert(to, bytes);
    }
}

impl DiskState {
    fn apply(&mut self, operation: FileOperation) -> io::Result<()> {
        match operation {
            FileOperation::Write { file, bytes } => return self.write(file, bytes),
            FileOperation::Sync { file } => self.sync(file),
            FileOperation::Rename { from, to } => {
                let bytes = self.files.remove(&from).ok_or(io::ErrorKind::NotFound)?;
                self.files.insert(to.clone(), bytes);
                self.unsynced_operations.push(FileOperation::Rename { from, to });
            }
            FileOperation::SyncDirectory => self.sync_directory(),
        }
        Ok(())
    }

    fn write(&mut self, file: String, bytes: Vec<u8>) -> io::Result<()> {
        let full = self.condition == DiskCondition::Full;
        let bytes = if full { Vec::new() } else { bytes };
        self.files.insert(file.clone(), bytes.clone());
        self.unsynced_operations.push(FileOperation::Write { file, bytes });
        if full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, file: String) {
        let bytes = self.files.get(&file).cloned().unwrap_or_default();
        self.unsynced_operations.retain(
            |operation| !matches!(operation, FileOperation::Write { file: written, .. } if *written == file),
        );
        self.durable_files.insert(file, bytes);
    }

    fn sync_directory(&mut self) {
        self.durable_names = self.files.keys().cloned().collect();
        for operation in std::mem::take(&mut self.unsynced_operations) {
            match operation {
                FileOperation::Rename { from, to } => rename(&mut self.durable_files, &from, to),
                other => self.unsynced_operations.push(other),
            }
        }
    }
}

impl Directory for SimulatedDisk {
    fn read_all(&self) -> io::Result<Files> {
        Ok(self.state.borrow().files.clone())
    }

    fn execute(&self, operations: Vec<FileOperation>) -> BoxFuture<'static, io::Result<()>> {
        let disk = self.clone();
        Box::pin(async move {
            for operation in operations {
                disk.clone().execute_operation(operation).await?;
            }
            Ok(())
        })
    }
}
