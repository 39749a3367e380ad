use super::*;
use std::io;
use tokio::io::duplex;
use tokio::sync::mpsc;
use vanewharf_runtime::environment::BoxFuture;
use yare::parameterized;

#[test]
fn what_is_packed_is_unpacked_whole_and_what_is_no_packing_is_refused() {
    let body: Vec<u8> = (0..20_000u32).flat_map(|no| format!("\"r{}\":1,", no % 700).into_bytes()).collect();
    let small = packed(&body).expect("it can be packed");
    assert!(small.len() * 4 < body.len(), "{} of {}", small.len(), body.len());
    assert_eq!(unpacked(&small).expect("whole"), body);
    assert!(unpacked(&small[..small.len() / 2]).is_none() && unpacked(b"no such thing").is_none());
}

/// A network whose other side is the test itself: what is dialled comes out here.
struct Wires {
    dialled: mpsc::UnboundedSender<Stream>,
    lives: Cell<u64>,
}

impl Network for Wires {
    fn connect(&self, _: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        let (here, there) = duplex(1 << 16);
        let dialled = self.dialled.send(Box::new(there)).map_err(|_| io::ErrorKind::ConnectionRefused.into());
        Box::pin(async move { dialled.map(|()| Box::new(here) as Stream) })
    }

    fn listen(&self, _: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn unique_id(&self) -> u64 {
        self.lives.set(self.lives.get() + 1);
        self.lives.get()
    }
}

/// A listener whose connections are handed in by the test.
struct Incoming(mpsc::UnboundedReceiver<Stream>);

impl Listener for Incoming {
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Stream>> {
        Box::pin(async move { self.0.recv().await.ok_or_else(|| io::ErrorKind::NotConnected.into()) })
    }
}

const WITHIN: Duration = Duration::from_millis(300);

fn wires() -> (Rc<dyn Network>, RpcClient, mpsc::UnboundedReceiver<Stream>) {
    let (dialled, there) = mpsc::unbounded_channel();
    let net: Rc<dyn Network> = Rc::new(Wires { dialled, lives: Cell::new(0) });
    let caller = RpcClient::new("10.0.0.1:7600".parse().expect("an address"), &net);
    (net, caller, there)
}

/// The other side of one connection.
struct Callee(Framed<Stream, ServerCodec>);

impl Callee {
    async fn on(there: &mut mpsc::UnboundedReceiver<Stream>) -> Callee {
        Callee(Framed::new(there.recv().await.expect("it dials"), ServerCodec::with_max_body(MOST_BODY)))
    }

    /// The path and the id of the next call.
    async fn hears(&mut self) -> (String, Option<String>) {
        let request = self.0.next().await.expect("a call").expect("that can be read");
        (request.target().to_owned(), request.field(CALL_ID).map(str::to_owned))
    }

    async fn says(&mut self, id: Option<&str>, body: &str) {
        let fields: Vec<_> = id.map(|id| (CALL_ID, id)).into_iter().collect();
        let answer = PlainReply { status: 200, fields: &fields, body: body.as_bytes(), close: false };
        self.0.send(answer).await.expect("it is connected");
    }
}

async fn within_a_set(test: impl Future<Output = ()>) {
    // Of the made-up clock: a test that waits for what never comes fails.
    let ended = timeout(Duration::from_secs(60), tokio::task::LocalSet::new().run_until(test)).await;
    ended.expect("what was waited for has come");
}

/// What is wrong with an answer on a connection that was kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wrong {
    Doubled,
    Shuffled,
    Nameless,
    Garbled,
}

