//! The machine's own network.

use super::{BoxFuture, Listener, Network, Stream};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 512;

pub(super) struct TcpNetwork;

impl Network for TcpNetwork {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        Box::pin(async move { Ok(without_delay(TcpStream::connect(to).await?)) })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        Ok(Box::new(socket.listen(BACKLOG)?))
    }

    fn unique_id(&self) -> u64 {
        rand::random()
    }
}

impl Listener for TcpListener {
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Stream>> {
        Box::pin(async move {
            let (stream, _) = TcpListener::accept(self).await?;
            Ok(without_delay(stream))
        })
    }
}

/// Small messages are sent at once (`TCP_NODELAY`); a connection on which that cannot be set works all the
/// same.
fn without_delay(stream: TcpStream) -> Stream {
    let _ = stream.set_nodelay(true);
    Box::new(stream)
}
