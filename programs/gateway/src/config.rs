//! All that a gateway starts from: both files, and what their settings mean.

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
    /// The operator's file, or the settings of both, cannot be used.
    #[error(transparent)]
    Operator(#[from] OperatorConfigError),
    /// A setting cannot be read.
    #[error(transparent)]
    UnreadableOption(#[from] UnreadableOption),
}

/// The configuration of one gateway.
pub struct GatewayConfig {
    /// The platform's file; its settings are merged into `settings`.
    pub platform: PlatformConfig,
    /// The operator's file.
    pub operator: OperatorConfig,
    /// The settings of both files.
    pub settings: Settings,
}

/// What the settings mean.
pub struct Settings {
    /// What the routing policy starts from.
    pub balancer: BalancerConfig,
    /// The names of plans and products.
    pub names: PolicyNames,
    /// The timeouts of backend connections.
    pub timeouts: ConnectionTimeouts,
    /// How often discovery must be called, where lists come only on request.
    pub discovery_poll_interval: Option<Ticks>,
    /// What a request may state.
    pub bounds: RequestBounds,
    /// How many messages of other gateways are accepted in a second.
    pub peer_messages_per_s: f64,
}

impl GatewayConfig {
    /// Reads and checks the platform's file and the operator's, if one is named. The policy starts at the clock's time.
    ///
    /// # Errors
    ///
    /// Where a file cannot be read or a setting is refused.
    pub fn read(operator_path: Option<&Path>, clock: &Clock) -> Result<GatewayConfig, ConfigError> {
        let mut platform = PlatformConfig::read()?;
        let operator = OperatorConfig::read(operator_path)?;
        let options = operator.complete(std::mem::take(&mut platform.options))?;
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