#[parameterized(
    doubled = { Wrong::Doubled },
    shuffled = { Wrong::Shuffled },
    nameless = { Wrong::Nameless },
    garbled = { Wrong::Garbled },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn an_answer_goes_to_the_call_that_it_answers(wrong: Wrong) {
    within_a_set(async {
        let (_net, mut caller, mut there) = wires();
        let calls = async {
            assert_eq!(caller.post::<_, u32>("/pull", &1, WITHIN).await.expect("answered"), 1);
            caller.post::<_, u32>("/pull", &2, WITHIN).await
        };
        let callee = async {
            let mut first = Callee::on(&mut there).await;
            let (_, id) = first.hears().await;
            first.says(id.as_deref(), "1").await;
            if wrong == Wrong::Doubled {
                // It comes when the next call is on its way already.
                first.hears().await;
                first.says(id.as_deref(), "1").await;
            } else {
                let (_, id) = first.hears().await;
                match wrong {
                    Wrong::Shuffled => first.says(Some("7-1"), "1").await,
                    Wrong::Nameless => first.says(None, "1").await,
                    _ => first.0.get_mut().write_all(b"HTP/1 no answer\r\n\r\n").await.expect("connected"),
                }
                assert!(id.is_some());
            }
            if wrong != Wrong::Garbled {
                assert!(first.0.next().await.is_none(), "its connection is closed");
                let mut second = Callee::on(&mut there).await;
                let (_, id) = second.hears().await;
                second.says(id.as_deref(), "2").await;
            }
        };
        let (answer, ()) = tokio::join!(calls, callee);
        match wrong {
            Wrong::Garbled => assert!(matches!(answer, Err(RpcError::Malformed)), "{answer:?}"),
            _ => assert_eq!(answer.expect("its own"), 2),
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_comes_late_reaches_nobody() {
    within_a_set(async {
        let (_net, mut caller, mut there) = wires();
        let calls = async {
            assert!(matches!(caller.post::<_, u32>("/pull", &1, WITHIN).await, Err(RpcError::Timeout)));
            caller.post::<_, u32>("/pull", &2, WITHIN).await.expect("answered")
        };
        let callee = async {
            let mut first = Callee::on(&mut there).await;
            let (_, late) = first.hears().await;
            let mut second = Callee::on(&mut there).await;
            assert!(first.0.next().await.is_none(), "it is not waited for on that connection");
            let (_, id) = second.hears().await;
            assert_ne!(id, late);
            second.says(id.as_deref(), "2").await;
        };
        assert_eq!(tokio::join!(calls, callee).0, 2);
    })
    .await;
}

/// What goes out again when a kept connection breaks after the request was written.
#[parameterized(
    what_adds_up_under_the_same_id = { "/lend", true, "POST", Some(true) },
    what_changes_nothing_as_a_new_call = { "/pull", true, "POST", Some(false) },
    a_question_to_a_stranger = { "/instances", false, "GET", Some(true) },
    an_order_to_a_stranger_not_at_all = { "/-/Configuration.Replace", false, "POST", None },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn what_may_have_arrived_goes_out_again_only_if_that_can_do_no_harm(
    path: &str,
    own: bool,
    method: &str,
    again: Option<bool>,
) {
    within_a_set(async {
        let (_net, mut caller, mut there) = wires();
        let calls = async {
            for _ in 0..2 {
                let asked = Asked { method, path, body: "1", own };
                if let Err(failed) = caller.request(asked, WITHIN).await {
                    assert!(matches!(failed, RpcError::ConnectionLost) && again.is_none(), "{failed:?}");
                }
            }
        };
        let callee = async {
            let mut first = Callee::on(&mut there).await;
            let (_, id) = first.hears().await;
            first.says(id.as_deref(), "1").await;
            let (_, id) = first.hears().await;
            drop(first);
            if let Some(same) = again {
                let mut second = Callee::on(&mut there).await;
                let (target, repeated) = second.hears().await;
                assert_eq!((target.as_str(), repeated == id), (path, same));
                second.says(repeated.as_deref(), "1").await;
            }
        };
        tokio::join!(calls, callee);
        assert!(there.try_recv().is_err(), "no more connections than these");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_kept_connection_that_something_came_on_is_not_used() {
    within_a_set(async {
        let (_net, mut caller, mut there) = wires();
        let first = async {
            let mut first = Callee::on(&mut there).await;
            let (_, id) = first.hears().await;
            first.says(id.as_deref(), "1").await;
            first
        };
        let asked = Asked { method: "GET", path: "/instances", body: "", own: false };
        let (_, mut first) = tokio::join!(caller.request(asked, WITHIN), first);
        first.says(None, "1").await;
        let callee = async {
            let mut second = Callee::on(&mut there).await;
            second.hears().await;
            second.says(None, "2").await;
        };
        let asked = Asked { method: "GET", path: "/instances", body: "", own: false };
        let (answer, ()) = tokio::join!(caller.request(asked, WITHIN), callee);
        assert_eq!(answer.expect("answered"), (200, b"2".to_vec()));
    })
    .await;
}

/// Raw calls to a server that counts what it carries out.
#[tokio::test(start_paused = true)]
async fn a_call_that_is_heard_twice_is_carried_out_once_and_told_so() {
    within_a_set(async {
        let (net, _, there) = wires();
        let done = Rc::new(Cell::new(0));
        let counted = Rc::clone(&done);
        tokio::task::spawn_local(serve_deduplicated(Box::new(Incoming(there)), move |_| {
            counted.set(counted.get() + 1);
            let said = RpcResponse::json(&counted.get());
            async move { said }
        }));
        let raw = |path: &'static str, id: &'static str| {
            let dialling = net.connect("10.0.0.1:7600".parse().expect("an address"));
            async move {
                let mut framed =
                    Framed::new(dialling.await.expect("up"), ClientCodec::with_max_body(MOST_BODY));
                let text = format!(
                    "POST {path} HTTP/1.1\r\nHost: h\r\n{CALL_ID}: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                framed.get_mut().write_all(text.as_bytes()).await.expect("connected");
                let reply = framed.next().await.expect("answered").expect("read");
                let named = reply.field(CALL_ID) == Some(id);
                let body = String::from_utf8_lossy(reply.body()).into_owned();
                (reply.status(), body, reply.field(CALL_REPEATED).is_some(), named)
            }
        };
        assert_eq!(raw("/lend", "a-1").await, (200, "1".to_owned(), false, true));
        assert_eq!(raw("/lend", "a-1").await, (200, "1".to_owned(), true, true), "the first answer again");
        assert_eq!(raw("/vote", "b-4").await, (200, "2".to_owned(), false, true));
        for (path, id) in [("/vote", "b-4"), ("/vote", "b-3")] {
            let (status, why, _, named) = raw(path, id).await;
            assert!(status == 409 && why.contains("heard before") && named, "{id}: {status} {why}");
        }
        let (status, why, ..) = raw("/vote", "so").await;
        assert!(status == 400 && why.contains("id cannot be read"), "{status} {why}");
        assert_eq!(done.get(), 2);
    })
    .await;
}
