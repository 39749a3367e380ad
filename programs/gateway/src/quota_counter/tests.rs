use super::*;
use std::cell::RefCell;
use tokio::net::TcpSocket;

const CALL_TIMEOUT: Ticks = Ticks(800);

#[tokio::test(start_paused = true)]
async fn an_unreachable_counter_delays_no_call_beyond_one_timeout() {
    let (calls, received) = mpsc::unbounded_channel();
    let reported = RefCell::new(Vec::new());
    let started = Instant::now();
    for key in 0..5 {
        let call = Call { key: CounterKey(key), amount: 1.0, expire_after: Ticks::SECOND };
        assert!(calls.send(call).is_ok());
    }
    drop(calls);
    let report = |key, reply| reported.borrow_mut().push((key, reply, started.elapsed()));
    serve(std::future::pending, CALL_TIMEOUT, received, report).await;
    let reported = reported.into_inner();
    assert_eq!(reported.len(), 5, "{reported:?}");
    for (number, (key, reply, took)) in reported.iter().enumerate() {
        assert_eq!((*key, *reply), (CounterKey(number as u64), CounterReply::NotAdded));
        assert!(*took < to_duration(CALL_TIMEOUT) + to_duration(CALL_TIMEOUT).div_f64(2.0), "{reported:?}");
    }
}

/// Guards against an unreadable reply that counts as proof: only the counter's own error states that nothing was added.
#[test]
fn a_reply_that_cannot_be_read_does_not_prove_that_nothing_was_added() {
    let text = |text: &'static str| BytesFrame::BulkString(text.into());
    let unreadable = [text("12 units"), text(""), text("NaN"), BytesFrame::Null, BytesFrame::Array(vec![])];
    for reply in unreadable {
        assert_eq!(parse_reply(reply.clone()), CounterReply::Unknown, "{reply:?}");
    }
    for error in ["BUSY", "ERR unknown command"] {
        assert_eq!(parse_reply(BytesFrame::Error(error.into())), CounterReply::NotAdded);
    }
    assert_eq!(parse_reply(text(" 2.5 ")), CounterReply::Total(2.5));
    assert_eq!(parse_reply(BytesFrame::Integer(3)), CounterReply::Total(3.0));
}

/// The number of calls that is certain to exceed the buffers of a connection with [`SOCKET_BUFFER_BYTES`].
const UNSENDABLE_CALLS: u64 = 2000;
const SOCKET_BUFFER_BYTES: u32 = 4096;

async fn connect_with_small_buffers(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.connect(address).await
}

/// Guards against calls that wait forever behind one that a counter does not read: each is reported in time.
#[tokio::test(start_paused = true)]
async fn a_counter_that_does_not_read_delays_no_call_beyond_its_timeout() {
    let listening = TcpSocket::new_v4().expect("a socket");
    listening.set_recv_buffer_size(SOCKET_BUFFER_BYTES).expect("a buffer size");
    listening.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = listening.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (calls, received) = mpsc::unbounded_channel();
    for key in 0..UNSENDABLE_CALLS {
        let call = Call { key: CounterKey(key), amount: 1.0, expire_after: Ticks::SECOND };
        assert!(calls.send(call).is_ok());
    }
    let reported = RefCell::new(Vec::new());
    let started = Instant::now();
    let report = |_, reply| reported.borrow_mut().push((reply, started.elapsed()));
    let serving = serve(|| connect_with_small_buffers(address), CALL_TIMEOUT, received, report);
    let _ = timeout(to_duration(CALL_TIMEOUT) * 100, serving).await;
    drop(calls);
    let reported = reported.into_inner();
    assert_eq!(reported.len() as u64, UNSENDABLE_CALLS, "calls without a report");
    let latest = reported.iter().map(|(_, took)| *took).max().expect("a report");
    assert!(latest < to_duration(CALL_TIMEOUT) * 2, "{latest:?}");
    // A call that was sent, or in part, may have been executed. The others were not sent.
    let unknown = reported.iter().filter(|(reply, _)| *reply == CounterReply::Unknown).count();
    let not_sent = reported.iter().filter(|(reply, _)| *reply == CounterReply::NotAdded).count();
    assert!(unknown > 0 && not_sent > 0 && unknown + not_sent == reported.len(), "{unknown}, {not_sent}");
}
