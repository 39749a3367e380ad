//! Case 6: a route that is added later to a service with slower requests is never served.

#[path = "../rig.rs"]
mod rig;

use rig::*;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const REPORT_WORK: Duration = Duration::from_millis(1000);
const LOOKUP_WORK: Duration = Duration::from_millis(20);
const PER_S: u64 = 5;
/// The look-ups begin this long after r2 is acknowledged: `apply_deadline` (3 s) and `contact` (4 s) have passed.
const SETTLES: Duration = Duration::from_millis(8000);
const LASTS: Duration = Duration::from_millis(20_000);

fn start_backend(block: Block, host: u8, id: &'static str, record: &Record) {
    let Ok(listener) = TcpListener::bind(block.at(host, 8080)) else { exit_not_run("a backend's address is in use") };
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read_message() {
                    let attempt = request.header("attempt-id").unwrap_or("").to_owned();
                    record.note(format!("{id} runs {} {attempt}", request.word(1)));
                    thread::sleep(if request.word(1).starts_with("/report/") { REPORT_WORK } else { LOOKUP_WORK });
                    let headers = [("Attempt-Id", attempt.as_str()), ("Backend-Seal", "s.1")];
                    if connection.write("HTTP/1.1 200 OK", &headers, id.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

struct Sent {
    at: Instant,
    status: u16,
}

/// Sends requests at the same rate until `stop` is set.
fn client(
    path: &'static str,
    time_left_ms: u64,
    fronts: [SocketAddr; 2],
    first_number: u64,
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    record: Record,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut open = Vec::new();
        // The requests go to one proxy after the other.
        let mut number = first_number;
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let (sent, record) = (Arc::clone(&sent), record.clone());
            open.push(thread::spawn(move || {
                let id = format!("{number:016x}");
                let left = time_left_ms.to_string();
                let headers =
                    [("Host", "shop.example"), ("Attempt-Id", id.as_str()), ("Remaining-Milliseconds", left.as_str())];
                let at = Instant::now();
                let to = fronts[number as usize % 2];
                let status = call(to, "GET", path, &headers, b"", ms(time_left_ms + 500)).map_or(0, |answer| answer.status());
                record.note(format!("client gets {status} for {path} {id}"));
                lock(&sent).push(Sent { at, status });
            }));
            thread::sleep(ms(1000 / PER_S));
        }
        for thread in open {
            let _ = thread.join();
        }
    })
}

fn main() {
    let record = Record::new();
    let block = Block::find();
    let platform = Platform::start(block, ms(800), &record);
    start_backend(block, 101, "i-one", &record);
    start_backend(block, 102, "i-two", &record);
    let instance = |id: &str, host: u8, zone: &str| Instance {
        identifier: id.to_owned(),
        service: "records".to_owned(),
        address: block.at(host, 8080),
        zone: zone.to_owned(),
        capacity: 20,
        draining: false,
        cold_until: None,
    };
    platform.set(&[instance("i-one", 101, "east-a"), instance("i-two", 102, "east-b")]);
    let zones = [("east-a", "east"), ("east-b", "east")];
    let mut cluster = Cluster::new(
        block,
        &zones,
        &["east-a", "east-b", "east-a"],
        &["east-a", "east-b"],
        limits_table(&[]),
        &platform,
        &record,
    );
    cluster.start_all();
    let report = ("r-report", route("/report/", "read_only", "records", 8000, 3000, 2, true));
    let lookup = ("r-lookup", route("/lookup/", "read_only", "records", 1500, 400, 2, true));
    let services = [("records", service(3000, 20.0))];
    let both = [report.clone(), lookup.clone()];
    // Without the disruption both routes are there from the first version on.
    let first = if trouble() { config(1, &[report], &services, "{}") } else { config(1, &both, &services, "{}") };
    let replace = "/-/Configuration.Replace";
    let taken = cluster.order("POST", replace, &first, ms(15_000));
    if taken.is_none_or(|answer| answer.status() != 200) || !cluster.wait_ready(&[0, 1], ms(15_000)) {
        cluster.end();
        exit_not_run("the deployment was not ready");
    }
    record.say("ready; clients ask for reports");
    let stop = Arc::new(AtomicBool::new(false));
    let fronts = [cluster.frontend(0), cluster.frontend(1)];
    let (reports, lookups): (Arc<Mutex<Vec<Sent>>>, Arc<Mutex<Vec<Sent>>>) = Default::default();
    let asking =
        client("/report/1", 8000, fronts, 0, Arc::clone(&stop), Arc::clone(&reports), record.clone());
    thread::sleep(ms(8000));
    if trouble() {
        let taken = cluster.order("POST", replace, &config(2, &both, &services, "{}"), ms(6000));
        if taken.is_none_or(|answer| answer.status() != 200) {
            cluster.end();
            exit_not_run("r2 was not acknowledged");
        }
        record.say("the disruption: r2 adds a route to the same service, and is acknowledged");
    }
    thread::sleep(SETTLES);
    let from = Instant::now();
    record.say("clients look things up, too");
    let looking =
        client("/lookup/1", 1500, fronts, 1 << 32, Arc::clone(&stop), Arc::clone(&lookups), record.clone());
    thread::sleep(LASTS);
    stop.store(true, Ordering::SeqCst);
    let _ = asking.join();
    let _ = looking.join();
    cluster.end();
    let share = |sent: &[Sent]| {
        let counted: Vec<_> = sent.iter().filter(|sent| sent.at >= from).collect();
        (counted.iter().filter(|sent| sent.status == 200).count(), counted.len())
    };
    let ((first_served, first_sent), (later_served, later_sent)) = (share(&lock(&reports)), share(&lock(&lookups)));
    record.say(format!("the first route: {first_served} of {first_sent} served; the other one: {later_served} of {later_sent}"));
    let broken = later_sent >= 20
        && first_sent > 0
        && (later_served as f64 / later_sent as f64) < 0.25 * (first_served as f64 / first_sent as f64);
    record.say(if broken { "CONFIG is broken" } else { "CONFIG held" });
    record.write(Path::new("review/6/record.txt"));
    std::process::exit(i32::from(broken));
}
