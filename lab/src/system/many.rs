//! Many days on all cores, and what they came to.

use super::day::{Outcome, play};
use super::world::Shape;
use std::sync::mpsc;
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Plays each on one of so many threads; what comes of each is told as it ends.
pub fn each<W: Send, O: Send>(
    what: Vec<W>,
    jobs: usize,
    play: impl Fn(W) -> O + Sync,
    mut told: impl FnMut(O),
) {
    vanewharf_mailroom::log::silence();
    let left = Mutex::new(what.into_iter());
    let (done, ended) = mpsc::channel();
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            let (left, done, play) = (&left, done.clone(), &play);
            scope.spawn(move || {
                loop {
                    let next = left.lock().unwrap_or_else(PoisonError::into_inner).next();
                    let told = next.is_some_and(|one| done.send(play(one)).is_ok());
                    if !told {
                        return;
                    }
                }
            });
        }
        drop(done);
        ended.iter().for_each(&mut told);
    });
}

/// Days of consecutive seeds.
pub fn days(shape: Shape, from: u64, count: u64, jobs: usize, told: impl FnMut(Outcome)) {
    each((from..from + count).collect(), jobs, |seed| play(shape, seed), told);
}
