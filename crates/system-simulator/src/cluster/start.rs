//! Starts the programs of a simulated machine.

use super::Cluster;
use super::process::{Process, Program};
use crate::ground_truth::GroundTruth;
use crate::proxy::{ProxyContext, SimulatedProxy};
use std::fmt;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use vanewharf_config::settings::Settings;
use vanewharf_runtime::environment::{Directory, Environment};

/// Multiplies the run's seed so that the random numbers of programs are independent of other values drawn from it.
const ENVIRONMENT_SEED_FACTOR: u64 = 0x9e37_79b9;

/// Records that a program exited. No program should exit unless it is killed, so the checker reports each exit.
struct ExitReporter {
    ground_truth: Rc<GroundTruth>,
    machine: String,
    program: Program,
}

impl ExitReporter {
    fn report<E: fmt::Display>(self, result: Result<(), E>) {
        let reason = result.err().map_or("exited without an error".to_owned(), |error| error.to_string());
        let exit = format!("{} {}: {reason}", self.machine, self.program);
        self.ground_truth.history.borrow_mut().exits.push(exit);
    }
}

impl Cluster {
    /// Starts a program of a machine as a separate process.
    pub(super) fn start_program(&self, number: usize, program: Program) {
        let machine = &self.machines[number];
        machine.starts.set(machine.starts.get() + 1);
        let environment = self.environment(number);
        let settings = self.settings(number);
        let tasks = LocalSet::new();
        let exit_reporter = ExitReporter {
            ground_truth: Rc::clone(&self.ground_truth),
            machine: machine.name.clone(),
            program,
        };
        match program {
            Program::Controller => {
                self.spawn_controller(number, &tasks, settings, environment, exit_reporter)
            }
            Program::Agent => {
                tasks.spawn_local(async move {
                    // Dropping the sender would ask the agent to shut down.
                    let (_shutdown_sender, shutdown) = oneshot::channel();
                    let result = vanewharf_agent::run(settings, environment, shutdown).await;
                    exit_reporter.report(result);
                });
            }
            Program::Proxy => {
                let context = ProxyContext {
                    proxy: number - self.parameters.controllers,
                    ground_truth: Rc::clone(&self.ground_truth),
                    network: self.network.clone(),
                    environment,
                };
                let inbox = Rc::clone(&machine.requests);
                tasks.spawn_local(async move {
                    let result = SimulatedProxy::run(context, settings, inbox).await;
                    exit_reporter.report(result);
                });
            }
        }
        let process = Process::new(program, tasks, &self.cpu_times);
        machine.processes.borrow_mut().insert(program, process.clone());
        tokio::task::spawn_local(process.run());
    }

    fn spawn_controller(
        &self,
        number: usize,
        tasks: &LocalSet,
        settings: Settings,
        environment: Environment,
        exit_reporter: ExitReporter,
    ) {
        let machine = &self.machines[number];
        let running = Rc::clone(&machine.controller);
        let (shutdown_sender, shutdown) = oneshot::channel();
        *machine.shutdown.borrow_mut() = Some(shutdown_sender);
        tasks.spawn_local(async move {
            match vanewharf_controller::start(settings, environment).await {
                Ok(controller) => {
                    let controller = Rc::new(controller);
                    *running.borrow_mut() = Some(Rc::clone(&controller));
                    if shutdown.await.is_ok() {
                        controller.shut_down().await;
                    }
                    // The controller's tasks run until the process is killed.
                    std::future::pending::<()>().await;
                }
                Err(error) => exit_reporter.report(Err(error)),
            }
        });
    }

    /// Creates the environment of a program that is about to start. Each start has its own random seed.
    fn environment(&self, number: usize) -> Environment {
        let machine = &self.machines[number];
        let directory = machine.disk.clone().map(|disk| Rc::new(disk) as Rc<dyn Directory>);
        let start = (number as u64) << 16 | machine.starts.get();
        let seed = self.seed.wrapping_mul(ENVIRONMENT_SEED_FACTOR).wrapping_add(start);
        Environment::new(self.network.interface(machine.ip), directory, seed)
            .with_clock_rate(machine.clock_rate)
    }
}
