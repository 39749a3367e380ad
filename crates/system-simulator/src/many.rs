//! Many days on all cores, and what they came to.

use super::day::{Outcome, play};
use super::hard::drawn;
use super::plan::Plan;
use super::play::enact;
use super::world::Shape;
use std::sync::mpsc;
use std::sync::{Mutex, PoisonError};
use std::thread;
use vanewharf_simulator::plots::{Line, Plot};

/// Plays each on one of so many threads; what comes of each is told as it ends.
pub fn each<W: Send, O: Send>(
    what: Vec<W>,
    jobs: usize,
    play: impl Fn(W) -> O + Sync,
    mut told: impl FnMut(O),
) {
    vanewharf_runtime::log::disable();
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

/// The worst days of consecutive seeds.
pub fn worst(shape: Shape, from: u64, count: u64, jobs: usize, told: impl FnMut(Outcome)) {
    each((from..from + count).collect(), jobs, |seed| enact(&drawn(shape, seed)), told);
}

/// Days that were planned.
pub fn planned(plans: Vec<Plan>, jobs: usize, mut told: impl FnMut(&str, Outcome)) {
    let day = |plan: Plan| (plan.name.clone(), enact(&plan));
    each(plans, jobs, day, |(name, day)| told(&name, day));
}

/// What a fleet of so many doors costs, a second of a day without troubles.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    pub doors: usize,
    /// Of one door's machine: bytes and messages sent for control, and its sorter's processor time in milliseconds.
    pub door_bytes: f64,
    pub door_calls: f64,
    pub sorter_ms: f64,
    /// Of one postmaster.
    pub office_bytes: f64,
    pub office_calls: f64,
    pub office_ms: f64,
}

pub fn cost(shape: Shape, seed: u64) -> Cost {
    let day = play(Shape { troubles: 0, ..shape }, seed);
    let a_second = |of: f64| of / day.seconds;
    Cost {
        doors: shape.doors,
        door_bytes: a_second(day.door.bytes as f64),
        door_calls: a_second(day.door.calls as f64),
        sorter_ms: a_second(day.sorter_ms),
        office_bytes: a_second(day.office.bytes as f64),
        office_calls: a_second(day.office.calls as f64),
        office_ms: a_second(day.office_ms),
    }
}

/// Against the fleet's size, each as a part of what the smallest fleet's door costs.
pub fn cost_plot(costs: &[Cost]) -> Plot {
    let line = |name: &str, of: fn(&Cost) -> f64| {
        let first = costs.first().map_or(1.0, of).max(1e-9);
        let points = costs.iter().map(|cost| ((cost.doors as f64).log10(), of(cost) / first));
        Line { name: name.to_owned(), points: points.collect() }
    };
    Plot {
        name: "cost-per-door",
        title: "control cost of one door, of the smallest fleet's".to_owned(),
        across: "doors, power of ten".to_owned(),
        lines: vec![
            line("bytes", |cost| cost.door_bytes),
            line("messages", |cost| cost.door_calls),
            line("sorter's time", |cost| cost.sorter_ms),
        ],
        bound: None,
    }
}
