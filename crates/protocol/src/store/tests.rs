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
    assert!(store.apply(mail(3), at, at).register);
    assert!(!store.apply(mail(2), at, at).any());
    let of = |ballot, no| FleetSummary {
        version: Version { ballot: Ballot(ballot), number: no },
        ..FleetSummary::default()
    };
    assert!(store.set_fleet_summary(of(1, 9), at) && store.set_fleet_summary(of(2, 1), at));
    assert!(!store.set_fleet_summary(of(1, 10), at), "of a holder before");
    let have = store.versions();
    assert!(!store.is_newer_than(&have));
    assert!(store.response_to(&have, false, Duration::ZERO, at).fleet_summary.is_none());
}

#[test]
fn how_sure_a_word_is_adds_up_along_the_way() {
    let (mut first, mut second) = (VersionStore::default(), VersionStore::default());
    let start = Timestamp(1_000_000_000);
    first.attest(start);
    let ms = |ms| Duration::from_millis(ms);
    // Asked at 100 ms by the second's clock, which is 7 s behind; held back for 300 ms, 20 ms under way.
    let behind = Timestamp(start.0 - 70_000);
    let answered = start.after(ms(420));
    let mail = first.response_to(&VersionVector::default(), false, ms(300), answered);
    second.apply(mail, behind.after(ms(100)), behind.after(ms(440)));
    let sure = second.attested_at.expect("told");
    assert!(sure <= behind, "never surer than the first was");
    assert!(behind.since(sure) <= ms(30), "and little less");
}
