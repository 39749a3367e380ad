//! The socket of a backend connection: connecting, and waiting while idle. [`exchange`] uses it for one attempt.

pub(super) mod exchange;

use crate::clock::to_duration;
use crate::counters::Counter;
use crate::messages::Attempt;
use crate::quiet_connection::is_quiet;
use crate::resources::{SMALL_BUFFER_BYTES, SocketGuard, SocketKind};
use crate::shared::Shared;
use bytes::BytesMut;
use futures_util::StreamExt;
use std::net::SocketAddr;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use vanewharf_exchange::ConnectionEvent;
use vanewharf_http1::ClientCodec;

pub(super) struct Connection {
    framed: Framed<TcpStream, ClientCodec>,
    guard: SocketGuard,
    /// The encoded size of the current request.
    request_bytes: usize,
}

/// How a connection's idle time ended.
pub(super) enum IdleEnd {
    /// An attempt was assigned, and the connection can be used for it.
    Assigned(Attempt),
    /// The connection cannot be used any more; the attempt is one that was already assigned to it.
    Lost(Option<Attempt>),
}

impl Connection {
    fn new(stream: TcpStream, guard: SocketGuard) -> Connection {
        Connection { framed: Framed::new(stream, ClientCodec::default()), guard, request_bytes: 0 }
    }

    /// Connects to a backend. The error distinguishes a lack of local sockets from a failure to connect.
    pub(super) async fn dial(address: SocketAddr, shared: &Shared) -> Result<Connection, ConnectionEvent> {
        let resources = &shared.resources;
        if !resources.can_dial() {
            resources.count(Counter::BackendDialsWithoutSocket);
            return Err(ConnectionEvent::NoLocalSocket);
        }
        let guard = SocketGuard::new(resources, SocketKind::Upstream);
        resources.count(Counter::BackendDials);
        // Creating a socket fails only if the process or the system has no descriptor left.
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
        let connecting = socket.map_err(|_| ConnectionEvent::NoLocalSocket)?.connect(address);
        let connected = if shared.timeouts.dial.0 > 0 {
            let in_time = timeout(to_duration(shared.timeouts.dial), connecting).await;
            in_time.map_err(|_| ConnectionEvent::ConnectFailed)?
        } else {
            connecting.await
        };
        let stream = connected.map_err(|_| ConnectionEvent::ConnectFailed)?;
        let _ = stream.set_nodelay(true);
        Ok(Connection::new(stream, guard))
    }

    /// Frees the write buffer after a large request. The buffer never shrinks by itself.
    pub(super) fn release_write_buffer(&mut self, attempt: &Attempt) {
        if attempt.request.memory_bytes() > SMALL_BUFFER_BYTES {
            *self.framed.write_buffer_mut() = BytesMut::new();
        }
    }

    /// Waits for the next attempt. The connection is lost if the backend sends anything or closes it first.
    pub(super) async fn idle(&mut self, next: &mut oneshot::Receiver<Attempt>) -> IdleEnd {
        // Cancel safe: if the read completes first, the receiver is closed before an attempt already sent is taken
        // from it.
        tokio::select! {
            biased;
            _ = self.framed.next() => {
                next.close();
                IdleEnd::Lost(next.try_recv().ok())
            }
            attempt = &mut *next => match attempt {
                Ok(attempt) if is_quiet(&self.framed) => IdleEnd::Assigned(attempt),
                attempt => IdleEnd::Lost(attempt.ok()),
            },
        }
    }
}

#[cfg(test)]
mod tests;
