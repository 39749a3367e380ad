//! Simulates many runs on several threads.

use crate::outcome::RunOutcome;
use crate::run::simulate;
use crate::schedule::Schedule;
use crate::schedule::stress::generate_schedule;
use crate::scheduled_run::simulate_schedule;
use crate::topology::SimulationParameters;
use std::sync::mpsc;
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Calls `work` for each input on this many threads, and `handle_output` for each output as soon as it is available,
/// in any order.
pub fn for_each_parallel<I: Send, O: Send>(
    inputs: Vec<I>,
    threads: usize,
    work: impl Fn(I) -> O + Sync,
    mut handle_output: impl FnMut(O),
) {
    vanewharf_runtime::log::disable();
    let remaining = Mutex::new(inputs.into_iter());
    let (sender, outputs) = mpsc::channel();
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            let (remaining, sender, work) = (&remaining, sender.clone(), &work);
            scope.spawn(move || {
                loop {
                    let input = remaining.lock().unwrap_or_else(PoisonError::into_inner).next();
                    let sent = input.is_some_and(|input| sender.send(work(input)).is_ok());
                    if !sent {
                        return;
                    }
                }
            });
        }
        drop(sender);
        outputs.iter().for_each(&mut handle_output);
    });
}

/// Simulates the runs that are generated from consecutive seeds.
pub fn simulate_seeds(
    parameters: SimulationParameters,
    first_seed: u64,
    count: u64,
    threads: usize,
    handle_outcome: impl FnMut(RunOutcome),
) {
    let seeds = (first_seed..first_seed + count).collect();
    for_each_parallel(seeds, threads, |seed| simulate(parameters, seed), handle_outcome);
}

/// Simulates the stress schedules of consecutive seeds.
pub fn simulate_hard_seeds(
    parameters: SimulationParameters,
    first_seed: u64,
    count: u64,
    threads: usize,
    handle_outcome: impl FnMut(RunOutcome),
) {
    let seeds = (first_seed..first_seed + count).collect();
    let run = |seed| simulate_schedule(&generate_schedule(parameters, seed));
    for_each_parallel(seeds, threads, run, handle_outcome);
}

/// Simulates schedules, and passes each outcome on with the schedule's name.
pub fn simulate_schedules(
    schedules: Vec<Schedule>,
    threads: usize,
    mut handle_outcome: impl FnMut(&str, RunOutcome),
) {
    let run = |schedule: Schedule| {
        let outcome = simulate_schedule(&schedule);
        (schedule.name, outcome)
    };
    for_each_parallel(schedules, threads, run, |(name, outcome)| handle_outcome(&name, outcome));
}
