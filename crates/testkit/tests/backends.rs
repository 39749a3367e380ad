//! Backends that err, each in its own way, towards requests that may be repeated and others: nothing that may
//! have run is sent again or promised not to have, and no answer goes to another caller.

use vanewharf_testkit::http::{Message, call};
use vanewharf_testkit::stand_ins::{Backend, Manner};
use vanewharf_testkit::town::{Town, config};
use yare::parameterized;

fn town() -> Town {
    let town = Town::start(1, |_| {});
    assert_eq!(town.order("POST", "/-/Configuration.Replace", &config(1, |_| {})).status(), 200);
    town.until_status(0, "/read/x", Some("key-a"), 200);
    town.until("the others serve, too", || {
        let answer = town.ask_as(0, "POST", "/write/x", Some("key-a"), "first").ok()?;
        (answer.status() == 200).then_some(())
    });
    town
}

fn ask(town: &Town, path: &str, attempt: &str) -> Option<Message> {
    let fields = [
        ("Host", "shop.example"),
        ("Attempt-Id", attempt),
        ("Remaining-Milliseconds", "400"),
        ("X-Api-Key", "key-a"),
    ];
    call(town.door(0), if path == "/read/x" { "GET" } else { "POST" }, path, &fields, "").ok()
}

fn ran(town: &Town, attempt: &str) -> usize {
    let all = town.backends.iter().flat_map(Backend::ran);
    all.filter(|ran| ran.attempt == attempt).count()
}

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What one asked for was told, and how often it ran.
fn check(town: &Town, manner: Manner, mutating: bool, attempt: &str) -> (u16, usize) {
    let path = if mutating { "/write/x" } else { "/read/x" };
    let answer = ask(town, path, attempt);
    let times = ran(town, attempt);
    let what = format!("{manner:?} {path} ran {times} times: {answer:?}");
    let Some(answer) = answer else {
        panic!("no answer: {what}");
    };
    if answer.status() == 200 {
        assert_eq!(answer.field("Attempt-Id"), Some(attempt), "{what}");
        assert!(answer.body.starts_with("i-") && answer.field("Backend-Seal") == Some("s.1"), "{what}");
        assert!(times >= 1, "{what}");
    }
    if mutating {
        assert!(times <= 1, "sent twice: {what}");
        assert!(times == 0 || !PROMISES.contains(&answer.status()), "it has run: {what}");
    } else {
        assert!(times <= 2, "{what}");
    }
    (answer.status(), times)
}

#[parameterized(
    loses_answers = { Manner::LosesAnswers, false },
    resets = { Manner::Resets, false },
    keeps_silent = { Manner::KeepsSilent, false },
    answers_twice = { Manner::AnswersTwice, true },
    answers_another = { Manner::AnswersAnother, false },
    answers_late = { Manner::AnswersLate, true },
    adds_an_answer = { Manner::AddsAnAnswer, true },
    answers_nobody = { Manner::AnswersNobody, false },
    answers_unsealed = { Manner::AnswersUnsealed, false },
    garbles = { Manner::Garbles, false },
    cuts_short = { Manner::CutsShort, false },
    fails = { Manner::Fails, false },
    feigns_408 = { Manner::Feigns(408), false },
    feigns_429 = { Manner::Feigns(429), false },
    feigns_503 = { Manner::Feigns(503), false },
    sheds = { Manner::Sheds, false },
)]
fn a_backend_that_errs_neither_runs_twice_nor_answers_another_caller(manner: Manner, served: bool) {
    let town = town();
    town.backends.iter().for_each(|backend| backend.be(manner));
    for mutating in [true, false] {
        let mut runs = 0;
        for turn in 0..6 {
            let (status, times) = check(&town, manner, mutating, &format!("{mutating}-{turn}"));
            assert_eq!(served, status == 200, "{manner:?}, mutating {mutating}, turn {turn}: {status}");
            runs += times;
        }
        assert_eq!(runs > 0, manner != Manner::Sheds, "{manner:?} was met");
    }
    town.backends.iter().for_each(|backend| backend.be(Manner::Serves));
    // What was left on any connection reaches nobody.
    let mut well = 0;
    town.until("they are well again", || {
        well += 1;
        let (status, _) = check(&town, Manner::Serves, well % 2 == 0, &format!("well-{well}"));
        (status == 200 && well > 12).then_some(())
    });
}
