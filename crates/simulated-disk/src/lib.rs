//! The simulated disk of a controller.
//!
//! What was synced survives a loss of power. Of the other operations each survives, is lost or is torn, as the crash
//! decides; a file that was created without a sync of its directory may be gone though the file itself was synced. A
//! disk can also be slow, hang, be full, or stop before a chosen operation.

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

/// How much longer an operation of a slow disk takes than a sync.
const SLOWDOWN: u32 = 60;
/// The most that one operation of an erratic disk takes.
const MAX_ERRATIC_DELAY: Duration = Duration::from_millis(20);

/// What becomes of operations that were not synced when power is lost. `Display` is the text of a run's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedData {
    /// None of them survives.
    Lost,
    /// All of them survive.
    Kept,
    /// Each survives, is lost or is torn, drawn from this seed.
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

/// How a disk works. `Display` is the text of a run's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskCondition {
    /// It works.
    Healthy,
    /// Every operation takes long.
    Slow,
    /// Operations wait until the condition changes.
    Hung,
    /// Writes fail and leave an empty file.
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
    /// As the process sees them.
    files: Files,
    /// As they would be found if everything that was not synced were lost.
    durable: Files,
    unsynced: Vec<FileOperation>,
    /// Files whose directory entries are durable.
    durable_names: BTreeSet<String>,
    condition: DiskCondition,
    sync_time: Duration,
    /// Draws how long each operation takes, where that differs.
    erratic_delays: Option<SmallRng>,
    operations: u64,
    /// The disk stops before this operation.
    breakpoint: Option<u64>,
}

/// What was on a disk at some time.
#[derive(Clone, Debug)]
pub struct DiskImage {
    files: Files,
    durable_names: BTreeSet<String>,
}

/// A disk. Clones share it.
#[derive(Clone)]
pub struct SimulatedDisk {
    state: Rc<RefCell<DiskState>>,
    /// Notified when the breakpoint is reached.
    pub breakpoint_reached: Rc<Notify>,
    condition_changed: Rc<Notify>,
}

impl SimulatedDisk {
    /// An empty disk whose syncs take that long.
    pub fn new(sync_time: Duration) -> SimulatedDisk {
        let state = DiskState {
            files: Files::new(),
            durable: Files::new(),
            unsynced: Vec::new(),
            durable_names: BTreeSet::new(),
            condition: DiskCondition::Healthy,
            sync_time,
            erratic_delays: None,
            operations: 0,
            breakpoint: None,
        };
        SimulatedDisk {
            state: Rc::new(RefCell::new(state)),
            breakpoint_reached: Rc::default(),
            condition_changed: Rc::default(),
        }
    }

    /// Changes how it works from now on; operations that hang go on.
    pub fn set_condition(&self, condition: DiskCondition) {
        self.state.borrow_mut().condition = condition;
        self.condition_changed.notify_waiters();
    }

    /// From now on each operation takes another time, drawn from the seed.
    pub fn set_erratic(&self, seed: u64) {
        self.state.borrow_mut().erratic_delays = Some(SmallRng::seed_from_u64(seed));
    }

    /// How many operations were started.
    pub fn operations(&self) -> u64 {
        self.state.borrow().operations
    }

    /// Stops the disk before this operation, counted from 0, until it loses power.
    pub fn set_breakpoint(&self, operation: u64) {
        self.state.borrow_mut().breakpoint = Some(operation);
    }

    /// Deletes everything.
    pub fn wipe(&self) {
        let mut state = self.state.borrow_mut();
        (state.files, state.durable, state.unsynced) = Default::default();
        state.durable_names.clear();
    }

    /// What would be found if power were lost now.
    pub fn image(&self) -> DiskImage {
        let state = self.state.borrow();
        let mut files = state.durable.clone();
        files.retain(|file, _| state.durable_names.contains(file));
        DiskImage { files, durable_names: state.durable_names.clone() }
    }

    /// Loses power, and everything that was written since an image: no disk that works does that to what was synced. It
    /// shows that the checker notices.
    pub fn roll_back(&self, image: &DiskImage) {
        self.lose_power(UnsyncedData::Lost);
        let mut state = self.state.borrow_mut();
        (state.files, state.durable) = (image.files.clone(), image.files.clone());
        state.durable_names = image.durable_names.clone();
    }

