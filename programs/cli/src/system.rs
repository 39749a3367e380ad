//! `vanewharf system`: the whole system on this machine's loopback, among stand-ins, to be looked at.

use clap::Subcommand;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use vanewharf_testkit::http::Message;
use vanewharf_testkit::town::{OFFICES, Town, config};

#[derive(Subcommand)]
pub enum System {
    /// Start three postmasters and two doors on loopback, send requests through them, kill the lease holder's machine
    /// under way, drain a backend, and print what clients and operator got.
    Try {
        /// How long requests are sent, in seconds.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(3..=600))]
        seconds: u64,
    },
}

impl System {
    pub fn run(self) {
        let System::Try { seconds } = self;
        let mut town = Town::start(2, |_| {});
        say(
            "three postmasters, two doors with a carrier and a sorter each, four backends, a platform: started",
        );
        let answer = town.order("POST", "/-/Configuration.Replace", &config(1, |_| {}));
        say(&format!("operator: Configuration.Replace r1 -> {}", answer.status()));
        for door in 0..2 {
            town.until_status(door, "/read/x", Some("key-a"), 200);
            say(&format!("door {door} at {} serves", town.door(door)));
        }
        let third = Duration::from_secs(seconds) / 3;
        letters(&town, third, "undisturbed");
        town.kill(0);
        say("central-0 has lost its processes");
        letters(&town, third, "without it");
        let answer = town.order("POST", "/-/Configuration.Replace", &config(2, |_| {}));
        say(&format!("operator: Configuration.Replace r2 -> {} by the two that are left", answer.status()));
        town.boot(0);
        let shown: Vec<_> =
            town.backends.iter().enumerate().map(|(no, backend)| (backend, no != 0)).collect();
        town.platform.show(&shown);
        say(&format!("central-0 is back; the platform shows {} as draining", town.backends[0].id));
        letters(&town, third, "draining");
        let read = town.order("GET", "/-/Configuration.Read", "");
        say(&format!(
            "operator: Configuration.Read -> {} {}",
            read.status(),
            read.body.get(..17).unwrap_or_default()
        ));
        say(&format!("{OFFICES} disks held the operator's register; all of it is deleted now"));
    }
}

fn say(what: &str) {
    println!("{what}");
}

/// Requests at both doors for a while, and how they were answered.
fn letters(town: &Town, span: Duration, when: &str) {
    let (begun, mut answers) = (Instant::now(), BTreeMap::<String, u64>::new());
    while begun.elapsed() < span {
        for (door, (method, path, key)) in
            [("GET", "/read/x", "key-a"), ("POST", "/write/x", "key-a"), ("GET", "/read/x", "key-c")]
                .iter()
                .enumerate()
        {
            let answer = town.ask(door % 2, method, path, Some(key));
            let name = |answer: Message| match answer.status() {
                200 => format!("200 from {}", answer.body),
                status => status.to_string(),
            };
            *answers.entry(answer.map_or("none".to_owned(), name)).or_default() += 1;
        }
    }
    let told: Vec<_> = answers.iter().map(|(answer, count)| format!("{count} x {answer}")).collect();
    say(&format!("clients, {when}, {:.1} s: {}", span.as_secs_f64(), told.join(", ")));
}
