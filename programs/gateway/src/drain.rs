//! The end of a process that serves clients: what is open is answered before the process is killed.

use crate::messages::RouterMessage;
use crate::resources::Resources;
use crate::shared::Shared;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Share of the time until the kill by which requests have to be over; what is still in flight then is answered as it stands.
pub const FINISH_SHARE: f64 = 0.95;
/// Share of that time after which the process ends even if clients have not received their answers.
const EXIT_SHARE: f64 = 0.98;

/// By when a process that was asked to end has done what.
#[derive(Clone, Copy, Debug)]
pub struct DrainDeadlines {
    /// Requests that are not over are answered as they stand.
    pub finish_at: Instant,
    /// The process ends.
    pub exit_at: Instant,
}

impl DrainDeadlines {
    /// Of a process that is killed so long after it was asked to end.
    pub fn within(asked_at: Instant, kill_after: Duration) -> DrainDeadlines {
        DrainDeadlines {
            finish_at: asked_at + kill_after.mul_f64(FINISH_SHARE),
            exit_at: asked_at + kill_after.mul_f64(EXIT_SHARE),
        }
    }
}

/// Waits until all clients are answered and their connections closed. What is open at `finish_at` is answered by what is
/// known of it: 503 where it was sent nowhere, 502 where a backend may have run it. Returns at `exit_at` at the latest.
pub async fn answer_clients(shared: &Shared, deadlines: DrainDeadlines) {
    if timeout_at(deadlines.finish_at, all_clients_closed(&shared.resources)).await.is_ok() {
        return;
    }
    shared.notify_router(RouterMessage::AnswerAll);
    let _ = timeout_at(deadlines.exit_at, all_clients_closed(&shared.resources)).await;
}

async fn all_clients_closed(resources: &Resources) {
    while resources.client_count() > 0 {
        resources.socket_closed.notified().await;
    }
}
