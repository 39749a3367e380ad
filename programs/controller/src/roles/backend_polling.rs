//! Polls the platform's list of backends.

use super::ALERT;
use crate::platform;
use crate::state::ControllerState;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_protocol::messages::BackendList;
use vanewharf_rpc::{RpcClient, RpcError};

/// Of the time in which a drain must be followed, this goes by before it is seen.
const LISTED: Duration = Duration::from_millis(600);
const LISTED_AGAIN: Duration = Duration::from_millis(1200);
const ALONE: Duration = Duration::from_millis(100);

impl ControllerState {
    pub async fn ask_platform(self: Rc<Self>) {
        let Some(api) = &self.settings.cloud_api else {
            return;
        };
        let mut platform = RpcClient::new(api.address, &self.premises.network);
        loop {
            if !self.replica.holds() {
                sleep(ALERT).await;
                continue;
            }
            let asked = self.feed.now();
            match platform::list(&mut platform).await {
                Ok(servers) => {
                    let (last, known) = {
                        let store = self.feed.store();
                        let known = store.backend_list.as_ref().map(|list| list.backends.clone());
                        (store.versions().backend_list, known)
                    };
                    // A holder before may have told some doors of a list that never came here: what is the
                    // same as the one in hand is new to them.
                    let others = last.ballot != self.replica.ballot();
                    let differs = others || known.is_none_or(|known| platform::differs(&known, &servers));
                    if differs && self.replica.holds() {
                        let list = BackendList { version: self.version(last), age_ms: 0, backends: servers };
                        self.feed.update(|store| store.set_backend_list(list, asked));
                    }
                    sleep(LISTED).await;
                }
                Err(RpcError::Status(429)) => sleep(LISTED_AGAIN).await,
                Err(failed) => {
                    spdlog::debug!("no list from the platform: {}", failed);
                    sleep(ALONE * 3).await;
                }
            }
        }
    }
}
