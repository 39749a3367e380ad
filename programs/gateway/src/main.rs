//! The `vanewharf-gateway` program: parses the command line, initializes logging and runs the server.

#![forbid(unsafe_code)]

use clap::{Parser, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;
use tokio::runtime::{Builder, LocalOptions};
use vanewharf_gateway::clock::Clock;
use vanewharf_gateway::config::{ConfigError, GatewayConfig};
use vanewharf_gateway::server::{ServeError, Server, Signals};

/// HTTP gateway; ROUTER_CONFIG names the platform's configuration file.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The operator's configuration file; if omitted, only the platform's file applies.
    #[arg(long, env = "VANEWHARF_OPERATOR")]
    operator: Option<PathBuf>,
    /// Format of the log on standard error.
    #[arg(long, env = "VANEWHARF_LOG_FORMAT", value_enum, default_value = "text")]
    log_format: LogFormat,
    /// Check the configuration files and exit.
    #[arg(long)]
    check: bool,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

/// Why the program exits with a failure status.
#[derive(Debug, Error)]
enum RunError {
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] std::io::Error),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Serve(#[from] ServeError),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    init_log(arguments.log_format);
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("cannot serve: {error}");
            ExitCode::FAILURE
        }
    }
}

fn init_log(format: LogFormat) {
    let level = std::env::var("VANEWHARF_LOG").ok().and_then(|level| level.parse().ok());
    let log = vanewharf_gateway::log::to_stderr(level.unwrap_or(tracing::Level::INFO));
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
}

fn run(arguments: &Arguments) -> Result<(), RunError> {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.map_err(RunError::Runtime)?.block_on(serve(arguments))
}

async fn serve(arguments: &Arguments) -> Result<(), RunError> {
    // Registered first, because a signal without a handler terminates the process.
    let signals = Signals::register()?;
    let clock = Clock::start();
    let config = GatewayConfig::read(arguments.operator.as_deref(), &clock)?;
    if arguments.check {
        let (name, balancer) = (&config.platform.name, &config.settings.balancer);
        tracing::info!(
            name,
            peers = balancer.peer_messages,
            counter = balancer.counter_timeout.is_some(),
            "the configuration is valid"
        );
        return Ok(());
    }
    Server::start(config, clock).await?.run(signals).await?;
    Ok(())
}
