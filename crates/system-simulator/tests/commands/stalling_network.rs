//! A network that can stall all outbound connections that are open: bytes that are written to them are lost, and reads
//! never complete. Connections that are opened later work.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use vanewharf_runtime::environment::{BoxFuture, Listener, Network, Stream};

/// Wraps a network. Clones share the count of connections and the stalled ones.
#[derive(Clone)]
pub struct StallingNetwork {
    network: Rc<dyn Network>,
    /// Number of connections that have been opened.
    opened: Rc<Cell<u64>>,
    /// Connections up to this number are stalled.
    stalled_up_to: Rc<Cell<u64>>,
}

impl StallingNetwork {
    pub fn new(network: Rc<dyn Network>) -> StallingNetwork {
        StallingNetwork { network, opened: Rc::default(), stalled_up_to: Rc::default() }
    }

    pub fn stall_open_connections(&self) {
        self.stalled_up_to.set(self.opened.get());
    }
}

impl Network for StallingNetwork {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        let (connecting, stalled_up_to) = (self.network.connect(to), Rc::clone(&self.stalled_up_to));
        self.opened.set(self.opened.get() + 1);
        let number = self.opened.get();
        Box::pin(async move {
            Ok(Box::new(StallableStream { stream: connecting.await?, number, stalled_up_to }) as Stream)
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
    stalled_up_to: Rc<Cell<u64>>,
}

impl StallableStream {
    fn is_stalled(&self) -> bool {
        self.number <= self.stalled_up_to.get()
    }
}

impl AsyncRead for StallableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // No waker is registered: readers use timeouts of their own.
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
