//! Draining at shutdown: open requests are answered before the supervisor kills the process.

use crate::messages::RouterMessage;
use crate::resources::Resources;
use crate::shared::Shared;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The fraction of the time until the kill after which requests still in flight are answered with the outcome known so
/// far.
pub const FINISH_GRACE_FRACTION: f64 = 0.95;
/// The fraction of the time until the kill after which the process exits even if clients have not received their
/// answers.
const EXIT_GRACE_FRACTION: f64 = 0.98;

/// The deadlines of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct DrainDeadlines {
    /// When requests still in flight are answered with the outcome known so far.
    pub finish_at: Instant,
    /// When the process exits.
    pub exit_at: Instant,
}

impl DrainDeadlines {
    /// The deadlines if the process receives SIGTERM at `shutdown_at` and is killed `kill_after` later.
    pub fn within(shutdown_at: Instant, kill_after: Duration) -> DrainDeadlines {
        DrainDeadlines {
            finish_at: shutdown_at + kill_after.mul_f64(FINISH_GRACE_FRACTION),
            exit_at: shutdown_at + kill_after.mul_f64(EXIT_GRACE_FRACTION),
        }
    }
}

/// Waits until all clients are answered and their connections closed, and until every request whose reply was received
/// early has been sent completely. Requests still open at `finish_at` are answered
/// with the outcome known so far: 503 if they were sent nowhere, 502 if a backend may have run them. Returns at
/// `exit_at` at the latest.
pub async fn answer_clients(shared: &Shared, deadlines: DrainDeadlines) {
    if timeout_at(deadlines.finish_at, drained(&shared.resources)).await.is_ok() {
        return;
    }
    shared.notify_router(RouterMessage::AnswerAll);
    let _ = timeout_at(deadlines.exit_at, drained(&shared.resources)).await;
}

async fn drained(resources: &Resources) {
    while !resources.is_drained() {
        resources.socket_closed.notified().await;
    }
}
