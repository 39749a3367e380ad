//! Follows the leaseholder.

use crate::state::ControllerState;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_protocol::messages::{Follower, PullRequest};
use vanewharf_rpc::RpcClient;

/// A follower's pull, while nothing is new.
const FOLLOW: Duration = Duration::from_millis(400);
const ALONE: Duration = Duration::from_millis(100);

impl ControllerState {
    /// Pulls from the holder, or from whichever voter knows it.
    pub async fn follow(self: Rc<Self>) {
        let (mut callers, mut turn): (Vec<RpcClient>, usize) = (Vec::new(), 0);
        loop {
            if self.replica.holds() {
                sleep(ALONE).await;
                continue;
            }
            let others: Vec<SocketAddr> = self.replica.peers();
            let holder = self.replica.holder().filter(|holder| *holder != self.replica.me);
            let Some(from) = holder.or_else(|| others.get(turn % others.len().max(1)).copied()) else {
                sleep(ALONE).await;
                continue;
            };
            if !callers.iter().any(|caller| caller.address == from) {
                callers.push(RpcClient::new(from, &self.premises.network));
            }
            let Some(caller) = callers.iter_mut().find(|caller| caller.address == from) else {
                continue;
            };
            let pull = PullRequest {
                versions: self.feed.store().versions(),
                wait_ms: FOLLOW.as_millis() as u64,
                follower: Some(Follower {
                    controller: self.row.clone(),
                    persisted: self.replica.kept_here(),
                }),
                token_leases: Some(self.lent()),
                reports: self.sums.borrow().recent_reports(self.feed.now()),
            };
            match self.feed.pull(caller, &pull).await {
                Ok(news) => {
                    if news.register {
                        self.replica.adopt();
                    }
                    if news.fleet_summary {
                        self.read_ledger();
                    }
                    if self.feed.store().leaseholder != Some(from) {
                        turn += 1;
                        sleep(ALONE).await;
                    }
                }
                Err(failed) => {
                    spdlog::debug!("nothing from {}: {}", from, failed);
                    self.feed.update(|store| {
                        store.leaseholder = None;
                        false
                    });
                    turn += 1;
                    sleep(ALONE).await;
                }
            }
        }
    }
}
