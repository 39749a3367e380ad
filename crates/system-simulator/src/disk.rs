//! A disk that keeps what was synced, and of the rest what its loss of power leaves: nothing, all, or each write there,
//! missing or torn. A file that was made without a sync of its folder may be gone, though it was synced itself. It can be slow, hang, refuse writes, or lose power at a chosen deed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;
use vanewharf_runtime::environment::{BoxFuture, Directory, FileOperation};

/// What of the writes that were not synced is found after a loss of power.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    Nothing,
    All,
    /// Each there, missing or torn, by a draw.
    Torn(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Well,
    Slow,
    Hangs,
    Full,
}

type Files = BTreeMap<String, Vec<u8>>;

struct Platter {
    /// As the process sees it.
    files: Files,
    /// As it would be found if all that was not synced were gone.
    durable: Files,
    unsynced: Vec<FileOperation>,
    /// Files whose names are in the folder for good.
    entered: BTreeSet<String>,
    health: Health,
    sync: Duration,
    deeds: u64,
    /// The deed at which whoever watches is told, before it is done.
    watched: Option<u64>,
}

#[derive(Clone)]
pub struct Disk {
    platter: Rc<RefCell<Platter>>,
    /// Told when the watched deed comes.
    pub reached: Rc<Notify>,
    mended: Rc<Notify>,
}

impl Disk {
    pub fn new(sync: Duration) -> Disk {
        let platter = Platter {
            files: Files::new(),
            durable: Files::new(),
            unsynced: Vec::new(),
            entered: BTreeSet::new(),
            health: Health::Well,
            sync,
            deeds: 0,
            watched: None,
        };
        Disk { platter: Rc::new(RefCell::new(platter)), reached: Rc::default(), mended: Rc::default() }
    }

    pub fn turn(&self, health: Health) {
        self.platter.borrow_mut().health = health;
        self.mended.notify_waiters();
    }

    pub fn deeds(&self) -> u64 {
        self.platter.borrow().deeds
    }

    /// The disk stands still before this deed, counted from the first, until it loses power.
    pub fn watch(&self, deed: u64) {
        self.platter.borrow_mut().watched = Some(deed);
    }

    pub fn wipe(&self) {
        let mut platter = self.platter.borrow_mut();
        (platter.files, platter.durable, platter.unsynced) = Default::default();
        platter.entered.clear();
    }

    pub fn lose_power(&self, left: Left) {
        let mut platter = self.platter.borrow_mut();
        let unsynced = std::mem::take(&mut platter.unsynced);
        let mut found = std::mem::take(&mut platter.durable);
        let mut chance = SmallRng::seed_from_u64(if let Left::Torn(seed) = left { seed } else { 0 });
        for deed in unsynced {
            let part = match left {
                Left::Nothing => 0.0,
                Left::All => 1.0,
                Left::Torn(_) => match chance.random_range(0..3) {
                    0 => 0.0,
                    1 => 1.0,
                    _ => chance.random::<f64>(),
                },
            };
            match deed {
                _ if part == 0.0 => {}
                FileOperation::Write { file, bytes } => {
                    let whole = (bytes.len() as f64 * part) as usize;
                    found.insert(file, bytes[..whole].to_vec());
                }
                FileOperation::Rename { from, to } if part >= 1.0 => {
                    if let Some(bytes) = found.remove(&from) {
                        found.insert(to, bytes);
                    }
                }
                _ => {}
            }
        }
        found.retain(|file, _| {
            platter.entered.contains(file)
                || match left {
                    Left::Nothing => false,
                    Left::All => true,
                    Left::Torn(_) => chance.random_bool(0.5),
                }
        });
        platter.entered = found.keys().cloned().collect();
        (platter.files, platter.durable) = (found.clone(), found);
        platter.watched = None;
    }

    async fn do_it(self, deed: FileOperation) -> io::Result<()> {
        let (reached, health, sync) = {
            let mut platter = self.platter.borrow_mut();
            platter.deeds += 1;
            (platter.watched == Some(platter.deeds - 1), platter.health, platter.sync)
        };
        if reached {
            self.reached.notify_one();
            std::future::pending::<()>().await;
        }
        match health {
            Health::Slow => sleep(sync * 60).await,
            Health::Hangs => {
                while self.platter.borrow().health == Health::Hangs {
                    self.mended.notified().await;
                }
            }
            Health::Well | Health::Full => {}
        }
        if let FileOperation::Sync { .. } | FileOperation::SyncDirectory = deed {
            sleep(sync).await;
        }
        let mut platter = self.platter.borrow_mut();
        let platter = &mut *platter;
        match &deed {
            FileOperation::Write { file, bytes } => {
                let full = platter.health == Health::Full;
                let bytes = if full { Vec::new() } else { bytes.clone() };
                platter.files.insert(file.clone(), bytes.clone());
                platter.unsynced.push(FileOperation::Write { file: file.clone(), bytes });
                if full {
                    return Err(io::ErrorKind::StorageFull.into());
                }
            }
            FileOperation::Sync { file } => {
                let bytes = platter.files.get(file).cloned().unwrap_or_default();
                platter.durable.insert(file.clone(), bytes);
                platter
                    .unsynced
                    .retain(|one| !matches!(one, FileOperation::Write { file: other, .. } if other == file));
            }
            FileOperation::Rename { from, to } => {
                let bytes = platter.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
                platter.files.insert(to.clone(), bytes);
                platter.unsynced.push(deed);
            }
            FileOperation::SyncDirectory => {
                platter.entered = platter.files.keys().cloned().collect();
                let (renames, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut platter.unsynced)
                    .into_iter()
                    .partition(|one| matches!(one, FileOperation::Rename { .. }));
                platter.unsynced = rest;
                for rename in renames {
                    if let FileOperation::Rename { from, to } = rename
                        && let Some(bytes) = platter.durable.remove(&from)
                    {
                        platter.durable.insert(to, bytes);
                    }
                }
            }
        }
        Ok(())
    }
}

impl Directory for Disk {
    fn read_all(&self) -> io::Result<Files> {
        Ok(self.platter.borrow().files.clone())
    }

    fn execute(&self, deeds: Vec<FileOperation>) -> BoxFuture<'static, io::Result<()>> {
        let disk = self.clone();
        Box::pin(async move {
            for deed in deeds {
                disk.clone().do_it(deed).await?;
            }
            Ok(())
        })
    }
}
