//! The client: one connection to one address, on which one call at a time is in flight.

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

/// Calls one address. Its connection is reused; a call that fails closes it.
///
/// # Cancel safety
///
/// A call whose future is dropped may or may not reach the server; its connection is closed, and the client
/// can be used further.
pub struct RpcClient {
    /// The server's address.
    pub address: SocketAddr,
    network: Rc<dyn Network>,
    /// The connection, while no call is in flight.
    idle: Option<Connection>,
    last_call: CallId,
}

/// Status and body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body, decompressed.
    pub body: Vec<u8>,
}

/// Whether the server is one of the system's own processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerKind {
    /// Calls carry an id, and responses may be compressed.
    Internal,
    External,
}

struct Call<'a> {
    method: &'a str,
    path: &'a str,
    body: &'a str,
    server: ServerKind,
}

impl Call<'_> {
    /// Whether it does no harm if the server gets it twice.
    fn is_retryable(&self) -> bool {
        self.server == ServerKind::Internal || self.method == "GET"
    }
}

impl RpcClient {
    /// One that connects at its first call.
    pub fn new(address: SocketAddr, network: &Rc<dyn Network>) -> RpcClient {
        let last_call = CallId { caller: network.unique_id(), sequence: 0 };
        RpcClient { address, network: Rc::clone(network), idle: None, last_call }
    }

    /// Sends a JSON message to one of the system's own processes. `within` is how long the server may send
    /// nothing: a response whose bytes keep arriving over a narrow link may take longer.
    ///
    /// # Errors
    ///
    /// Any [`RpcError`].
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &mut self,
        path: &str,
        message: &Q,
        within: Duration,
    ) -> Result<A, RpcError> {
        let body = serde_json::to_string(message).map_err(|_| RpcError::Malformed)?;
        self.call_internal(Call { method: "POST", path, body: &body, server: ServerKind::Internal }, within)
            .await
    }

    /// Gets a JSON message from one of the system's own processes; `within` as for [`call`](RpcClient::call).
    ///
    /// # Errors
    ///
    /// Any [`RpcError`].
    pub async fn get<A: DeserializeOwned>(&mut self, path: &str, within: Duration) -> Result<A, RpcError> {
        self.call_internal(Call { method: "GET", path, body: "", server: ServerKind::Internal }, within).await
    }

    /// Sends a request to a server that need not be one of the system's own; `within` as for
    /// [`call`](RpcClient::call).
    ///
    /// # Errors
    ///
    /// Any [`RpcError`] but `Status`, as the caller gets the status, and `MismatchedCallId`.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        within: Duration,
    ) -> Result<RawResponse, RpcError> {
        self.send_with_retry(Call { method, path, body, server: ServerKind::External }, within).await
    }

    async fn call_internal<A: DeserializeOwned>(
        &mut self,
        call: Call<'_>,
        within: Duration,
    ) -> Result<A, RpcError> {
        match self.send_with_retry(call, within).await? {
            RawResponse { status: 200, body } => {
                serde_json::from_slice(&body).map_err(|_| RpcError::Malformed)
            }
            RawResponse { status, .. } => Err(RpcError::Status(status)),
        }
    }

    /// Where a reused connection breaks, or gives the response to another call, the call is sent once more on
    /// a new connection if that does no harm: an idempotent one as a new call, one whose effects add up under
    /// the same id.
    async fn send_with_retry(&mut self, call: Call<'_>, within: Duration) -> Result<RawResponse, RpcError> {
        self.idle = self.idle.take().and_then(usable);
        let is_reused = self.idle.is_some();
        self.last_call.sequence += 1;
        match self.send_once(&call, within).await {
            Err(RpcError::ConnectionLost | RpcError::MismatchedCallId)
                if is_reused && call.is_retryable() =>
            {
                if !is_non_idempotent(call.path) {
                    self.last_call.sequence += 1;
                }
                self.send_once(&call, within).await
            }
            result => result,
        }
    }

    async fn send_once(&mut self, call: &Call<'_>, within: Duration) -> Result<RawResponse, RpcError> {
        let request = self.encode(call);
        let mut connection = match self.idle.take() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let write = connection.get_mut().write_all(request.as_bytes());
        match timeout(within.max(REQUEST_TIMEOUT), write).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(RpcError::ConnectionLost),
            Err(_) => return Err(RpcError::Timeout),
        }
        let reply = read_reply(&mut connection, within).await?;
        // A connection with a mismatch is closed: whatever else arrives on it belongs to no call, either.
        let is_internal = call.server == ServerKind::Internal;
        if is_internal && reply.unique_field(CALL_ID).and_then(|id| id.parse().ok()) != Some(self.last_call) {
            return Err(RpcError::MismatchedCallId);
        }
        let response = RawResponse { status: reply.status(), body: decode_body(&reply)? };
        if !reply.closes_connection() && connection.read_buffer().is_empty() {
            if connection.read_buffer().capacity() > MAX_IDLE_BUFFER_BYTES {
                *connection.read_buffer_mut() = BytesMut::new();
            }
            self.idle = Some(connection);
        }
        Ok(response)
    }

    fn encode(&self, call: &Call<'_>) -> String {
        let Call { method, path, body, server } = call;
        let internal_fields = match server {
            ServerKind::Internal => {
                format!("{CALL_ID}: {}\r\nAccept-Encoding: {}\r\n", self.last_call, compression::ENCODING)
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

    async fn connect(&self) -> Result<Connection, RpcError> {
        match timeout(CONNECT_TIMEOUT, self.network.connect(self.address)).await {
            Ok(Ok(stream)) => Ok(Framed::new(stream, ClientCodec::with_max_body(MAX_BODY_BYTES))),
            Ok(Err(_)) | Err(_) => Err(RpcError::ConnectFailed),
        }
    }
}

/// Nothing may arrive on an idle connection: whatever it is, its end included, the connection is not reused.
fn usable(mut connection: Connection) -> Option<Connection> {
    let has_input = connection.next().now_or_never().is_some();
    (!has_input && connection.read_buffer().is_empty()).then_some(connection)
}

async fn read_reply(connection: &mut Connection, within: Duration) -> Result<Reply, RpcError> {
    let started = Instant::now();
    loop {
        let received = received_bytes(connection);
        match timeout(within, connection.next()).await {
            Ok(Some(Ok(reply))) => return Ok(reply),
            Ok(None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof))) => {
                return Err(RpcError::ConnectionLost);
            }
            Ok(Some(Err(_))) => return Err(RpcError::Malformed),
            Err(_) if received == received_bytes(connection) => return Err(RpcError::Timeout),
            Err(_) if started.elapsed() > RESPONSE_TIMEOUT => return Err(RpcError::Timeout),
            // Bytes have arrived meanwhile.
            Err(_) => {}
        }
    }
}

/// Bytes that the codec has consumed, and those that it has not.
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
