//! What this machine has on disk: each paper in two files that are written in turn, so that one whole copy stands
//! whatever happens to the other. A thread of its own waits for the disk.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use tokio::sync::oneshot;

/// A paper by its name on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Paper {
    /// The newest ballot sworn, and the set of voters.
    Sworn,
    /// The operator's word.
    Word,
}

const PAPERS: [Paper; 2] = [Paper::Sworn, Paper::Word];

impl Paper {
    fn file(self, dir: &Path, copy: u64) -> PathBuf {
        let name = match self {
            Paper::Sworn => "sworn",
            Paper::Word => "word",
        };
        dir.join(format!("{name}-{copy}.json"))
    }
}

struct Job {
    paper: Paper,
    body: Vec<u8>,
    done: oneshot::Sender<io::Result<()>>,
}

#[derive(Clone)]
pub struct Disk {
    jobs: mpsc::Sender<Job>,
}

/// What was found at the start.
#[derive(Debug, Default)]
pub struct Found {
    bodies: [Option<Vec<u8>>; PAPERS.len()],
    /// Copies that were torn or spoilt, set aside.
    pub spoilt: Vec<PathBuf>,
    writes: [u64; PAPERS.len()],
}

impl Found {
    pub fn paper<T: DeserializeOwned>(&self, paper: Paper) -> Option<T> {
        serde_json::from_slice(self.bodies[paper as usize].as_deref()?).ok()
    }

    pub fn nothing(&self) -> bool {
        self.bodies.iter().all(Option::is_none)
    }
}

/// The number of the write and the body, where the copy is whole.
fn whole(text: &[u8]) -> Option<(u64, &[u8])> {
    let head = text.iter().position(|&byte| byte == b'\n')?;
    let (head, body) = (std::str::from_utf8(&text[..head]).ok()?, &text[head + 1..]);
    let mut parts = head.split(' ');
    let (sum, write, length) = (parts.next()?, parts.next()?, parts.next()?);
    let sound = u32::from_str_radix(sum, 16).ok()? == checksum(write, body);
    (sound && length.parse() == Ok(body.len())).then_some((write.parse().ok()?, body))
}

fn checksum(write: &str, body: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(write.as_bytes());
    sum.update(body);
    sum.finalize()
}

pub fn find(dir: &Path) -> io::Result<Found> {
    fs::create_dir_all(dir)?;
    let mut found = Found::default();
    for paper in PAPERS {
        for copy in 0..2 {
            let path = paper.file(dir, copy);
            let text = match fs::read(&path) {
                Ok(text) => text,
                Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
                Err(error) => return Err(error),
            };
            match whole(&text) {
                Some((write, body)) if write >= found.writes[paper as usize] => {
                    found.writes[paper as usize] = write;
                    found.bodies[paper as usize] = Some(body.to_vec());
                }
                Some(_) => {}
                // An empty one was begun and never written.
                None if text.is_empty() => {}
                None => {
                    let aside = path.with_extension("spoilt");
                    let _ = fs::rename(&path, &aside);
                    found.spoilt.push(aside);
                }
            }
        }
    }
    Ok(found)
}

fn write(dir: &Path, paper: Paper, write: u64, body: &[u8]) -> io::Result<()> {
    let path = paper.file(dir, write % 2);
    let mut file: File = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
    let number = write.to_string();
    let head = format!("{:08x} {number} {}\n", checksum(&number, body), body.len());
    file.write_all(&[head.as_bytes(), body].concat())?;
    file.sync_all()
}

impl Disk {
    pub fn start(dir: PathBuf, found: &Found) -> io::Result<Disk> {
        let (jobs, taken) = mpsc::channel::<Job>();
        let mut writes = found.writes;
        std::thread::Builder::new().name("disk".to_owned()).stack_size(256 << 10).spawn(move || {
            while let Ok(Job { paper, body, done }) = taken.recv() {
                // A write that failed is tried over the same copy, never over the one that stands.
                let next = writes[paper as usize] + 1;
                let written = write(&dir, paper, next, &body);
                if written.is_ok() {
                    writes[paper as usize] = next;
                }
                let _ = done.send(written);
            }
        })?;
        Ok(Disk { jobs })
    }

    /// Whether it is on disk for good.
    pub async fn save<T: Serialize>(&self, paper: Paper, what: &T) -> io::Result<()> {
        let body = serde_json::to_vec(what).map_err(io::Error::other)?;
        let (done, saved) = oneshot::channel();
        let gone = || io::Error::other("the disk's thread has ended");
        self.jobs.send(Job { paper, body, done }).map_err(|_| gone())?;
        saved.await.map_err(|_| gone())?
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bodies(dir: &Path) -> (Option<String>, usize) {
        let found = find(dir).expect("it can be read");
        (found.paper(Paper::Word), found.spoilt.len())
    }

    #[test]
    fn the_last_whole_copy_stands_however_the_next_was_torn() {
        let dir = tempfile::tempdir().expect("a folder");
        assert!(find(dir.path()).expect("it can be read").nothing());
        write(dir.path(), Paper::Word, 1, b"\"one\"").expect("written");
        write(dir.path(), Paper::Word, 2, b"\"two\"").expect("written");
        assert_eq!(bodies(dir.path()), (Some("two".to_owned()), 0));
        write(dir.path(), Paper::Word, 3, b"\"three\"").expect("written");
        let path = Paper::Word.file(dir.path(), 1);
        let text = fs::read(&path).expect("written");
        // At every length that a loss of power may leave, and with any byte of it wrong.
        for length in 0..text.len() {
            fs::write(&path, &text[..length]).expect("torn");
            assert_eq!(bodies(dir.path()).0.as_deref(), Some("two"), "at {length}");
            let mut spoilt = text.clone();
            spoilt[length] ^= 1;
            fs::write(&path, &spoilt).expect("spoilt");
            assert_eq!(bodies(dir.path()), (Some("two".to_owned()), 1), "byte {length}");
        }
        fs::write(&path, &text).expect("whole");
        assert_eq!(bodies(dir.path()).0.as_deref(), Some("three"));
    }
}
