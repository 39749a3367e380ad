//! A network whose open connections can be stalled: what is sent on them is lost, and nothing arrives. Connections that are
//! opened later work.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use vanewharf_runtime::environment::{BoxFuture, Listener, Network, Stream};

/// Clones share their connections.
#[derive(Clone)]
pub struct StallingNetwork {
    network: Rc<dyn Network>,
    connections: Rc<Cell<u64>>,
    /// Connections up to this number are stalled.
    stalled: Rc<Cell<u64>>,
}

impl StallingNetwork {
    pub fn new(network: Rc<dyn Network>) -> StallingNetwork {
        StallingNetwork { network, connections: Rc::default(), stalled: Rc::default() }
    }

    pub fn stall_open_connections(&self) {
        self.stalled.set(self.connections.get());
    }
}

impl Network for StallingNetwork {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        let (connecting, stalled) = (self.network.connect(to), Rc::clone(&self.stalled));
        self.connections.set(self.connections.get() + 1);
        let number = self.connections.get();
        Box::pin(async move {
            Ok(Box::new(StallableStream { stream: connecting.await?, number, stalled }) as Stream)
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        self.network.listen(at)
    }

    fn unique_id(&self) -> u64 {
        self.network.unique_id()
    }
}

struct StallableStream {
    stream: Stream,
    number: u64,
    stalled: Rc<Cell<u64>>,
}

impl StallableStream {
    fn is_stalled(&self) -> bool {
        self.number <= self.stalled.get()
    }
}

impl AsyncRead for StallableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // The reader has a timeout of its own.
        if self.is_stalled() { Poll::Pending } else { Pin::new(&mut self.stream).poll_read(context, buffer) }
    }
}

impl AsyncWrite for StallableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_stalled() {
            Poll::Ready(Ok(buffer.len()))
        } else {
            Pin::new(&mut self.stream).poll_write(context, buffer)
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
