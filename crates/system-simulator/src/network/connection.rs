//! Connections and listeners of the simulated network, and its interface for the processes on one machine.

use super::{SimulatedNetwork, hash_seed};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep, sleep_until};
use vanewharf_runtime::environment::{BoxFuture, Listener, Network, Stream};

/// A writer waits for its reader while this many bytes are in flight.
const SEND_WINDOW_BYTES: usize = 256 * 1024;
/// How much later than the link's delay the end of a connection arrives.
const CLOSE_DELAY: Duration = Duration::from_micros(500);

/// The connections of a listener that are not accepted yet.
#[derive(Default)]
pub(super) struct AcceptQueue {
    waiting: VecDeque<Endpoint>,
    waker: Option<Waker>,
}

/// The bytes of one write, which arrive together.
struct Segment {
    arrives_at: Instant,
    bytes: Vec<u8>,
}

/// One direction of a connection.
pub(super) struct Channel {
    pub(super) from: IpAddr,
    pub(super) to: IpAddr,
    segments: VecDeque<Segment>,
    /// Bytes in all segments.
    in_flight_bytes: usize,
    /// When the end of the channel arrives at the reader, if the writer has closed the channel.
    closed_at: Option<Instant>,
    pub(super) reset: bool,
    reader_closed: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// The random state from which the jitter of each write is derived.
    jitter_state: u64,
}

impl Channel {
    fn new(from: IpAddr, to: IpAddr, jitter_state: u64) -> Channel {
        Channel {
            from,
            to,
            segments: VecDeque::new(),
            in_flight_bytes: 0,
            closed_at: None,
            reset: false,
            reader_closed: false,
            reader: None,
            writer: None,
            jitter_state,
        }
    }

    pub(super) fn wake(&mut self) {
        self.reader.take().into_iter().for_each(Waker::wake);
        self.writer.take().into_iter().for_each(Waker::wake);
    }

    /// The later of `at` and the arrival of the last segment, as bytes arrive in the order in which they were written.
    fn after_last_segment(&self, at: Instant) -> Instant {
        self.segments.back().map_or(at, |last| at.max(last.arrives_at))
    }

    /// Moves bytes of the first segment to the buffer.
    fn read_segment(&mut self, buffer: &mut ReadBuf<'_>) {
        let Some(segment) = self.segments.front_mut() else {
            return;
        };
        let length = segment.bytes.len().min(buffer.remaining());
        buffer.put_slice(&segment.bytes[..length]);
        segment.bytes.drain(..length);
        if segment.bytes.is_empty() {
            self.segments.pop_front();
        }
        self.in_flight_bytes -= length;
        self.writer.take().into_iter().for_each(Waker::wake);
    }
}

/// The network as seen from one machine.
pub(super) struct HostNetwork {
    pub(super) network: SimulatedNetwork,
    pub(super) ip: IpAddr,
}

impl HostNetwork {
    /// Maps loopback addresses to the machine's own address, as each machine has a separate loopback interface.
    fn resolve_loopback(&self, address: SocketAddr) -> SocketAddr {
        if address.ip().is_loopback() { SocketAddr::new(self.ip, address.port()) } else { address }
    }
}

impl Network for HostNetwork {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        let to = self.resolve_loopback(to);
        Box::pin(connect(self.network.clone(), self.ip, to))
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let (queue, at) = (Rc::<RefCell<AcceptQueue>>::default(), self.resolve_loopback(at));
        let mut state = self.network.state.borrow_mut();
        if state.listeners.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        state.listeners.insert(at, Rc::clone(&queue));
        Ok(Box::new(SimulatedListener { network: self.network.clone(), at, queue }))
    }

    fn unique_id(&self) -> u64 {
        let mut state = self.network.state.borrow_mut();
        state.unique_ids += 1;
        hash_seed(self.network.seed, state.unique_ids)
    }
}

/// Connects after one round trip. Where either direction is cut this never returns, and callers rely on a timeout.
async fn connect(network: SimulatedNetwork, from: IpAddr, to: SocketAddr) -> io::Result<Stream> {
    let (number, delay) = {
        let mut state = network.state.borrow_mut();
        state.connection_attempts += 1;
        (state.connection_attempts, state.delay(from, to.ip()))
    };
    if !network.is_open(from, to.ip()) || !network.is_open(to.ip(), from) {
        std::future::pending::<()>().await;
    }
    sleep(delay * 2).await;
    let queue = network.state.borrow().listeners.get(&to).cloned();
    let Some(queue) = queue.filter(|_| network.is_open(from, to.ip())) else {
        return Err(io::ErrorKind::ConnectionRefused.into());
    };
    let outbound = open_channel(&network, from, to.ip(), number * 2);
    let inbound = open_channel(&network, to.ip(), from, number * 2 + 1);
    let accepted = Endpoint::new(&network, &outbound, &inbound);
    let mut queue = queue.borrow_mut();
    queue.waiting.push_back(accepted);
    queue.waker.take().into_iter().for_each(Waker::wake);
    Ok(Box::new(Endpoint::new(&network, &inbound, &outbound)) as Stream)
}

fn open_channel(network: &SimulatedNetwork, from: IpAddr, to: IpAddr, number: u64) -> Rc<RefCell<Channel>> {
    let channel = Rc::new(RefCell::new(Channel::new(from, to, hash_seed(network.seed, number))));
    network.state.borrow_mut().channels.push(Rc::downgrade(&channel));
    channel
}

