use super::*;
use crate::clock::Clock;
use crate::dialect::{Admission, ForwardingOptions, HttpDialect, ReplyMatch};
use crate::resources::{ResourceLimits, Resources};
use bytes::BytesMut;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::timeout;
use tokio_util::codec::Decoder;
use vanewharf_gateway_settings::ConnectionTimeouts;
use vanewharf_http1::ServerCodec;
use vanewharf_policy::interface::{
    Action, Arrival, BackendId, BackendInfo, BackendStatus, Idempotency, TxnId,
};

const TXN: TxnId = TxnId(1);
const BACKEND: BackendId = BackendId(7);
const REQUEST_TIME: Ticks = Ticks(500);
/// Longer than a request can take, given `REQUEST_TIME`.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

struct TestDialect;

impl HttpDialect for TestDialect {
    fn forwarding_options(&self) -> ForwardingOptions {
        ForwardingOptions {
            time_left_header: "Time-Left",
            request_headers_removed: &[],
            response_headers_removed: &[],
            busy_retry_after: None,
            request_timeout: TEST_TIMEOUT,
            idle_timeout: TEST_TIMEOUT,
        }
    }

    fn admit(&self, _: &Request, now: Ticks, txn: TxnId) -> Admission {
        Admission::Route(Arrival { txn, deadline: now + REQUEST_TIME, ..Arrival::default() })
    }

    fn request_id<'a>(&self, _: &'a Request) -> Option<&'a str> {
        Some("id")
    }

    fn match_reply(&self, _: &Request, _: &Reply) -> ReplyMatch {
        ReplyMatch::Unidentified
    }
}

/// A faulty policy: it makes no decision on a request, or none after its first attempt, or rejects the request while the
/// attempt is in flight.
#[derive(Clone, Copy, Debug)]
enum FaultyPolicy {
    NeverSends,
    SendsOnce,
    RejectsWhileInFlight,
}

impl RoutingPolicy for FaultyPolicy {
    type Update = std::convert::Infallible;

    fn decide(&mut self, _: Ticks, events: Vec<Event>) -> Vec<Action> {
        let arrived = events.iter().any(|event| matches!(event, Event::RequestArrived(_)));
        let send = Action::SendAttempt { txn: TXN, backend: BACKEND, timeout: None };
        match self {
            FaultyPolicy::SendsOnce if arrived => vec![send],
            FaultyPolicy::RejectsWhileInFlight if arrived => {
                vec![send, Action::Reject { txn: TXN, retry_after: Some(Ticks::SECOND) }]
            }
            _ => Vec::new(),
        }
    }

    fn idempotency(&self, _: &Arrival) -> Idempotency {
        Idempotency::NonIdempotent
    }

    fn apply_update(&mut self, _: Ticks, update: Self::Update) -> Option<BackendUpdate> {
        match update {}
    }
}

fn request() -> Request {
    let mut bytes = BytesMut::from("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ServerCodec::default().decode(&mut bytes).expect("a valid request").expect("a complete request")
}

/// The answer to one request, whose only backend accepts connections and never replies.
async fn answer_of(policy: FaultyPolicy) -> FinalAnswer {
    let backend = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let info = BackendInfo {
        backend: BACKEND,
        status: BackendStatus::Ready,
        capacity: 1.0,
        local: true,
        started_at: None,
    };
    let entry = BackendEntry { info, address: backend.local_addr().ok() };
    let (messages, received) = mpsc::unbounded_channel();
    let (_updates, no_updates) = mpsc::unbounded_channel();
    let resources = Rc::new(Resources::new(ResourceLimits::within(256, 64)));
    let timeouts = ConnectionTimeouts { idle: Ticks::SECOND, dial: Ticks::SECOND };
    let shared = Rc::new(Shared::new(Clock::start(), resources, Box::new(TestDialect), timeouts, messages));
    let initial = BackendUpdate::Snapshot(vec![entry]);
    let router = Router::new(Rc::clone(&shared), policy, initial, None, None);
    tokio::task::spawn_local(router.run(received, no_updates));
    let (answer, answered) = oneshot::channel();
    let open_id = shared.open_ids.try_open("id").expect("no other request is open");
    let deadline = shared.clock.now() + REQUEST_TIME;
    let arrival = Arrival { txn: TXN, deadline, ..Arrival::default() };
    shared.notify_router(RouterMessage::NewRequest(NewRequest {
        arrival,
        request: Rc::new(request()),
        open_id,
        answer,
    }));
    let answered = timeout(TEST_TIMEOUT, answered).await.expect("an answer in time");
    answered.expect("the router answers")
}

#[test]
fn a_request_is_answered_by_its_expiry_even_if_the_policy_makes_no_decision() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let answer = |policy| runtime.block_on(LocalSet::new().run_until(answer_of(policy)));
    let never_sent = answer(FaultyPolicy::NeverSends);
    assert!(matches!(never_sent, FinalAnswer::Declined { retry_after: None }), "{never_sent:?}");
    let sent = answer(FaultyPolicy::SendsOnce);
    assert!(matches!(sent, FinalAnswer::OutcomeUnknown), "{sent:?}");
}

/// Guards against a promise that rests on the policy alone: a request with an attempt in flight may have run.
#[test]
fn a_request_that_may_have_run_gets_no_promise_even_if_the_policy_rejects_it() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let answer = runtime.block_on(LocalSet::new().run_until(answer_of(FaultyPolicy::RejectsWhileInFlight)));
    assert!(matches!(answer, FinalAnswer::OutcomeUnknown), "{answer:?}");
}
