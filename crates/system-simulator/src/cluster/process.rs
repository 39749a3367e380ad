//! A process of a simulated machine: all tasks of one program, which are killed, suspended and resumed together.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::task::LocalSet;

/// A program of the system. The processes of a machine are killed in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Program {
    /// Forwards clients' requests to backends.
    Proxy,
    /// Pulls the cluster's state for the proxy on its machine.
    Agent,
    /// Holds a replica of the cluster's state.
    Controller,
}

/// The names of the programs in events and violations.
impl fmt::Display for Program {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Program::Proxy => "Carrier",
            Program::Agent => "Sorter",
            Program::Controller => "Postmaster",
        })
    }
}

/// Host CPU time by program.
#[derive(Clone, Default)]
pub(super) struct CpuTimes(Rc<RefCell<BTreeMap<Program, Duration>>>);

impl CpuTimes {
    pub(super) fn of(&self, program: Program) -> Duration {
        self.0.borrow().get(&program).copied().unwrap_or_default()
    }

    fn add(&self, program: Program, time: Duration) {
        *self.0.borrow_mut().entry(program).or_default() += time;
    }
}

struct ProcessState {
    /// `None` once the process was killed.
    tasks: Option<LocalSet>,
    frozen: bool,
    waker: Option<Waker>,
}

/// A handle to a process; clones refer to the same process.
#[derive(Clone)]
pub(super) struct Process {
    program: Program,
    cpu_times: CpuTimes,
    state: Rc<RefCell<ProcessState>>,
}

impl Process {
    pub(super) fn new(program: Program, tasks: LocalSet, cpu_times: &CpuTimes) -> Process {
        let state = ProcessState { tasks: Some(tasks), frozen: false, waker: None };
        Process { program, cpu_times: cpu_times.clone(), state: Rc::new(RefCell::new(state)) }
    }

    /// Runs the process's tasks until all have ended or the process is killed.
    pub(super) fn run(self) -> impl Future<Output = ()> {
        RunProcess(self)
    }

    /// Drops all tasks, and with them their connections and open files.
    pub(super) fn kill(&self) {
        // The tasks' destructors wake other tasks, so the state must not be borrowed while they run.
        let tasks = self.state.borrow_mut().tasks.take();
        drop(tasks);
        let waker = self.state.borrow_mut().waker.take();
        waker.into_iter().for_each(Waker::wake);
    }

    pub(super) fn freeze(&self) {
        self.state.borrow_mut().frozen = true;
    }

    pub(super) fn resume(&self) {
        let waker = {
            let mut state = self.state.borrow_mut();
            state.frozen = false;
            state.waker.clone()
        };
        waker.into_iter().for_each(Waker::wake);
    }

    pub(super) fn is_frozen(&self) -> bool {
        self.state.borrow().frozen
    }
}

struct RunProcess(Process);

impl Future for RunProcess {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let process = &self.0;
        let mut state = process.state.borrow_mut();
        state.waker = Some(context.waker().clone());
        if state.frozen {
            return Poll::Pending;
        }
        let started = std::time::Instant::now();
        let polled = match &mut state.tasks {
            Some(tasks) => Pin::new(tasks).poll(context),
            None => Poll::Ready(()),
        };
        process.cpu_times.add(process.program, started.elapsed());
        polled
    }
}
