//! The TCP network of the operating system.

use super::{BoxFuture, Listener, Network, Stream};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The length of the operating system's queue of connections to be accepted.
const ACCEPT_BACKLOG: u32 = 512;

pub(super) struct TcpNetwork;

impl Network for TcpNetwork {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        Box::pin(async move { Ok(with_nodelay(TcpStream::connect(to).await?)) })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        Ok(Box::new(socket.listen(ACCEPT_BACKLOG)?))
    }

    fn unique_id(&self) -> u64 {
        rand::random()
    }
}

impl Listener for TcpListener {
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Stream>> {
        Box::pin(async move {
            let (stream, _) = TcpListener::accept(self).await?;
            Ok(with_nodelay(stream))
        })
    }
}

/// Sets `TCP_NODELAY`, so that small messages are sent immediately. An error is ignored, because the connection also
/// works without the option.
fn with_nodelay(stream: TcpStream) -> Stream {
    let _ = stream.set_nodelay(true);
    Box::new(stream)
}
