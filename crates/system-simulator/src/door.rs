//! A carrier among made-up clients and backends: the real gate, tables, buckets and rounds, fed by the real link from the
//! real sorter. Only the sockets of clients and backends are stood in for.

use super::net::SimulatedNetwork;
use super::town::{Asked, Heard, Run, Town};
use bytes::BytesMut;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use tokio_util::codec::Decoder;
use vanewharf_config::configuration::Config;
use vanewharf_config::settings::Settings;
use vanewharf_gateway::dialect::{Admission, HttpDialect};
use vanewharf_gateway::router::RoutingPolicy;
use vanewharf_http1::{Request, ServerCodec};
use vanewharf_policy::interface::{
    Action, AttemptNumber, AttemptReport, BackendId, Event, Outcome, Ticks, TxnId,
};
use vanewharf_proxy::data_plane::DataPlane;
use vanewharf_proxy::request_gate::RequestGate;
use vanewharf_proxy::update::Update;
use vanewharf_runtime::environment::Environment;

/// A request that a client sends.
#[derive(Clone, Debug)]
pub struct Ask {
    pub attempt: u64,
    pub once_only: bool,
    pub path: String,
    pub key: String,
    pub sent: Instant,
}

/// What a client's request waits at most.
const PATIENCE: Duration = Duration::from_millis(2000);
/// A backend's work on one request, and what chance adds to it.
const WORK: Duration = Duration::from_millis(40);
const MORE_WORK: u64 = 60;
/// A backend that is gone or cut off: the connection does not come up.
const NO_DIAL: Duration = Duration::from_millis(300);

struct Txn {
    ask: Ask,
    submissions: u32,
}

pub struct Door {
    no: usize,
    ip: IpAddr,
    town: Rc<Town>,
    network: SimulatedNetwork,
    premises: Environment,
    data_plane: DataPlane,
    life: u64,
    next: u64,
    revision: u64,
    txns: BTreeMap<TxnId, Txn>,
    ends: mpsc::UnboundedSender<AttemptReport>,
}

fn request(ask: &Ask) -> Option<Request> {
    let text = format!(
        "GET {} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {:016x}\r\nRemaining-Milliseconds: {}\r\nX-Api-Key: {}\r\n\r\n",
        ask.path,
        ask.attempt,
        PATIENCE.as_millis(),
        ask.key
    );
    ServerCodec::with_max_body(1024).decode(&mut BytesMut::from(text.as_bytes())).ok().flatten()
}

impl Door {
    pub async fn run(
        (no, town, network): (usize, Rc<Town>, SimulatedNetwork),
        settings: Settings,
        premises: Environment,
        asks: Rc<std::cell::RefCell<Option<mpsc::UnboundedSender<Ask>>>>,
    ) -> Result<(), String> {
        let settings = Rc::new(settings);
        let frontend = settings.listen_address("frontend").map_err(|fault| fault.to_string())?;
        let data_plane = DataPlane::start(&settings, &premises, frontend);
        town.feeds.borrow_mut().insert(no, data_plane.publisher.clone());
        let (tell, mut asked) = mpsc::unbounded_channel();
        *asks.borrow_mut() = Some(tell);
        let (ends, mut ended) = mpsc::unbounded_channel();
        let (life, ip) = (premises.random_incarnation(), settings.ip);
        let (next, revision, txns) = (0, 0, BTreeMap::new());
        let mut door = Door { no, ip, town, network, premises, data_plane, life, next, revision, txns, ends };
        loop {
            let now = door.now();
            tokio::select! {
                biased;
                Some(news) = door.data_plane.updates.recv() => door.hear(news),
                Some(ending) = ended.recv() => {
                    let settled = ending.outcome == Outcome::Succeeded;
                    let txn = ending.txn;
                    let now = door.now();
                    let actions = door.data_plane.pools.decide(now, vec![Event::AttemptEnded(ending)]);
                    if settled {
                        door.over(txn, 200);
                    }
                    door.carry_out(actions);
                }
                Some(ask) = asked.recv() => door.take(ask),
                else => return Err(format!("a door's queues have ended at {now:?}")),
            }
        }
    }

    fn now(&self) -> Ticks {
        Ticks(self.data_plane.snapshot.clock.now().0 as i64)
    }

    fn hear(&mut self, news: Update) {
        if let Update::Register(register) = &news {
            let config =
                register.config.as_ref().and_then(|config| Config::parse(config.get().as_bytes()).ok());
            self.revision = config.map_or(0, |config| config.revision.0);
            let mut hasher = DefaultHasher::new();
            (register.config.as_ref().map(|config| config.get()), &register.evacuated, &register.membership)
                .hash(&mut hasher);
            self.town.history.borrow_mut().heard.push(Heard {
                door: self.no,
                life: self.life,
                at: Instant::now(),
                no: register.revision.0,
                revision: self.revision,
                body: hasher.finish(),
            });
        }
        let now = self.now();
        self.data_plane.pools.apply_update(now, news);
        let actions = self.data_plane.pools.decide(now, Vec::new());
        self.carry_out(actions);
    }

