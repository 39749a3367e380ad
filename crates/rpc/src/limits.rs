//! Timeouts and size limits of calls.

use std::time::Duration;

/// The timeout for establishing a connection, which takes two round trips across regions.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The timeout for the transfer of a request, from its first byte to its last.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout for the transfer of a response, from its first byte to its last, while bytes keep arriving.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);
/// The maximum time between two requests on a connection.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum size of a body, for internal calls and for configurations.
pub const MAX_BODY_BYTES: usize = 24 << 20;
/// An empty buffer of a connection is freed if its capacity is greater than this.
pub(crate) const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;
