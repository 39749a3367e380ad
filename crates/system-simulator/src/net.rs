//! The network between the machines of a made-up system: links with a delay, which can be cut, and machines that lose
//! power. What a cut holds up comes when it is healed; a machine without power says nothing.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep, sleep_until};
use vanewharf_runtime::environment::{BoxFuture, Listener, Network, Stream};

/// What a writer may have under way before it waits for its reader.
const WINDOW: usize = 256 * 1024;

/// Where a machine stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub zone: String,
    pub region: String,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Carried {
    pub bytes: u64,
    pub calls: u64,
}

#[derive(Default)]
struct Map {
    places: BTreeMap<IpAddr, Place>,
    dark: BTreeSet<IpAddr>,
    /// Bytes a second that a machine sends at most, and when it has sent what it was given so far.
    narrow: BTreeMap<IpAddr, (u64, Instant)>,
    /// From one to another; the way back is its own.
    /// How many cuts there are of each way: it is healed with the last.
    cuts: BTreeMap<(IpAddr, IpAddr), usize>,
    ears: BTreeMap<SocketAddr, Rc<RefCell<Queue>>>,
    lanes: Vec<Weak<RefCell<Lane>>>,
    /// Per sending machine.
    carried: BTreeMap<IpAddr, Carried>,
    dialled: u64,
    lives: u64,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<End>,
    waker: Option<Waker>,
}

/// One direction of a connection.
struct Lane {
    from: IpAddr,
    to: IpAddr,
    chunks: VecDeque<(Instant, Vec<u8>)>,
    held: usize,
    /// The writer has ended it: nothing comes after that time.
    ended: Option<Instant>,
    reset: bool,
    /// Nobody reads any more.
    deaf: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    jitter: u64,
}

impl Lane {
    fn wake(&mut self) {
        self.reader.take().into_iter().for_each(Waker::wake);
        self.writer.take().into_iter().for_each(Waker::wake);
    }
}

impl Map {
    fn open(&self, from: IpAddr, to: IpAddr) -> bool {
        !self.dark.contains(&to) && !self.dark.contains(&from) && !self.cuts.contains_key(&(from, to))
    }

    /// One way, without the little that chance adds.
    fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        if from == to {
            return Duration::from_micros(50);
        }
        let (one, other) = (self.places.get(&from), self.places.get(&to));
        match one.zip(other) {
            Some((one, other)) if one.zone == other.zone => Duration::from_micros(300),
            Some((one, other)) if one.region == other.region => Duration::from_micros(900),
            Some(_) => Duration::from_millis(20),
            None => Duration::from_millis(2),
        }
    }

    /// When the last of so many bytes leaves the machine.
    fn sent(&mut self, from: IpAddr, bytes: usize) -> Instant {
        let now = Instant::now();
        let Some((rate, free)) = self.narrow.get_mut(&from) else {
            return now;
        };
        *free = now.max(*free) + Duration::from_secs_f64(bytes as f64 / *rate as f64);
        *free
    }

    fn wake_all(&mut self) {
        self.lanes.retain(|lane| lane.upgrade().is_some());
        for lane in self.lanes.iter().filter_map(Weak::upgrade) {
            lane.borrow_mut().wake();
        }
    }
}

