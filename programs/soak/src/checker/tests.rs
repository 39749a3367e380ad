use super::*;
use crate::history::{ConfigurationRead, ConfigurationReplacement, Kill};

fn at(seconds: u64) -> Instant {
    // All instants of a test have the same origin.
    static ORIGIN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *ORIGIN.get_or_init(Instant::now) + Duration::from_secs(seconds)
}

fn request(mutating: bool, outcome: ClientOutcome) -> ClientRequest {
    ClientRequest { attempt: "a".to_owned(), mutating, machine: 3, sent: at(10), completed: at(12), outcome }
}

fn answered(status: u16) -> ClientOutcome {
    ClientOutcome::Answered { status, attempt: Some("a".to_owned()) }
}

#[test]
fn each_violation_by_a_request_is_detected() {
    let other_response = ClientOutcome::Answered { status: 200, attempt: Some("b".to_owned()) };
    let cases = [
        (true, answered(200), 1, None),
        (true, answered(200), 2, Some(Rule::RunOnce)),
        (false, answered(200), 2, None),
        (true, answered(200), 0, Some(Rule::OwnAnswer)),
        (true, other_response, 1, Some(Rule::OwnAnswer)),
        (true, answered(503), 0, None),
        (true, answered(503), 1, Some(Rule::PromiseKept)),
        (true, answered(429), 1, Some(Rule::PromiseKept)),
        (false, answered(503), 1, None),
        (true, answered(502), 1, None),
        (true, ClientOutcome::Unanswered, 0, None),
        (true, ClientOutcome::Unanswered, 1, Some(Rule::Answered)),
        (false, ClientOutcome::Unanswered, 1, Some(Rule::Answered)),
        (true, ClientOutcome::NotSent, 0, None),
    ];
    for (mutating, outcome, execution_count, expected) in cases {
        let request = request(mutating, outcome);
        let rule = rule_violated_by_request(&History::default(), &request, execution_count);
        assert_eq!(rule, expected, "{request:?}, executed {execution_count} times");
    }
}

#[test]
fn only_a_kill_of_the_proxy_excuses_a_request_without_a_response() {
    let request = request(true, ClientOutcome::Unanswered);
    for (machine, killed_at, is_excused) in [(3, 11, true), (2, 11, false), (3, 9, false), (3, 14, false)] {
        let kills = vec![Kill { machine, at: at(killed_at) }];
        let history = History { kills, ..History::default() };
        let rule = rule_violated_by_request(&history, &request, 1);
        assert_eq!(rule.is_none(), is_excused, "machine {machine} killed at {killed_at} s");
    }
}

#[test]
fn a_read_must_not_be_older_than_a_revision_acknowledged_before_it() {
    let replacement = |revision, acknowledged: Option<u64>| ConfigurationReplacement {
        revision,
        acknowledged: acknowledged.map(at),
        rejected: None,
    };
    let replacements = vec![replacement(1, Some(1)), replacement(2, Some(5)), replacement(3, None)];
    for (sent, revision, is_violation) in
        [(2, 1, false), (6, 1, true), (6, 2, false), (6, 3, false), (0, 0, false)]
    {
        let reads = vec![ConfigurationRead { sent: at(sent), revision }];
        let history = History { replacements: replacements.clone(), reads, ..History::default() };
        let violations = check(&history, &Executions::new());
        assert_eq!(!violations.is_empty(), is_violation, "r{revision} read at {sent} s: {violations:?}");
    }
}

#[test]
fn rejections_and_process_violations_are_reported() {
    let rejected = ConfigurationReplacement { revision: 1, acknowledged: None, rejected: Some(400) };
    let history = History {
        replacements: vec![rejected],
        process_violations: vec!["it panicked".to_owned()],
        ..History::default()
    };
    let rules: Vec<_> = check(&history, &Executions::new()).iter().map(|violation| violation.rule).collect();
    assert_eq!(rules, [Rule::NotRefused, Rule::Invariants]);
}
