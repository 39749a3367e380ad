use super::*;

fn backend(warmup_left_ms: u64, draining: bool) -> Backend {
    Backend {
        id: "i-1".to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".to_owned(),
        capacity: 3,
        draining,
        warmup_left_ms,
    }
}

#[test]
fn a_list_is_published_if_a_warmup_restarts_but_not_while_it_progresses() {
    let needs = |known, listed| needs_publication(&[known], &[listed]);
    assert!(!needs(backend(3000, false), backend(2200, false)));
    assert!(needs(backend(0, false), backend(2200, false)));
    assert!(needs(backend(0, false), backend(0, true)));
    assert!(needs_publication(&[backend(0, false)], &[]));
}

#[test]
fn durations_are_parsed_in_seconds_or_milliseconds_and_anything_else_as_zero() {
    let milliseconds = ["1500ms", "2.5s", "odd"].map(parse_milliseconds);
    assert_eq!(milliseconds, [1500, 2500, 0]);
}