/// Drawn from what it is for, so that the order in which tasks run decides nothing.
fn scatter(seed: u64, no: u64) -> u64 {
    let mut mixed = seed ^ no.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

#[derive(Clone)]
pub struct SimulatedNetwork {
    map: Rc<RefCell<Map>>,
    seed: u64,
}

impl SimulatedNetwork {
    pub fn new(seed: u64) -> SimulatedNetwork {
        SimulatedNetwork { map: Rc::default(), seed }
    }

    pub fn stand(&self, ip: IpAddr, place: Place) {
        self.map.borrow_mut().places.insert(ip, place);
    }

    /// The network as one process sees it.
    pub fn at(&self, ip: IpAddr) -> Rc<dyn Network> {
        Rc::new(View { network: self.clone(), ip })
    }

    pub fn cut(&self, from: IpAddr, to: IpAddr) {
        *self.map.borrow_mut().cuts.entry((from, to)).or_default() += 1;
    }

    pub fn heal(&self, from: IpAddr, to: IpAddr) {
        let mut map = self.map.borrow_mut();
        let left = map.cuts.get(&(from, to)).map_or(0, |cuts| cuts - 1);
        match left {
            0 => drop(map.cuts.remove(&(from, to))),
            left => drop(map.cuts.insert((from, to), left)),
        }
        map.wake_all();
    }

    /// What a machine sends goes no faster than so many bytes a second; none: as fast as it likes.
    pub fn narrow(&self, ip: IpAddr, rate: Option<u64>) {
        let mut map = self.map.borrow_mut();
        match rate {
            Some(rate) => drop(map.narrow.insert(ip, (rate.max(1), Instant::now()))),
            None => drop(map.narrow.remove(&ip)),
        }
    }

    pub fn open(&self, from: IpAddr, to: IpAddr) -> bool {
        self.map.borrow().open(from, to)
    }

    pub fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        self.map.borrow().delay(from, to)
    }

    /// The machine goes dark: its processes are gone, and nobody is told.
    pub fn dark(&self, ip: IpAddr) {
        self.map.borrow_mut().dark.insert(ip);
    }

    /// It has power again, and knows none of the connections that it had.
    pub fn lit(&self, ip: IpAddr) {
        let mut map = self.map.borrow_mut();
        if map.dark.remove(&ip) {
            for lane in map.lanes.iter().filter_map(Weak::upgrade) {
                let mut lane = lane.borrow_mut();
                lane.reset |= lane.from == ip || lane.to == ip;
            }
            map.wake_all();
        }
    }

    /// What each machine has sent so far.
    pub fn carried(&self) -> BTreeMap<IpAddr, Carried> {
        self.map.borrow().carried.clone()
    }
}

struct View {
    network: SimulatedNetwork,
    ip: IpAddr,
}

impl View {
    /// Each machine has a loopback of its own.
    fn there(&self, at: SocketAddr) -> SocketAddr {
        if at.ip().is_loopback() { SocketAddr::new(self.ip, at.port()) } else { at }
    }
}

