//! The network of a process under test: the real network with injected partitions and lost responses.
//!
//! The faults are read from a file that the soak replaces. A partition blocks only the connections that this process opens
//! to a peer. Connections that the peer opens are blocked by the faults of the peer.

use crate::files;
use rand::Rng;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};
use vanewharf_runtime::environment::{BoxFuture, Listener, Network, Stream};

/// Interval at which the file is read, and at which a blocked connection checks whether the partition has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The network faults of a process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NetworkFaults {
    /// Peers to which connections are blocked.
    pub partitioned_peers: BTreeSet<IpAddr>,
    /// Probability with which the connection is reset when a read returns data.
    pub response_loss_rate: f64,
}

impl NetworkFaults {
    /// Sets whether connections to a peer are blocked.
    pub fn set_partitioned(&mut self, peer: IpAddr, is_partitioned: bool) {
        if is_partitioned {
            self.partitioned_peers.insert(peer);
        } else {
            self.partitioned_peers.remove(&peer);
        }
    }

    /// Returns the text of the file: a line with the loss rate, then a line for each partitioned peer.
    pub fn to_text(&self) -> String {
        let peers = self.partitioned_peers.iter().map(|peer| format!("{peer}\n"));
        format!("{}\n{}", self.response_loss_rate, peers.collect::<String>())
    }

    /// Parses the text that [`NetworkFaults::to_text`] returns. Returns `None` if it is not valid.
    pub fn parse(text: &str) -> Option<NetworkFaults> {
        let mut lines = text.lines();
        let response_loss_rate = lines.next()?.parse().ok()?;
        let partitioned_peers = lines.map(|line| line.parse().ok()).collect::<Option<_>>()?;
        Some(NetworkFaults { partitioned_peers, response_loss_rate })
    }

    /// Replaces the file.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        files::replace(path, &self.to_text())
    }
}

type SharedFaults = Rc<RefCell<NetworkFaults>>;

/// A network that applies the faults in a file.
pub struct FaultyNetwork {
    inner: Rc<dyn Network>,
    faults: SharedFaults,
}

impl FaultyNetwork {
    /// Starts a task that reads the file periodically, on the local task set of the caller.
    pub fn start(inner: Rc<dyn Network>, file: PathBuf) -> FaultyNetwork {
        let faults = SharedFaults::default();
        let updated = Rc::clone(&faults);
        tokio::task::spawn_local(async move {
            loop {
                if let Some(read) =
                    std::fs::read_to_string(&file).ok().as_deref().and_then(NetworkFaults::parse)
                {
                    *updated.borrow_mut() = read;
                }
                sleep(CHECK_INTERVAL).await;
            }
        });
        FaultyNetwork { inner, faults }
    }
}

impl Network for FaultyNetwork {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        let (connecting, faults) = (self.inner.connect(to), Rc::clone(&self.faults));
        Box::pin(async move {
            while faults.borrow().partitioned_peers.contains(&to.ip()) {
                sleep(CHECK_INTERVAL).await;
            }
            let inner = connecting.await?;
            Ok(Box::new(FaultyStream { inner, peer: to.ip(), faults, next_check: None, is_reset: false })
                as Stream)
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        self.inner.listen(at)
    }

    fn unique_id(&self) -> u64 {
        self.inner.unique_id()
    }
}

struct FaultyStream {
    inner: Stream,
    peer: IpAddr,
    faults: SharedFaults,
    /// Timer for the next check while the connection is blocked.
    next_check: Option<Pin<Box<Sleep>>>,
    /// Whether a response was lost, after which all operations fail.
    is_reset: bool,
}

impl FaultyStream {
    /// Returns `Pending` while the peer is partitioned, and an error after a lost response.
    fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.faults.borrow().partitioned_peers.contains(&self.peer) {
            let next_check = self.next_check.get_or_insert_with(|| Box::pin(sleep(CHECK_INTERVAL)));
            ready!(next_check.as_mut().poll(cx));
            self.next_check = None;
        }
        Poll::Ready(if self.is_reset { Err(io::ErrorKind::ConnectionReset.into()) } else { Ok(()) })
    }

    fn loses_response(&self) -> bool {
        let rate = self.faults.borrow().response_loss_rate;
        rate > 0.0 && rand::rng().random_bool(rate)
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_open(cx))?;
        let read_before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        if buffer.filled().len() > read_before && self.loses_response() {
            self.is_reset = true;
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.poll_open(cx))?;
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_open(cx))?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
