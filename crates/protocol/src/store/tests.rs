use super::*;
use crate::messages::{Ballot, Version};

fn register(no: u64) -> Register {
    Register { revision: Revision(no), ..Register::empty() }
}

#[test]
fn nothing_goes_back_a_version() {
    let mut store = VersionStore::default();
    let at = Timestamp(1_000_000_000);
    let mail = |no| PullResponse { register: Some(register(no)), ..PullResponse::default() };
    assert!(store.absorb(mail(3), at, at).register);
    assert!(!store.absorb(mail(2), at, at).any());
    let of = |ballot, no| FleetSummary {
        version: Version { ballot: Ballot(ballot), number: no },
        ..FleetSummary::default()
    };
    assert!(store.set_ledger(of(1, 9), at) && store.set_ledger(of(2, 1), at));
    assert!(!store.set_ledger(of(1, 10), at), "of a holder before");
    let have = store.have();
    assert!(!store.has_more_than(&have));
    assert!(store.mail(&have, false, Duration::ZERO, at).fleet_summary.is_none());
}

#[test]
fn how_sure_a_word_is_adds_up_along_the_way() {
    let (mut first, mut second) = (VersionStore::default(), VersionStore::default());
    let start = Timestamp(1_000_000_000);
    first.be_sure(start);
    let ms = |ms| Duration::from_millis(ms);
    // Asked at 100 ms by the second's clock, which is 7 s behind; held back for 300 ms, 20 ms under way.
    let behind = Timestamp(start.0 - 70_000);
    let answered = start.after(ms(420));
    let mail = first.mail(&VersionVector::default(), false, ms(300), answered);
    second.absorb(mail, behind.after(ms(100)), behind.after(ms(440)));
    let sure = second.sure.expect("told");
    assert!(sure <= behind, "never surer than the first was");
    assert!(behind.since(sure) <= ms(30), "and little less");
}
