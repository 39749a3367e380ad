use super::*;
use crate::messages::{Ballot, Version};

const START: Timestamp = Timestamp(1_000_000_000);

fn register(number: u64) -> Register {
    Register { revision: Revision(number), ..Register::empty() }
}

#[test]
fn no_dataset_is_replaced_by_an_older_version() {
    let mut store = VersionStore::default();
    let response = |number| PullResponse { register: Some(register(number)), ..PullResponse::default() };
    assert!(store.apply(response(3), START, START).register);
    assert!(!store.apply(response(2), START, START).any());
    let summary = |ballot, number| FleetSummary {
        version: Version { ballot: Ballot(ballot), number },
        ..FleetSummary::default()
    };
    assert!(store.set_fleet_summary(summary(1, 9), START) && store.set_fleet_summary(summary(2, 1), START));
    assert!(
        !store.set_fleet_summary(summary(1, 10), START),
        "the version of an earlier leaseholder is older"
    );
    let versions = store.versions();
    assert!(!store.is_newer_than(&versions));
    let response = store.response_to(&versions, RegisterForm::Incremental, Duration::ZERO, START);
    assert!(response.fleet_summary.is_none());
}

#[test]
fn the_age_of_an_attestation_adds_up_from_hop_to_hop() {
    let (mut first, mut second) = (VersionStore::default(), VersionStore::default());
    first.attest(START);
    let ms = |ms| Duration::from_millis(ms);
    // The pull is sent at 100 ms by the second store's clock, which is 7 s behind. It takes 20 ms each way, and the
    // response is delayed by 300 ms.
    let second_start = Timestamp(START.0 - 70_000);
    let answered_at = START.after(ms(420));
    let response =
        first.response_to(&VersionVector::default(), RegisterForm::Incremental, ms(300), answered_at);
    second.apply(response, second_start.after(ms(100)), second_start.after(ms(440)));
    let attested_at = second.attested_at.expect("the response carries an attestation");
    assert!(attested_at <= second_start, "the attestation must not appear newer than the first store's");
    assert!(
        second_start.since(attested_at) <= ms(30),
        "the attestation may appear older by the time in flight only"
    );
}
