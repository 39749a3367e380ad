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

fn nothing_written() -> RequestedWrites {
    let promised = Progress::Promised { ballot: Ballot(0), peer_incarnations: BTreeMap::new() };
    let durable = vec![promised, Progress::Accepted(RegisterRank::default())];
    RequestedWrites { durable, pending: BTreeMap::new(), last_number: 0 }
}

/// Each with whether it takes something back of those before it.
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
fn a_write_that_takes_something_back_is_recognized_while_others_are_pending_and_after_them() {
    for completes in [false, true] {
        let mut requested = nothing_written();
        for (position, (write, takes_back)) in writes().into_iter().enumerate() {
            let number = requested.request(&write);
            assert_eq!(number.is_none(), takes_back, "write {position}: {write:?}");
            if let Some(number) = number.filter(|_| completes) {
                requested.complete(number, true);
            }
        }
    }
}

#[test]
fn a_write_that_failed_binds_nobody() {
    let mut requested = nothing_written();
    let accepted = requested.request(&register(5, 2)).expect("nothing is newer");
    requested.complete(accepted, true);
    let failed = requested.request(&register(5, 4)).expect("nothing is newer");
    assert_eq!(requested.request(&register(5, 3)), None, "the newer one is on its way");
    requested.complete(failed, false);
    assert!(requested.request(&register(5, 3)).is_some(), "sent again by its leaseholder");
    assert_eq!(requested.request(&register(5, 1)), None, "that of before is on disk");
}
