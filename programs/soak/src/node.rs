//! Runs one program of the system in a process of the soak: the same code as the executable of the program, on a faulty
//! network.

use crate::faulty_network::FaultyNetwork;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use vanewharf_runtime::environment::Environment;
use vanewharf_runtime::program;

/// Environment variable with the name of the program to run. Without it the executable runs the soak itself.
pub const PROGRAM_VARIABLE: &str = "VANEWHARF_SOAK_PROGRAM";
/// Environment variable with the path of the file that contains the network faults of the process.
pub const FAULTS_VARIABLE: &str = "VANEWHARF_SOAK_FAULTS";

/// A program of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeProgram {
    /// Forwards clients' requests to backends.
    Proxy,
    /// Pulls the state of the cluster for the proxy on the same machine.
    Agent,
    /// Stores a replica of the state of the cluster.
    Controller,
}

impl NodeProgram {
    const ALL: [NodeProgram; 3] = [NodeProgram::Proxy, NodeProgram::Agent, NodeProgram::Controller];

    /// Returns its name, which is the value of [`PROGRAM_VARIABLE`] and part of the name of its log file.
    pub fn name(self) -> &'static str {
        match self {
            NodeProgram::Proxy => "proxy",
            NodeProgram::Agent => "agent",
            NodeProgram::Controller => "controller",
        }
    }

    /// Returns the program that [`PROGRAM_VARIABLE`] names, if it is set.
    pub fn from_environment() -> Option<NodeProgram> {
        let name = std::env::var(PROGRAM_VARIABLE).ok()?;
        NodeProgram::ALL.into_iter().find(|program| program.name() == name)
    }

    /// Runs the program until it exits.
    pub fn run(self) -> ExitCode {
        let version = env!("CARGO_PKG_VERSION");
        match self {
            NodeProgram::Proxy => {
                program::main("vanewharf-proxy", version, |settings, environment, shutdown| {
                    vanewharf_proxy::run(settings, with_faulty_network(environment), shutdown)
                })
            }
            NodeProgram::Agent => {
                program::main("vanewharf-agent", version, |settings, environment, shutdown| {
                    vanewharf_agent::run(settings, with_faulty_network(environment), shutdown)
                })
            }
            NodeProgram::Controller => {
                program::main("vanewharf-controller", version, |settings, environment, shutdown| {
                    vanewharf_controller::run(settings, with_faulty_network(environment), shutdown)
                })
            }
        }
    }
}

fn with_faulty_network(environment: Environment) -> Environment {
    let Some(file) = std::env::var_os(FAULTS_VARIABLE).map(PathBuf::from) else {
        return environment;
    };
    let network = FaultyNetwork::start(Rc::clone(&environment.network), file);
    environment.with_network(Rc::new(network))
}
