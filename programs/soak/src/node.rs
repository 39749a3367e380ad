//! One program of the system as a process of the soak: the same code as its executable runs, on a faulty network.

use crate::faulty_network::FaultyNetwork;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use vanewharf_runtime::environment::Environment;
use vanewharf_runtime::program;

/// Names the program that a process is to run; without it the executable is the soak itself.
pub const PROGRAM_VARIABLE: &str = "VANEWHARF_SOAK_PROGRAM";
/// Names the file with the process's network faults.
pub const FAULTS_VARIABLE: &str = "VANEWHARF_SOAK_FAULTS";

/// A program of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeProgram {
    /// Forwards clients' requests to backends.
    Proxy,
    /// Pulls the cluster's state for the proxy on its machine.
    Agent,
    /// Holds a replica of the cluster's state.
    Controller,
}

impl NodeProgram {
    const ALL: [NodeProgram; 3] = [NodeProgram::Proxy, NodeProgram::Agent, NodeProgram::Controller];

    /// Its name, in the variable and in the names of log files.
    pub fn name(self) -> &'static str {
        match self {
            NodeProgram::Proxy => "proxy",
            NodeProgram::Agent => "agent",
            NodeProgram::Controller => "controller",
        }
    }

    /// The program that this process is to run, if it is one of the soak's.
    pub fn from_environment() -> Option<NodeProgram> {
        let name = std::env::var(PROGRAM_VARIABLE).ok()?;
        NodeProgram::ALL.into_iter().find(|program| program.name() == name)
    }

    /// Runs the program until it ends.
    pub fn run(self) -> ExitCode {
        let version = env!("CARGO_PKG_VERSION");
        match self {
            NodeProgram::Proxy => {
                program::main("vanewharf-proxy", version, |settings, environment, shutdown| {
                    vanewharf_proxy::run(settings, on_faulty_network(environment), shutdown)
                })
            }
            NodeProgram::Agent => {
                program::main("vanewharf-agent", version, |settings, environment, shutdown| {
                    vanewharf_agent::run(settings, on_faulty_network(environment), shutdown)
                })
            }
            NodeProgram::Controller => {
                program::main("vanewharf-controller", version, |settings, environment, shutdown| {
                    vanewharf_controller::run(settings, on_faulty_network(environment), shutdown)
                })
            }
        }
    }
}

fn on_faulty_network(environment: Environment) -> Environment {
    let Some(file) = std::env::var_os(FAULTS_VARIABLE).map(PathBuf::from) else {
        return environment;
    };
    let network = FaultyNetwork::start(Rc::clone(&environment.network), file);
    environment.with_network(Rc::new(network))
}
