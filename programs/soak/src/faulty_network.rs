//! The network of a process under test: the machine's own, but for peers that the process is cut off from and answers that
//! are lost.
//!
//! The faults are read from a file, which the soak replaces. A cut holds up the connections that this process has opened;
//! the other side holds up its own.

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

/// How often the file is read, and a connection that is held up looks whether the cut is over.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What is wrong with a process's network.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NetworkFaults {
    /// Peers whose connections are held up.
    pub cut_off: BTreeSet<IpAddr>,
    /// The part of reads at which the connection is reset instead.
    pub answer_loss: f64,
}

impl NetworkFaults {
    /// Sets whether connections to a peer are held up.
    pub fn set_cut_off(&mut self, peer: IpAddr, is_cut_off: bool) {
        if is_cut_off {
            self.cut_off.insert(peer);
        } else {
            self.cut_off.remove(&peer);
        }
    }

    /// The file's text: the part of lost answers, then a line for each peer.
    pub fn to_text(&self) -> String {
        let peers = self.cut_off.iter().map(|peer| format!("{peer}\n"));
        format!("{}\n{}", self.answer_loss, peers.collect::<String>())
    }

    /// None where the text is none of [`NetworkFaults::to_text`].
    pub fn parse(text: &str) -> Option<NetworkFaults> {
        let mut lines = text.lines();
        let answer_loss = lines.next()?.parse().ok()?;
        let cut_off = lines.map(|line| line.parse().ok()).collect::<Option<_>>()?;
        Some(NetworkFaults { cut_off, answer_loss })
    }

    /// Replaces the file at once, so that no reader sees a part of it.
    ///
    /// # Errors
    ///
    /// Where it cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let new = path.with_extension("new");
        std::fs::write(&new, self.to_text())?;
        std::fs::rename(new, path)
    }
}

type SharedFaults = Rc<RefCell<NetworkFaults>>;

/// A network that goes by the faults in a file.
pub struct FaultyNetwork {
    inner: Rc<dyn Network>,
    faults: SharedFaults,
}

impl FaultyNetwork {
    /// Starts to follow the file, on the current local set.
    pub fn start(inner: Rc<dyn Network>, file: PathBuf) -> FaultyNetwork {
        let faults = SharedFaults::default();
        let followed = Rc::clone(&faults);
        tokio::task::spawn_local(async move {
            loop {
                if let Some(read) =
                    std::fs::read_to_string(&file).ok().as_deref().and_then(NetworkFaults::parse)
                {
                    *followed.borrow_mut() = read;
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
            while faults.borrow().cut_off.contains(&to.ip()) {
                sleep(CHECK_INTERVAL).await;
            }
            let inner = connecting.await?;
            Ok(Box::new(FaultyStream { inner, peer: to.ip(), faults, retry: None, reset: false }) as Stream)
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
    /// While held up: when to look again.
    retry: Option<Pin<Box<Sleep>>>,
    reset: bool,
}

impl FaultyStream {
    /// Pending while the peer is cut off.
    fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.faults.borrow().cut_off.contains(&self.peer) {
            let retry = self.retry.get_or_insert_with(|| Box::pin(sleep(CHECK_INTERVAL)));
            ready!(retry.as_mut().poll(cx));
            self.retry = None;
        }
        Poll::Ready(if self.reset { Err(io::ErrorKind::ConnectionReset.into()) } else { Ok(()) })
    }

    fn loses_answer(&self) -> bool {
        let loss = self.faults.borrow().answer_loss;
        loss > 0.0 && rand::rng().random_bool(loss)
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
        if buffer.filled().len() > read_before && self.loses_answer() {
            self.reset = true;
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