    /// Loses power: what is found afterwards is durable.
    pub fn lose_power(&self, unsynced: UnsyncedData) {
        let mut state = self.state.borrow_mut();
        let operations = std::mem::take(&mut state.unsynced);
        let mut found = std::mem::take(&mut state.durable);
        let mut rng = SmallRng::seed_from_u64(if let UnsyncedData::Torn(seed) = unsynced { seed } else { 0 });
        for operation in operations {
            let part = surviving_part(unsynced, &mut rng);
            recover_operation(&mut found, operation, part);
        }
        found.retain(|file, _| {
            state.durable_names.contains(file)
                || match unsynced {
                    UnsyncedData::Lost => false,
                    UnsyncedData::Kept => true,
                    UnsyncedData::Torn(_) => rng.random_bool(0.5),
                }
        });
        state.durable_names = found.keys().cloned().collect();
        (state.files, state.durable) = (found.clone(), found);
        state.breakpoint = None;
    }

    async fn execute_operation(self, operation: FileOperation) -> io::Result<()> {
        let (at_breakpoint, condition, sync_time) = {
            let mut state = self.state.borrow_mut();
            state.operations += 1;
            (state.breakpoint == Some(state.operations - 1), state.condition, state.sync_time)
        };
        if at_breakpoint {
            self.breakpoint_reached.notify_one();
            std::future::pending::<()>().await;
        }
        match condition {
            DiskCondition::Slow => sleep(sync_time * SLOWDOWN).await,
            DiskCondition::Hung => self.wait_while_hung().await,
            DiskCondition::Healthy | DiskCondition::Full => {}
        }
        if let FileOperation::Sync { .. } | FileOperation::SyncDirectory = operation {
            sleep(sync_time).await;
        }
        if let Some(delay) = self.draw_erratic_delay() {
            sleep(delay).await;
        }
        self.state.borrow_mut().apply(operation)
    }

    fn draw_erratic_delay(&self) -> Option<Duration> {
        let mut state = self.state.borrow_mut();
        let delays = state.erratic_delays.as_mut()?;
        Some(MAX_ERRATIC_DELAY.mul_f64(delays.random::<f64>()))
    }

    async fn wait_while_hung(&self) {
        while self.state.borrow().condition == DiskCondition::Hung {
            self.condition_changed.notified().await;
        }
    }
}

/// Which part of an operation that was not synced survives, from 0.0 to 1.0.
fn surviving_part(unsynced: UnsyncedData, rng: &mut SmallRng) -> f64 {
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

fn recover_operation(found: &mut Files, operation: FileOperation, part: f64) {
    match operation {
        _ if part == 0.0 => {}
        FileOperation::Write { file, bytes } => {
            let length = (bytes.len() as f64 * part) as usize;
            found.insert(file, bytes[..length].to_vec());
        }
        FileOperation::Rename { from, to } if part >= 1.0 => rename(found, &from, to),
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
                self.unsynced.push(FileOperation::Rename { from, to });
            }
            FileOperation::SyncDirectory => self.sync_directory(),
        }
        Ok(())
    }

    fn write(&mut self, file: String, bytes: Vec<u8>) -> io::Result<()> {
        let full = self.condition == DiskCondition::Full;
        let bytes = if full { Vec::new() } else { bytes };
        self.files.insert(file.clone(), bytes.clone());
        self.unsynced.push(FileOperation::Write { file, bytes });
        if full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, file: String) {
        let bytes = self.files.get(&file).cloned().unwrap_or_default();
        self.unsynced.retain(
            |operation| !matches!(operation, FileOperation::Write { file: written, .. } if *written == file),
        );
        self.durable.insert(file, bytes);
    }

    fn sync_directory(&mut self) {
        self.durable_names = self.files.keys().cloned().collect();
        for operation in std::mem::take(&mut self.unsynced) {
            match operation {
                FileOperation::Rename { from, to } => rename(&mut self.durable, &from, to),
                other => self.unsynced.push(other),
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
