use super::*;
use vanewharf_protocol::messages::{Register, Revision};

fn record(ballot: u64, incarnation: Option<u64>) -> DurableWrite {
    let member = "127.0.0.1:7600".parse().expect("an address");
    let peer_incarnations = incarnation.map(|incarnation| (member, incarnation)).into_iter().collect();
    DurableWrite::VoterRecord(VoterRecord {
        ballot: Ballot(ballot),
        peer_incarnations,
        ..VoterRecord::default()
    })
}

fn register(ballot: u64, revision: u64) -> DurableWrite {
    let register = Register { ballot: Ballot(ballot), revision: Revision(revision), ..Register::empty() };
    DurableWrite::Register(Box::new(register))
}

fn no_requested_writes() -> RequestedWrites {
    let promised = WrittenState::Promised { ballot: Ballot(0), peer_incarnations: BTreeMap::new() };
    let durable = vec![promised, WrittenState::Accepted(RegisterRank::default())];
    RequestedWrites { durable, pending: BTreeMap::new(), last_request_id: 0 }
}

/// Writes in the order of their requests, each with whether it reverts part of an earlier one.
fn writes() -> [(DurableWrite, bool); 11] {
    [
        (record(5, None), false),
        (record(5, Some(7)), false),
        (record(4, Some(7)), true),
        (record(6, None), true),
        (record(6, Some(6)), true),
        (record(6, Some(8)), false),
        (register(5, 3), false),
        (register(5, 3), false),
        (register(5, 2), true),
        (register(4, 9), true),
        (register(6, 1), false),
    ]
}

#[test]
fn a_write_that_reverts_a_pending_or_durable_one_is_rejected() {
    for completes in [false, true] {
        let mut requested = no_requested_writes();
        for (position, (write, reverts)) in writes().into_iter().enumerate() {
            let request_id = requested.request(&write);
            assert_eq!(request_id.is_none(), reverts, "write {position}: {write:?}");
            if let Some(request_id) = request_id.filter(|_| completes) {
                requested.complete(request_id, true);
            }
        }
    }
}

#[test]
fn a_failed_write_does_not_restrict_later_ones() {
    let mut requested = no_requested_writes();
    let accepted = requested.request(&register(5, 2)).expect("nothing is newer");
    requested.complete(accepted, true);
    let failed = requested.request(&register(5, 4)).expect("nothing is newer");
    assert_eq!(requested.request(&register(5, 3)), None, "a newer register is pending");
    requested.complete(failed, false);
    assert!(
        requested.request(&register(5, 3)).is_some(),
        "the newer register failed, so this one may be sent again"
    );
    assert_eq!(requested.request(&register(5, 1)), None, "a newer register is durable");
}
