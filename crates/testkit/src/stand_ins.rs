//! The platform's list and the backends, as far as the system can tell.

use crate::http;
use serde_json::json;
use socket2::SockRef;
use std::io::Write;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Told anew by whoever comes after a thread that failed with it.
fn held<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a backend does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Serves,
    /// Says that it did not run it.
    Sheds,
    /// Runs it and ends the connection without a word.
    LosesAnswers,
    /// Runs it and resets the connection.
    Resets,
    /// Runs it and says nothing, for as long as the connection lasts.
    KeepsSilent,
    /// Answers under another request's id first.
    AnswersTwice,
    /// Answers under another request's id only.
    AnswersAnother,
    /// Gives the answer to the request before it once more, in the place of its own, and its own after that.
    AnswersLate,
    /// Gives its answer twice at once.
    AddsAnAnswer,
    /// A success without an id.
    AnswersNobody,
    /// A success without a seal.
    AnswersUnsealed,
    /// Bytes that are no answer.
    Garbles,
    /// Half an answer, and the end.
    CutsShort,
    /// Runs it and fails.
    Fails,
    /// Runs it, and says by the status alone that it did not.
    Feigns(u16),
}

/// A request that a backend ran.
#[derive(Clone, Debug)]
pub struct Ran {
    pub attempt: String,
    pub customer: Option<String>,
    pub key: Option<String>,
    pub path: String,
}

pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub manner: Arc<Mutex<Manner>>,
    ran: Arc<Mutex<Vec<Ran>>>,
}

impl Backend {
    pub fn start(ip: IpAddr, id: &str, service: &str, zone: &str) -> Backend {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address of its own");
        let address = listener.local_addr().expect("it is bound");
        let (manner, ran) = (Arc::new(Mutex::new(Manner::Serves)), Arc::<Mutex<Vec<Ran>>>::default());
        let (id, kept, acts) = (id.to_owned(), Arc::clone(&ran), Arc::clone(&manner));
        let name = id.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (name, kept, acts) = (name.clone(), Arc::clone(&kept), Arc::clone(&acts));
                thread::spawn(move || attend(stream, &name, &acts, &kept));
            }
        });
        Backend { id, service: service.to_owned(), zone: zone.to_owned(), address, manner, ran }
    }

    pub fn be(&self, manner: Manner) {
        *held(&self.manner) = manner;
    }

    pub fn ran(&self) -> Vec<Ran> {
        held(&self.ran).clone()
    }
}

fn attend(mut stream: TcpStream, id: &str, manner: &Mutex<Manner>, ran: &Mutex<Vec<Ran>>) {
    let mut last: Option<String> = None;
    while let Ok(Some(asked)) = http::read(&mut stream) {
        let attempt = asked.field("Attempt-Id").unwrap_or_default().to_owned();
        if asked.field("Expected-Instance").is_some_and(|expected| expected != id) {
            let _ = http::write(&mut stream, "HTTP/1.1 421 Misdirected Request", &[("Instance-Id", id)], "");
            continue;
        }
        let manner = *held(manner);
        if manner == Manner::Sheds {
            let fields = [("Not-Executed", "1"), ("Attempt-Id", attempt.as_str())];
            let _ = http::write(&mut stream, "HTTP/1.1 503 Service Unavailable", &fields, "");
            continue;
        }
        let field = |name| asked.field(name).map(str::to_owned);
        let (customer, key) = (field("Customer-Name"), field("X-Api-Key"));
        let path = asked.path().to_owned();
        held(ran).push(Ran { attempt: attempt.clone(), customer, key, path });
        let before = last.replace(attempt.clone());
        if !say(&mut stream, id, manner, &attempt, before.as_deref()) {
            return;
        }
    }
}

/// Says what the manner has for a request that was run; false where the connection ends with it.
fn say(stream: &mut TcpStream, id: &str, manner: Manner, attempt: &str, before: Option<&str>) -> bool {
    const OK: &str = "HTTP/1.1 200 OK";
    let seal = ("Backend-Seal", "s.1");
    let own = [("Attempt-Id", attempt), seal];
    let other = |attempt| [("Attempt-Id", attempt), ("Backend-Seal", "s.2")];
    let said = match manner {
        Manner::LosesAnswers => {
            let _ = stream.shutdown(Shutdown::Both);
            return false;
        }
        Manner::Resets => {
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            return false;
        }
        Manner::KeepsSilent => {
            // Ends when the other side does.
            let _ = http::read(stream);
            return false;
        }
        Manner::Garbles => stream.write_all(b"HTP/0.1 so so\r\n\r\n"),
        Manner::CutsShort => {
            let head =
                format!("{OK}\r\nAttempt-Id: {attempt}\r\nBackend-Seal: s.1\r\nContent-Length: 100\r\n\r\n");
            let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(id.as_bytes()));
            return false;
        }
        Manner::Fails => http::write(stream, "HTTP/1.1 500 Internal Backend Error", &own, "failed"),
        Manner::Feigns(status) => {
            http::write(stream, &format!("HTTP/1.1 {status} So It Says"), &own, "feigned")
        }
        Manner::AnswersNobody => http::write(stream, OK, &[seal], id),
        Manner::AnswersUnsealed => http::write(stream, OK, &own[..1], id),
        Manner::AnswersAnother => http::write(stream, OK, &other("another"), "another's"),
        Manner::AnswersTwice => http::write(stream, OK, &other("another"), "another's")
            .and_then(|()| http::write(stream, OK, &own, id)),
        Manner::AnswersLate => before
            .map_or(Ok(()), |before| http::write(stream, OK, &other(before), "another's"))
            .and_then(|()| http::write(stream, OK, &own, id)),
        Manner::AddsAnAnswer => {
            http::write(stream, OK, &own, id).and_then(|()| http::write(stream, OK, &own, "another's"))
        }
        Manner::Serves | Manner::Sheds => http::write(stream, OK, &own, id),
    };
    said.is_ok()
}

/// The platform's list: what it shows of each backend.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    shown: Arc<Mutex<Vec<serde_json::Value>>>,
}

impl Platform {
    pub fn start(ip: IpAddr) -> Platform {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address of its own");
        let address = listener.local_addr().expect("it is bound");
        let shown = Arc::<Mutex<Vec<serde_json::Value>>>::default();
        let known = Arc::clone(&shown);
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let known = Arc::clone(&known);
                thread::spawn(move || {
                    while let Ok(Some(_)) = http::read(&mut stream) {
                        let body = json!({"instances": {"all": *held(&known)}, "next_token": null});
                        if http::write(&mut stream, "HTTP/1.1 200 OK", &[], &body.to_string()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Platform { address, shown }
    }

    /// Shows these backends, each as available or draining.
    pub fn show(&self, backends: &[(&Backend, bool)]) {
        let entry = |(backend, available): &(&Backend, bool)| {
            json!({"identifier": backend.id, "service": backend.service, "address": backend.address.to_string(),
                "zone": backend.zone, "revision": "v1", "capacity": 4, "warmup_left": "0ms",
                "lifecycle": if *available { "available" } else { "draining" }})
        };
        *held(&self.shown) = backends.iter().map(entry).collect();
    }
}