    fn take(&mut self, ask: Ask) {
        self.next += 1;
        let (txn, now) = (TxnId(self.next), self.now());
        let asked = Asked {
            sent: ask.sent,
            door: self.no,
            revision: self.revision,
            attempt: ask.attempt,
            status: None,
            took: Duration::ZERO,
        };
        self.town.history.borrow_mut().asked.insert(ask.attempt, asked);
        let gate = RequestGate::new(Rc::clone(&self.data_plane.snapshot));
        let admitted = request(&ask).map(|request| gate.admit(&request, now, txn));
        self.txns.insert(txn, Txn { ask, submissions: 0 });
        match admitted {
            Some(Admission::Txn(arrival)) => {
                let actions = self.data_plane.pools.decide(now, vec![Event::RequestArrived(arrival)]);
                self.carry_out(actions);
            }
            Some(Admission::Reject { status, .. }) => self.over(txn, status),
            Some(Admission::RetryAfter(_)) => self.over(txn, 503),
            Some(Admission::Health) | None => self.over(txn, 500),
        }
    }

    fn over(&mut self, txn: TxnId, status: u16) {
        if let Some(known) = self.txns.get(&txn)
            && let Some(asked) = self.town.history.borrow_mut().asked.get_mut(&known.ask.attempt)
            && asked.status.is_none()
        {
            asked.status = Some(status);
            asked.took = asked.sent.elapsed();
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendAttempt { txn, backend, .. } => self.submit(txn, backend),
                Action::Reject { txn, retry_after } => {
                    self.over(txn, if retry_after.is_some() { 429 } else { 503 });
                }
                Action::Fail { txn } => self.over(txn, 502),
                // The stand-in's submissions always end by themselves.
                Action::CancelAttempt { .. }
                | Action::SetTimer { .. }
                | Action::IncrementCounter { .. }
                | Action::SendPeerMessage { .. } => {}
            }
        }
    }

    fn submit(&mut self, txn: TxnId, backend: BackendId) {
        let fields = self.data_plane.pools.extra_headers(txn, backend);
        let field = |name: &str| {
            let found = fields.iter().find(|(known, _)| *known == name);
            found.map(|(_, value)| value.clone()).unwrap_or_default()
        };
        let (instance, tenant) = (field("Expected-Instance"), field("Customer-Name"));
        let Some(known) = self.txns.get_mut(&txn) else {
            return;
        };
        let no = AttemptNumber(known.submissions);
        known.submissions += 1;
        let left = PATIENCE.saturating_sub(known.ask.sent.elapsed());
        let ask = known.ask.clone();
        let there = self.town.backends.borrow().get(&instance).cloned();
        let way =
            there.as_ref().map_or(Duration::ZERO, |there| self.network.delay(self.ip, there.address.ip()));
        let work = WORK + Duration::from_millis(self.premises.random_below(MORE_WORK));
        let (town, network, ends) = (Rc::clone(&self.town), self.network.clone(), self.ends.clone());
        let (ip, door, revision) = (self.ip, self.no, self.revision);
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            let address = there.map(|there| there.address.ip());
            if address.is_none_or(|address| !network.open(ip, address)) {
                sleep(NO_DIAL).await;
                end(&ends, txn, no, Outcome::ConnectFailed, begun);
                return;
            }
            sleep(way).await;
            // It may have ended on the way.
            let lives = town.backends.borrow().get(&instance).is_some_and(|one| one.gone.is_none());
            if !lives {
                end(&ends, txn, no, Outcome::ConnectFailed, begun);
                return;
            }
            let Ask { attempt, once_only, key, sent, .. } = ask;
            let at = Instant::now();
            let run = Run { at, sent, attempt, once_only, backend: instance, tenant, key, door, revision };
            town.history.borrow_mut().runs.push(run);
            let whole = work + way;
            let outcome =
                if begun.elapsed() + whole <= left { Outcome::Succeeded } else { Outcome::TimedOut };
            sleep(whole.min(left)).await;
            end(&ends, txn, no, outcome, begun);
        });
    }
}

fn end(
    ends: &mpsc::UnboundedSender<AttemptReport>,
    txn: TxnId,
    no: AttemptNumber,
    outcome: Outcome,
    begun: Instant,
) {
    let took = Ticks((begun.elapsed().as_micros() / 100) as i64);
    let complete = outcome == Outcome::Succeeded;
    // The door that waited for it may be gone.
    let _ = ends.send(AttemptReport {
        txn,
        attempt: no,
        outcome,
        latency: took,
        complete,
        metered_usage: None,
        actual_cost: None,
    });
}
