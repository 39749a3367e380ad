use super::*;

#[test]
fn what_warms_up_is_not_told_again_and_what_turns_cold_is() {
    let server = |cold_ms, draining| Backend {
        id: "i-1".to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".to_owned(),
        capacity: 3,
        draining,
        warmup_left_ms: cold_ms,
    };
    let differ = |one, other| differs(&[one], &[other]);
    assert!(!differ(server(3000, false), server(2200, false)));
    assert!(differ(server(0, false), server(2200, false)));
    assert!(differ(server(0, false), server(0, true)));
    assert!(differs(&[server(0, false)], &[]));
    assert_eq!((milliseconds("1500ms"), milliseconds("2.5s"), milliseconds("odd")), (1500, 2500, 0));
}
