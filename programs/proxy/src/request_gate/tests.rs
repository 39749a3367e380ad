//! The classification of backends' replies: whether a reply belongs to the request in flight, and whether it
//! proves that the request did not run.

use super::classify_reply;
use bytes::BytesMut;
use tokio_util::codec::Decoder;
use vanewharf_gateway::dialect::ReplyMatch;
use vanewharf_http1::{ClientCodec, Reply};
use vanewharf_policy::interface::Outcome;
use yare::parameterized;

const OWN_ID: &str = "9c41d07be2a35f68";
const MAX_BODY_BYTES: usize = 1 << 10;

fn reply(status: &str, fields: &str) -> Reply {
    let text = format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: 0\r\n\r\n");
    // Each character is one byte, so that values which are not valid UTF-8 can be written.
    let mut bytes: BytesMut = text.chars().map(|character| character as u8).collect();
    let decoded = ClientCodec::with_max_body(MAX_BODY_BYTES).decode(&mut bytes);
    decoded.expect("a reply").expect("all of it")
}

/// According to the examples of the protocol, replies of backends that shed load, and of backends at a reused address,
/// contain no attempt id. After any other error without an id, the request may have run.
#[parameterized(
    sheds = { "503", "Not-Executed: 1\r\n", ReplyMatch::Current(Outcome::Rejected) },
    sheds_with_id = { "503", "Not-Executed: 1\r\nAttempt-Id: 9c41d07be2a35f68\r\n", ReplyMatch::Current(Outcome::Rejected) },
    over_a_limit = { "429", "Not-Executed: 1\r\n", ReplyMatch::Current(Outcome::Rejected) },
    other_instance = { "421", "Instance-Id: i-02d9e6b4\r\n", ReplyMatch::Current(Outcome::Rejected) },
    without_guarantee = { "503", "", ReplyMatch::Current(Outcome::Error) },
    own_error = { "500", "Attempt-Id: 9c41d07be2a35f68\r\n", ReplyMatch::Current(Outcome::Error) },
    late_rejection_of_another = { "503", "Not-Executed: 1\r\nAttempt-Id: 77\r\n", ReplyMatch::OtherRequest },
    late_success_of_another = { "200", "Attempt-Id: 77\r\nBackend-Seal: s\r\n", ReplyMatch::OtherRequest },
    success = { "200", "Attempt-Id: 9c41d07be2a35f68\r\nBackend-Seal: s\r\n", ReplyMatch::Current(Outcome::Succeeded) },
    success_without_id = { "200", "Backend-Seal: s\r\n", ReplyMatch::Unidentified },
    success_that_did_not_run = { "200", "Not-Executed: 1\r\n", ReplyMatch::Unidentified },
    success_with_two_ids = {
        "200", "Attempt-Id: 9c41d07be2a35f68\r\nBackend-Seal: s\r\nAttempt-Id: 77\r\n", ReplyMatch::Unidentified
    },
    sheds_with_two_ids = {
        "503", "Not-Executed: 1\r\nAttempt-Id: 9c41d07be2a35f68\r\nattempt-id: 77\r\n", ReplyMatch::Unidentified
    },
    sheds_with_unreadable_id = { "503", "Not-Executed: 1\r\nAttempt-Id: \u{ff}\r\n", ReplyMatch::Unidentified },
    success_with_unreadable_coding = {
        "200", "Attempt-Id: 9c41d07be2a35f68\r\nBackend-Seal: s\r\nContent-Encoding: \u{ff}\r\n", ReplyMatch::Unidentified
    },
    success_without_seal = { "200", "Attempt-Id: 9c41d07be2a35f68\r\n", ReplyMatch::Unidentified },
)]
fn replies_are_classified_by_id_status_and_guarantee(status: &str, fields: &str, expected: ReplyMatch) {
    assert_eq!(classify_reply(Some(OWN_ID), &reply(status, fields)), expected);
}
