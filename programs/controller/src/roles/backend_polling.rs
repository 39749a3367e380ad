//! Polls the platform for the list of backends, and publishes the list when it changes.

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

/// Delay between successful polls. It may elapse before a drain is detected, so it must be only a part of the time within
/// which a draining backend must stop receiving requests.
const POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Delay after the platform has rejected a request because of its rate limit.
const RATE_LIMITED_INTERVAL: Duration = Duration::from_millis(1200);
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
const TOO_MANY_REQUESTS: u16 = 429;

/// Polls the platform while this process holds the lease. Returns immediately if the settings contain no platform address;
/// otherwise never returns.
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
                    "listing backends from the platform failed",
                    kv: { event = "platform_poll_failed", error: }
                );
                RETRY_INTERVAL
            }
        };
        sleep(interval).await;
    }
}

/// A list returned by the platform.
struct PolledList {
    backends: Vec<Backend>,
    /// When the list was requested. The list reflects the platform's state at that time or later.
    requested_at: Timestamp,
    /// Ballot of the lease under which the list was requested. After that lease has ended, another leaseholder may have
    /// published a newer list.
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
    // An earlier leaseholder may have sent some proxies a list that this process never received. For these proxies a list
    // that equals the one known here may be a change, so the first list under a ballot is always published.
    let is_from_another_ballot = last_version.ballot != ballot;
    if !(is_from_another_ballot || has_changed) {
        return;
    }
    let version = state.next_version(last_version);
    spdlog::debug!(
        "backend list published",
        kv: { event = "backend_list_published", ballot = version.ballot.0, number = version.number,
            backends = backends.len(), draining = backends.iter().filter(|backend| backend.draining).count() }
    );
    let list = BackendList { version, age_ms: 0, backends };
    state
        .publisher
        .update(|store| Invariant::PublishedIsNewer.check(store.set_backend_list(list, requested_at)));
}
