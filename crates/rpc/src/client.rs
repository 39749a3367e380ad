//! The client, which keeps one connection to one server and has one call in flight at a time.

use crate::compression;
use crate::error::RpcError;
use crate::limits::{
    CONNECT_TIMEOUT, MAX_BODY_BYTES, MAX_IDLE_BUFFER_BYTES, REQUEST_TIMEOUT, RESPONSE_TIMEOUT,
};
use bytes::BytesMut;
use futures_util::{FutureExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;
use vanewharf_http1::{ClientCodec, ReadError, Reply};
use vanewharf_protocol::deduplication::{CallId, is_non_idempotent};
use vanewharf_protocol::endpoints::CALL_ID;
use vanewharf_runtime::environment::{Network, Stream};

type Connection = Framed<Stream, ClientCodec>;

/// A client for one server. It reuses its connection; a call that fails closes it.
///
/// # Cancel safety
///
/// If the future of a call is dropped, the call may or may not reach the server. Its connection is closed, and the
/// client remains usable.
pub struct RpcClient {
    /// The server's address.
    pub address: SocketAddr,
    network: Rc<dyn Network>,
    /// The open connection, while no call is in flight.
    idle_connection: Option<Connection>,
    /// The id of the last call that was sent.
    last_call_id: CallId,
    /// Whether a malformed response was logged since the last one that was not.
    has_logged_malformed: bool,
}

/// Why no response was read.
enum ReadFailure {
    ConnectionLost,
    TimedOut,
    Malformed(ReadError),
}

/// The status and body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The decompressed body.
    pub body: Vec<u8>,
}

/// Whether a server is a vanewharf program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerKind {
    /// A vanewharf program: calls carry an id, and responses may be compressed.
    Internal,
    /// Any other HTTP server, or a public port of a vanewharf program.
    External,
}

struct Call<'a> {
    method: &'a str,
    path: &'a str,
    body: &'a str,
    server: ServerKind,
}

impl Call<'_> {
    /// Whether it is safe if the server receives the call twice.
    fn is_retryable(&self) -> bool {
        self.server == ServerKind::Internal || self.method == "GET"
    }
}

impl RpcClient {
    /// Creates a client, which connects at its first call.
    pub fn new(address: SocketAddr, network: &Rc<dyn Network>) -> RpcClient {
        let last_call_id = CallId { caller: network.unique_id(), sequence: 0 };
        let network = Rc::clone(network);
        RpcClient { address, network, idle_connection: None, last_call_id, has_logged_malformed: false }
    }