impl Network for View {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        let (network, from, to) = (self.network.clone(), self.ip, self.there(to));
        Box::pin(async move {
            let (no, way) = {
                let mut map = network.map.borrow_mut();
                map.dialled += 1;
                (map.dialled, map.delay(from, to.ip()))
            };
            if !network.open(from, to.ip()) || !network.open(to.ip(), from) {
                // The caller gives up by itself.
                std::future::pending::<()>().await;
            }
            sleep(way * 2).await;
            let map = &network.map;
            let queue = map.borrow().ears.get(&to).cloned();
            let Some(queue) = queue.filter(|_| network.open(from, to.ip())) else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            let lane = |from, to, salt| {
                let lane = Rc::new(RefCell::new(Lane {
                    from,
                    to,
                    chunks: VecDeque::new(),
                    held: 0,
                    ended: None,
                    reset: false,
                    deaf: false,
                    reader: None,
                    writer: None,
                    jitter: scatter(network.seed, no * 2 + salt),
                }));
                map.borrow_mut().lanes.push(Rc::downgrade(&lane));
                lane
            };
            let (there, back) = (lane(from, to.ip(), 0), lane(to.ip(), from, 1));
            let end = |read: &Rc<RefCell<Lane>>, write: &Rc<RefCell<Lane>>| End {
                read: Rc::clone(read),
                write: Rc::clone(write),
                network: network.clone(),
                timer: None,
            };
            let mut queue = queue.borrow_mut();
            queue.waiting.push_back(end(&there, &back));
            queue.waker.take().into_iter().for_each(Waker::wake);
            Ok(Box::new(end(&back, &there)) as Stream)
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let (queue, at) = (Rc::<RefCell<Queue>>::default(), self.there(at));
        let mut map = self.network.map.borrow_mut();
        if map.ears.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        map.ears.insert(at, Rc::clone(&queue));
        Ok(Box::new(Listening { network: self.network.clone(), at, queue }))
    }

    fn unique_id(&self) -> u64 {
        let mut map = self.network.map.borrow_mut();
        map.lives += 1;
        scatter(self.network.seed, map.lives)
    }
}

struct Listening {
    network: SimulatedNetwork,
    at: SocketAddr,
    queue: Rc<RefCell<Queue>>,
}

impl Listener for Listening {
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Stream>> {
        let queue = Rc::clone(&self.queue);
        Box::pin(poll_fn(move |cx| {
            let mut queue = queue.borrow_mut();
            match queue.waiting.pop_front() {
                Some(end) => Poll::Ready(Ok(Box::new(end) as Stream)),
                None => {
                    queue.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        }))
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.network.map.borrow_mut().ears.remove(&self.at);
        let waiting = std::mem::take(&mut self.queue.borrow_mut().waiting);
        drop(waiting);
    }
}

/// One side of a connection.
struct End {
    read: Rc<RefCell<Lane>>,
    write: Rc<RefCell<Lane>>,
    network: SimulatedNetwork,
    timer: Option<Pin<Box<Sleep>>>,
}

impl AsyncRead for End {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let (due, now) = {
            let mut lane = this.read.borrow_mut();
            if lane.reset {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            lane.reader = Some(cx.waker().clone());
            if !this.network.open(lane.from, lane.to) {
                return Poll::Pending;
            }
            let now = Instant::now();
            match lane.chunks.front_mut() {
                Some((at, bytes)) if *at <= now => {
                    let part = bytes.len().min(buf.remaining());
                    buf.put_slice(&bytes[..part]);
                    bytes.drain(..part);
                    let empty = bytes.is_empty();
                    if empty {
                        lane.chunks.pop_front();
                    }
                    lane.held -= part;
                    lane.writer.take().into_iter().for_each(Waker::wake);
                    return Poll::Ready(Ok(()));
                }
                Some((at, _)) => (*at, now),
                None => match lane.ended {
                    Some(at) if at <= now => return Poll::Ready(Ok(())),
                    Some(at) => (at, now),
                    None => return Poll::Pending,
                },
            }
        };
        debug_assert!(due > now);
        let timer = this.timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
        timer.as_mut().reset(due);
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => {
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for End {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let mut lane = self.write.borrow_mut();
        if lane.reset || lane.deaf && self.network.open(lane.from, lane.to) {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if lane.held >= WINDOW {
            lane.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut map = self.network.map.borrow_mut();
        lane.jitter = scatter(lane.jitter, 1);
        let way = map.delay(lane.from, lane.to) + Duration::from_micros(lane.jitter % 400);
        let sent = map.sent(lane.from, buf.len());
        let due = sent + way;
        let due = lane.chunks.back().map_or(due, |(last, _)| due.max(*last));
        lane.chunks.push_back((due, buf.to_vec()));
        lane.held += buf.len();
        let carried = map.carried.entry(lane.from).or_default();
        carried.bytes += buf.len() as u64;
        carried.calls += 1;
        lane.reader.take().into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        end(&self.network, &self.write);
        Poll::Ready(Ok(()))
    }
}

fn end(network: &SimulatedNetwork, lane: &RefCell<Lane>) {
    let mut lane = lane.borrow_mut();
    let map = network.map.borrow();
    // One that went dark cannot say that it ended.
    if lane.ended.is_none() && !map.dark.contains(&lane.from) {
        let due = Instant::now() + map.delay(lane.from, lane.to) + Duration::from_micros(500);
        lane.ended = Some(lane.chunks.back().map_or(due, |(last, _)| due.max(*last)));
        lane.wake();
    }
}

impl Drop for End {
    fn drop(&mut self) {
        end(&self.network, &self.write);
        let mut lane = self.read.borrow_mut();
        if !self.network.map.borrow().dark.contains(&lane.to) {
            lane.deaf = true;
            lane.wake();
        }
    }
}
