use super::*;
use bytes::BytesMut;
use std::collections::HashMap;
use tokio_util::codec::Decoder;
use vanewharf_http1::ServerCodec;

fn dialect() -> PlatformDialect {
    let names = PolicyNames {
        plans: HashMap::from([("free".to_owned(), PlanId(0)), ("team".to_owned(), PlanId(1))]),
        products: HashMap::from([("look".to_owned(), ProductId(0))]),
        locality: String::new(),
    };
    let bounds = RequestBounds { max_cost: 8.0, gateways: 12, max_expiries: vec![Ticks::SECOND] };
    PlatformDialect { names, bounds }
}

/// The arrival event of a request with an additional header line. The header names are fixed by the platform.
fn arrival_with(line: &str) -> Arrival {
    let head = format!(
        "GET /look/x?key=00000000000000ff HTTP/1.1\r\nHost: h\r\nX-Service-Class: look\r\nX-Plan: team\r\n\
         X-Quota: units=2.5,spread=4,first=3\r\nX-Time-Left-Ms: 700\r\nX-Correlation-Id: 9b1f\r\n{line}\r\n"
    );
    let mut bytes = BytesMut::from(head.as_bytes());
    let request = ServerCodec::with_max_body(1 << 16)
        .decode(&mut bytes)
        .expect("a valid request")
        .expect("a complete request");
    match dialect().admit(&request, Ticks(1000), TxnId(7)) {
        Admission::Route(arrival) => arrival,
        _ => panic!("the request was not admitted"),
    }
}

#[test]
fn parses_the_header_fields_of_a_request() {
    let arrival = arrival_with("");
    let claim = arrival.claim;
    assert_eq!((arrival.txn, arrival.product, arrival.deadline), (TxnId(7), ProductId(0), Ticks(8000)));
    assert_eq!((claim.customer, claim.plan), (CustomerId(0xff), PlanId(1)));
    assert_eq!((claim.cost, claim.subset_size, claim.subset_start), (2.5, 4, 3));
}

#[test]
fn x_repeat_marks_a_request_as_a_retry() {
    assert!(!arrival_with("").claim.retry);
    assert!(arrival_with("X-Repeat: 1\r\n").claim.retry);
    assert!(!arrival_with("X-Repeat: 0\r\n").claim.retry);
    assert!(!arrival_with("X-Idempotency: 1\r\n").claim.retry);
}
