//! Faulty backends: with every kind of fault, a mutating request that may have been executed is neither retried nor
//! reported as not executed, and no client receives the response to another request.

use vanewharf_testkit::backend::{Behavior, LARGE_BODY_BYTES};
use vanewharf_testkit::cluster::TestCluster;
use vanewharf_testkit::http::{Message, send_request};
use yare::parameterized;

fn send(cluster: &TestCluster, path: &str, attempt: &str) -> Option<Message> {
    send_with_body(cluster, path, attempt, "")
}

fn send_with_body(cluster: &TestCluster, path: &str, attempt: &str, body: &str) -> Option<Message> {
    let headers = [
        ("Host", "shop.example"),
        ("Attempt-Id", attempt),
        ("Remaining-Milliseconds", "400"),
        ("X-Api-Key", "key-a"),
    ];
    send_request(
        cluster.frontend_address(0),
        if path == "/read/x" { "GET" } else { "POST" },
        path,
        &headers,
        body,
    )
    .ok()
}

/// Statuses that assert that a request was not executed and will not be.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Sends a request and checks its response. Returns the status, and how often the request was executed.
fn send_and_check(cluster: &TestCluster, behavior: Behavior, mutating: bool, attempt: &str) -> (u16, usize) {
    let path = if mutating { "/write/x" } else { "/read/x" };
    let response = send(cluster, path, attempt);
    let executions = cluster.count_executions(attempt);
    let context = format!("{behavior:?} {path} executed {executions} times: {response:?}");
    let Some(response) = response else {
        panic!("no response: {context}");
    };
    if response.status() == 200 {
        assert_eq!(response.header("Attempt-Id"), Some(attempt), "{context}");
        assert!(
            response.body.starts_with("i-") && response.header("Backend-Seal") == Some("s.1"),
            "{context}"
        );
        assert!(executions >= 1, "{context}");
    }
    if mutating {
        assert!(executions <= 1, "executed more than once: {context}");
        assert!(
            executions == 0 || !NOT_EXECUTED_STATUSES.contains(&response.status()),
            "the request was executed: {context}"
        );
    } else {
        assert!(executions <= 2, "{context}");
    }
    (response.status(), executions)
}

#[parameterized(
    closes_without_response = { Behavior::ClosesWithoutResponse, false },
    resets_connection = { Behavior::ResetsConnection, false },
    never_responds = { Behavior::NeverResponds, false },
    responds_for_another_first = { Behavior::RespondsForAnotherFirst, true },
    responds_for_another_only = { Behavior::RespondsForAnotherOnly, false },
    repeats_previous_response = { Behavior::RepeatsPreviousResponse, true },
    responds_twice = { Behavior::RespondsTwice, true },
    omits_attempt_id = { Behavior::OmitsAttemptId, false },
    omits_seal = { Behavior::OmitsSeal, false },
    sends_garbage = { Behavior::SendsGarbage, false },
    truncates_response = { Behavior::TruncatesResponse, false },
    fails = { Behavior::Fails, false },
    claims_status_408 = { Behavior::ClaimsStatus(408), false },
    claims_status_429 = { Behavior::ClaimsStatus(429), false },
    claims_status_503 = { Behavior::ClaimsStatus(503), false },
    sheds = { Behavior::Sheds, false },
)]
fn faulty_backends_cause_no_duplicate_execution_and_no_foreign_response(behavior: Behavior, served: bool) {
    let cluster = TestCluster::start_serving();
    cluster.backends.iter().for_each(|backend| backend.set_behavior(behavior));
    for mutating in [true, false] {
        let mut total = 0;
        for round in 0..6 {
            let (status, executions) =
                send_and_check(&cluster, behavior, mutating, &format!("{mutating}-{round}"));
            assert_eq!(served, status == 200, "{behavior:?}, mutating {mutating}, round {round}: {status}");
            total += executions;
        }
        assert_eq!(
            total > 0,
            behavior != Behavior::Sheds,
            "whether any request is executed with {behavior:?}"
        );
    }
    cluster.backends.iter().for_each(|backend| backend.set_behavior(Behavior::Serves));
    // Bytes left on backend connections by the faulty responses must not reach a client.
    let mut sent = 0;
    cluster.wait_until("all backends serve again", || {
        sent += 1;
        let (status, _) = send_and_check(&cluster, Behavior::Serves, sent % 2 == 0, &format!("well-{sent}"));
        (status == 200 && sent > 12).then_some(())
    });
}

/// Guards against review/3: a mutating request that ran before the proxy had sent all of its body got 503, or ran twice.
#[parameterized(
    responds = { Behavior::RespondsBeforeBody, 200 },
    resets = { Behavior::ResetsBeforeBody, 502 },
    stalls = { Behavior::StallsBeforeBody, 502 },
)]
fn a_mutating_request_that_ran_before_its_body_was_sent_gets_no_promise_and_runs_once(
    behavior: Behavior,
    status: u16,
) {
    let cluster = TestCluster::start_serving();
    cluster.backends.iter().for_each(|backend| backend.set_behavior(behavior));
    let body = "b".repeat(LARGE_BODY_BYTES);
    for round in 0..6 {
        let attempt = format!("large-{round}");
        let response = send_with_body(&cluster, "/write/x", &attempt, &body);
        let response = response.unwrap_or_else(|| panic!("no response in round {round}"));
        assert_eq!(response.status(), status, "round {round}: {response:?}");
        assert_eq!(cluster.count_executions(&attempt), 1, "round {round}");
    }
}