    /// Sends a JSON message to a vanewharf program and returns the JSON response. `inactivity_timeout` limits the time
    /// for which the server sends nothing: a response whose bytes keep arriving over a slow link may take longer.
    ///
    /// # Errors
    ///
    /// Returns any [`RpcError`].
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &mut self,
        path: &str,
        message: &Q,
        inactivity_timeout: Duration,
    ) -> Result<A, RpcError> {
        let body = serde_json::to_string(message).map_err(|_| RpcError::Malformed)?;
        self.call_internal(
            Call { method: "POST", path, body: &body, server: ServerKind::Internal },
            inactivity_timeout,
        )
        .await
    }

    /// Requests a JSON message from a vanewharf program. `inactivity_timeout` is that of [`call`](RpcClient::call).
    ///
    /// # Errors
    ///
    /// Returns any [`RpcError`].
    pub async fn get<A: DeserializeOwned>(
        &mut self,
        path: &str,
        inactivity_timeout: Duration,
    ) -> Result<A, RpcError> {
        self.call_internal(
            Call { method: "GET", path, body: "", server: ServerKind::Internal },
            inactivity_timeout,
        )
        .await
    }

    /// Sends a request to any HTTP server. `inactivity_timeout` is that of [`call`](RpcClient::call).
    ///
    /// # Errors
    ///
    /// Returns any [`RpcError`] except `Status`, because the status is returned, and `MismatchedCallId`.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        inactivity_timeout: Duration,
    ) -> Result<RawResponse, RpcError> {
        self.send_with_retry(Call { method, path, body, server: ServerKind::External }, inactivity_timeout)
            .await
    }

    async fn call_internal<A: DeserializeOwned>(
        &mut self,
        call: Call<'_>,
        inactivity_timeout: Duration,
    ) -> Result<A, RpcError> {
        match self.send_with_retry(call, inactivity_timeout).await? {
            RawResponse { status: 200, body } => {
                serde_json::from_slice(&body).map_err(|_| RpcError::Malformed)
            }
            RawResponse { status, .. } => Err(RpcError::Status(status)),
        }
    }

    /// Sends a call. If a reused connection breaks or returns the response to another call, the call is sent once
    /// more on a new connection, provided that this is safe: an idempotent call under a new id, a non-idempotent one
    /// under the same id.
    async fn send_with_retry(
        &mut self,
        call: Call<'_>,
        inactivity_timeout: Duration,
    ) -> Result<RawResponse, RpcError> {
        self.idle_connection = self.idle_connection.take().and_then(reusable_connection);
        let is_reused = self.idle_connection.is_some();
        self.last_call_id.sequence += 1;
        match self.send_once(&call, inactivity_timeout).await {
            Err(RpcError::ConnectionLost | RpcError::MismatchedCallId)
                if is_reused && call.is_retryable() =>
            {
                if !is_non_idempotent(call.path) {
                    self.last_call_id.sequence += 1;
                }
                self.send_once(&call, inactivity_timeout).await
            }
            result => result,
        }
    }

    async fn send_once(
        &mut self,
        call: &Call<'_>,
        inactivity_timeout: Duration,
    ) -> Result<RawResponse, RpcError> {
        let request = self.encode(call);
        let mut connection = match self.idle_connection.take() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let write = connection.get_mut().write_all(request.as_bytes());
        match timeout(inactivity_timeout.max(REQUEST_TIMEOUT), write).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(RpcError::ConnectionLost),
            Err(_) => return Err(RpcError::Timeout),
        }
        let reply = read_reply(&mut connection, inactivity_timeout).await;
        let reply = reply.map_err(|failure| self.log_if_malformed(failure))?;
        self.has_logged_malformed = false;
        // A connection with a mismatch is closed, as no later response on it can be attributed to a call.
        let is_internal = call.server == ServerKind::Internal;
        if is_internal
            && reply.unique_field(CALL_ID).and_then(|id| id.parse().ok()) != Some(self.last_call_id)
        {
            return Err(RpcError::MismatchedCallId);
        }
        let response = RawResponse { status: reply.status(), body: decode_body(&reply)? };
        if !reply.closes_connection() && connection.read_buffer().is_empty() {
            if connection.read_buffer().capacity() > MAX_IDLE_BUFFER_BYTES {
                *connection.read_buffer_mut() = BytesMut::new();
            }
            self.idle_connection = Some(connection);
        }
        Ok(response)
    }

    fn encode(&self, call: &Call<'_>) -> String {
        let Call { method, path, body, server } = call;
        let internal_fields = match server {
            ServerKind::Internal => {
                format!("{CALL_ID}: {}\r\nAccept-Encoding: {}\r\n", self.last_call_id, compression::ENCODING)
            }
            ServerKind::External => String::new(),
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             {internal_fields}Content-Length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        )
    }

    /// Returns the error of the call. The reason why a response is malformed is logged once until the server sends another
    /// one, because a line for each call could fill the disk.
    fn log_if_malformed(&mut self, failure: ReadFailure) -> RpcError {
        match failure {
            ReadFailure::ConnectionLost => RpcError::ConnectionLost,
            ReadFailure::TimedOut => RpcError::Timeout,
            ReadFailure::Malformed(reason) => {
                if !std::mem::replace(&mut self.has_logged_malformed, true) {
                    spdlog::warn!(
                        "malformed response",
                        kv: { event = "response_malformed", server: = self.address, reason: = reason }
                    );
                }
                RpcError::Malformed
            }
        }
    }

    async fn connect(&self) -> Result<Connection, RpcError> {
        match timeout(CONNECT_TIMEOUT, self.network.connect(self.address)).await {
            Ok(Ok(stream)) => Ok(Framed::new(stream, ClientCodec::with_max_body(MAX_BODY_BYTES))),
            Ok(Err(_)) | Err(_) => Err(RpcError::ConnectFailed),
        }
    }
}

/// Returns the idle connection unless anything has arrived on it, be it data or its end: it cannot be reused then.
fn reusable_connection(mut connection: Connection) -> Option<Connection> {
    let has_input = connection.next().now_or_never().is_some();
    (!has_input && connection.read_buffer().is_empty()).then_some(connection)
}

async fn read_reply(connection: &mut Connection, inactivity_timeout: Duration) -> Result<Reply, ReadFailure> {
    let started = Instant::now();
    loop {
        let received = received_bytes(connection);
        match timeout(inactivity_timeout, connection.next()).await {
            Ok(Some(Ok(reply))) => return Ok(reply),
            Ok(None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof))) => {
                return Err(ReadFailure::ConnectionLost);
            }
            Ok(Some(Err(error))) => return Err(ReadFailure::Malformed(error)),
            Err(_) if received == received_bytes(connection) => return Err(ReadFailure::TimedOut),
            Err(_) if started.elapsed() > RESPONSE_TIMEOUT => return Err(ReadFailure::TimedOut),
            // Some bytes have arrived since, so the server is still sending.
            Err(_) => {}
        }
    }
}

/// Returns the number of bytes that the codec has consumed, and the number of buffered bytes that it has not.
fn received_bytes(connection: &Connection) -> (usize, usize) {
    (connection.codec().received_bytes(), connection.read_buffer().len())
}

fn decode_body(reply: &Reply) -> Result<Vec<u8>, RpcError> {
    match reply.field("Content-Encoding") {
        None => Ok(reply.body().to_vec()),
        Some(compression::ENCODING) => compression::decompress(reply.body()).ok_or(RpcError::Malformed),
        Some(_) => Err(RpcError::Malformed),
    }
}

#[cfg(test)]
pub(crate) mod tests;
