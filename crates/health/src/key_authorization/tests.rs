use super::*;

const START: Timestamp = Timestamp(1_000_000_000);

#[test]
fn authorizations_expire_before_the_revocation_deadline() {
    let second = Duration::from_secs(1);
    let attested_at = Some(START);
    assert!(key_authorization_expired(true, second * 5, None, START), "never attested");
    assert!(!key_authorization_expired(true, second * 5, attested_at, START.after(second * 4)));
    assert!(key_authorization_expired(true, second * 5, attested_at, START.after(second * 4 + second / 2)));
    assert!(
        !key_authorization_expired(false, second * 5, None, START),
        "the deadline binds only proxies in contact"
    );
}
