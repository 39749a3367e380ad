//! The gateway's startup configuration: the platform's file, the operator's file and their parsed settings.

use crate::clock::Clock;
use crate::operator_config::{OperatorConfig, OperatorConfigError};
use crate::platform_config::{PlatformConfig, PlatformConfigError};
use std::path::Path;
use thiserror::Error;
use vanewharf_gateway_settings::{
    ConnectionTimeouts, Options, PolicyNames, RequestBounds, UnreadableOption, balancer_config,
    connection_timeouts, discovery_poll_interval, peer_messages_per_s, request_bounds,
};
use vanewharf_policy::interface::{BalancerConfig, Ticks};

/// Why a gateway cannot start from its files.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The platform's file cannot be used.
    #[error(transparent)]
    Platform(#[from] PlatformConfigError),
    /// The operator's file, or the merged settings of both files, cannot be used.
    #[error(transparent)]
    Operator(#[from] OperatorConfigError),
    /// A setting has the wrong type or cannot be parsed.
    #[error(transparent)]
    UnreadableOption(#[from] UnreadableOption),
}

/// The configuration of one gateway.
pub struct GatewayConfig {
    /// The platform's file; its options have been moved into `settings`.
    pub platform: PlatformConfig,
    /// The operator's file.
    pub operator: OperatorConfig,
    /// The merged settings of both files.
    pub settings: Settings,
}

/// The settings of both files, parsed.
pub struct Settings {
    /// The routing policy's configuration.
    pub balancer: BalancerConfig,
    /// The names of plans and products, and this gateway's locality.
    pub names: PolicyNames,
    /// The timeouts of backend connections.
    pub timeouts: ConnectionTimeouts,
    /// How often discovery must be called, if it sends lists on request only.
    pub discovery_poll_interval: Option<Ticks>,
    /// The bounds that request fields are validated against.
    pub bounds: RequestBounds,
    /// The rate limit for messages from other gateways, in messages per second.
    pub peer_messages_per_s: f64,
}

impl GatewayConfig {
    /// Reads and validates the platform's file and, if a path is given, the operator's file. The policy starts at the
    /// clock's current time.
    ///
    /// # Errors
    ///
    /// If a file cannot be read or a setting is invalid.
    pub fn read(operator_path: Option<&Path>, clock: &Clock) -> Result<GatewayConfig, ConfigError> {
        let mut platform = PlatformConfig::read()?;
        let operator = OperatorConfig::read(operator_path)?;
        let options = operator.merge_options(std::mem::take(&mut platform.options))?;
        let settings = Settings::read(&options, platform.seed, clock.now())?;
        Ok(GatewayConfig { platform, operator, settings })
    }
}

impl Settings {
    fn read(options: &Options, seed: u64, now: Ticks) -> Result<Settings, UnreadableOption> {
        let (balancer, names) = balancer_config(options, seed, now)?;
        Ok(Settings {
            balancer,
            names,
            timeouts: connection_timeouts(options)?,
            discovery_poll_interval: discovery_poll_interval(options)?,
            bounds: request_bounds(options)?,
            peer_messages_per_s: peer_messages_per_s(options)?,
        })
    }
}
