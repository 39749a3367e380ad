//! Polls the platform for its list of backends, and publishes it where it has changed.

use super::LEASE_CHECK_INTERVAL;
use crate::platform::{PlatformClient, needs_publication};
use crate::state::ControllerState;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Backend, BackendList, Ballot};
use vanewharf_rpc::RpcError;
use vanewharf_runtime::invariants::Invariant;

/// A part of the time within which a draining backend must get no more requests: it may pass before the drain is seen.
const POLL_INTERVAL: Duration = Duration::from_millis(600);
/// After the platform has refused a request as one too many.
const RATE_LIMITED_INTERVAL: Duration = Duration::from_millis(1200);
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
const TOO_MANY_REQUESTS: u16 = 429;

/// Polls the platform while this process holds the lease. Returns at once where no platform is set, else never.
pub async fn poll_platform(state: Rc<ControllerState>) {
    let Some(api) = &state.settings.cloud_api else {
        return;
    };
    let mut platform = PlatformClient::new(api.address, &state.environment.network);
    loop {
        if !state.replica.holds_lease() {
            sleep(LEASE_CHECK_INTERVAL).await;
            continue;
        }
        let (requested_at, ballot) = (state.publisher.now(), state.replica.ballot());
        let interval = match platform.list_backends().await {
            Ok(backends) => {
                publish_if_changed(&state, PolledList { backends, requested_at, ballot });
                POLL_INTERVAL
            }
            Err(RpcError::Status(TOO_MANY_REQUESTS)) => RATE_LIMITED_INTERVAL,
            Err(error) => {
                spdlog::debug!(
                    "list of backends cannot be read from the platform",
                    kv: { event = "platform_poll_failed", error: }
                );
                RETRY_INTERVAL
            }
        };
        sleep(interval).await;
    }
}

/// A list as the platform returned it.
struct PolledList {
    backends: Vec<Backend>,
    /// When it was asked for: it is at most as old as that.
    requested_at: Timestamp,
    /// Of the lease under which it was asked for. Another leaseholder may have published a newer list since that ended.
    ballot: Ballot,
}

fn publish_if_changed(state: &ControllerState, polled: PolledList) {
    let PolledList { backends, requested_at, ballot } = polled;
    let is_under_same_lease = state.replica.holds_lease() && state.replica.ballot() == ballot;
    if !is_under_same_lease {
        return;
    }
    let (last_version, has_changed) = {
        let store = state.publisher.store();
        let known = store.backend_list.as_ref().map(|list| list.backends.as_slice());
        (store.versions().backend_list, known.is_none_or(|known| needs_publication(known, &backends)))
    };
    // A leaseholder before this one may have sent some proxies a list that was never received here: one that is equal to
    // the list known here may be new to them.
    let is_from_another_ballot = last_version.ballot != ballot;
    if !(is_from_another_ballot || has_changed) {
        return;
    }
    let version = state.next_version(last_version);
    spdlog::debug!(
        "list of backends published",
        kv: { event = "backend_list_published", ballot = version.ballot.0, number = version.number,
            backends = backends.len(), draining = backends.iter().filter(|backend| backend.draining).count() }
    );
    let list = BackendList { version, age_ms: 0, backends };
    state
        .publisher
        .update(|store| Invariant::PublishedIsNewer.check(store.set_backend_list(list, requested_at)));
}
