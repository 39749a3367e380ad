//! Many days on all cores, and what they came to.

use super::day::{Outcome, play};
use super::world::Shape;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;

/// Days of consecutive seeds, each on one thread; what comes of each is told as it ends.
pub fn days(shape: Shape, from: u64, count: u64, jobs: usize, mut told: impl FnMut(Outcome)) {
    vanewharf_mailroom::log::silence();
    let next = AtomicU64::new(from);
    let (done, ended) = mpsc::channel();
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            let (next, done) = (&next, done.clone());
            scope.spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= from + count || done.send(play(shape, seed)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(done);
        ended.iter().for_each(&mut told);
    });
}
