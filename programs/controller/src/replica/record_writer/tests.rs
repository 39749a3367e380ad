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

#[test]
fn a_write_that_takes_something_back_is_recognized() {
    let mut requested = RequestedWrites {
        promised: Ballot(0),
        peer_incarnations: BTreeMap::new(),
        accepted: RegisterRank::default(),
    };
    let writes = [
        (record(5, None), true),
        (record(5, Some(7)), true),
        (record(4, Some(7)), false),
        (record(6, None), false),
        (record(6, Some(6)), false),
        (record(6, Some(8)), true),
        (register(5, 3), true),
        (register(5, 3), true),
        (register(5, 2), false),
        (register(4, 9), false),
        (register(6, 1), true),
    ];
    for (position, (write, holds)) in writes.into_iter().enumerate() {
        assert_eq!(requested.advance(&write), holds, "write {position}: {write:?}");
    }
}