struct SimulatedListener {
    network: SimulatedNetwork,
    at: SocketAddr,
    queue: Rc<RefCell<AcceptQueue>>,
}

impl Listener for SimulatedListener {
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Stream>> {
        let queue = Rc::clone(&self.queue);
        Box::pin(poll_fn(move |context| {
            let mut queue = queue.borrow_mut();
            match queue.waiting.pop_front() {
                Some(endpoint) => Poll::Ready(Ok(Box::new(endpoint) as Stream)),
                None => {
                    queue.waker = Some(context.waker().clone());
                    Poll::Pending
                }
            }
        }))
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        self.network.state.borrow_mut().listeners.remove(&self.at);
        // Dropping the endpoints borrows the network's state, so the borrow of the queue has to end first.
        let waiting = std::mem::take(&mut self.queue.borrow_mut().waiting);
        drop(waiting);
    }
}

/// One side of a connection.
struct Endpoint {
    inbound: Rc<RefCell<Channel>>,
    outbound: Rc<RefCell<Channel>>,
    network: SimulatedNetwork,
    timer: Option<Pin<Box<Sleep>>>,
}

/// The result of trying to read.
enum ReadState {
    /// Bytes were read, or the connection has been closed.
    Ready,
    /// The next bytes, or the end of the channel, arrive at this time.
    ArrivesAt(Instant),
    /// Nothing is in flight, or the link is cut. The channel wakes the reader when this changes.
    Idle,
}

impl Endpoint {
    fn new(
        network: &SimulatedNetwork,
        inbound: &Rc<RefCell<Channel>>,
        outbound: &Rc<RefCell<Channel>>,
    ) -> Endpoint {
        Endpoint {
            inbound: Rc::clone(inbound),
            outbound: Rc::clone(outbound),
            network: network.clone(),
            timer: None,
        }
    }

    fn try_read(&self, context: &Context<'_>, buffer: &mut ReadBuf<'_>) -> io::Result<ReadState> {
        let mut channel = self.inbound.borrow_mut();
        if channel.reset {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        channel.reader = Some(context.waker().clone());
        if !self.network.is_open(channel.from, channel.to) {
            return Ok(ReadState::Idle);
        }
        let now = Instant::now();
        let first_arrival = channel.segments.front().map(|segment| segment.arrives_at);
        Ok(match (first_arrival, channel.closed_at) {
            (Some(at), _) if at <= now => {
                channel.read_segment(buffer);
                ReadState::Ready
            }
            (Some(at), _) => ReadState::ArrivesAt(at),
            (None, Some(at)) if at <= now => ReadState::Ready,
            (None, Some(at)) => ReadState::ArrivesAt(at),
            (None, None) => ReadState::Idle,
        })
    }
}

impl AsyncRead for Endpoint {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let due = match this.try_read(context, buffer)? {
            ReadState::Ready => return Poll::Ready(Ok(())),
            ReadState::Idle => return Poll::Pending,
            ReadState::ArrivesAt(due) => due,
        };
        debug_assert!(due > Instant::now());
        let timer = this.timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
        timer.as_mut().reset(due);
        if timer.as_mut().poll(context).is_ready() {
            context.waker().wake_by_ref();
        }
        Poll::Pending
    }
}

impl AsyncWrite for Endpoint {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &[u8]) -> Poll<io::Result<usize>> {
        let mut channel = self.outbound.borrow_mut();
        if channel.reset || channel.reader_closed && self.network.is_open(channel.from, channel.to) {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if channel.in_flight_bytes >= SEND_WINDOW_BYTES {
            channel.writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        let mut state = self.network.state.borrow_mut();
        channel.jitter_state = hash_seed(channel.jitter_state, 1);
        let jitter = Duration::from_micros(channel.jitter_state % state.max_jitter_us);
        let delay = state.delay(channel.from, channel.to) + jitter;
        let due = state.transmit(channel.from, buffer.len()) + delay;
        let arrives_at = channel.after_last_segment(due);
        channel.segments.push_back(Segment { arrives_at, bytes: buffer.to_vec() });
        channel.in_flight_bytes += buffer.len();
        let traffic = state.traffic.entry(channel.from).or_default();
        traffic.bytes += buffer.len() as u64;
        traffic.messages += 1;
        channel.reader.take().into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(buffer.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        close(&self.network, &self.outbound);
        Poll::Ready(Ok(()))
    }
}

/// Closes a channel from the writer's side, unless the writer's machine has no power.
fn close(network: &SimulatedNetwork, channel: &RefCell<Channel>) {
    let mut channel = channel.borrow_mut();
    let state = network.state.borrow();
    if channel.closed_at.is_none() && !state.powered_off.contains(&channel.from) {
        let due = Instant::now() + state.delay(channel.from, channel.to) + CLOSE_DELAY;
        channel.closed_at = Some(channel.after_last_segment(due));
        channel.wake();
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        close(&self.network, &self.outbound);
        let mut channel = self.inbound.borrow_mut();
        if !self.network.state.borrow().powered_off.contains(&channel.to) {
            channel.reader_closed = true;
            channel.wake();
        }
    }
}
