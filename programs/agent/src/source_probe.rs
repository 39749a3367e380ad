//! Probes of other sources during pulls.
//!
//! A pull from a source that is down costs its whole timeout before the next one is turned to, and with several of them in
//! a row that adds up. So a source that has failed is probed before it is turned to again, and while a pull is overdue the
//! next sources are probed: those that do not answer, or lag, are avoided from then on. A probe brings no update, so that a
//! pull that is merely slow, as its answer comes over a narrow link, is not made slower.

use crate::state::AgentState;
use crate::upstream::Sources;
use std::future::{Future, pending};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use vanewharf_clock::Timestamp;
use vanewharf_discovery::{PullProgress, SourceSelector};
use vanewharf_rpc::{RpcClient, RpcError};

/// A pull that has no answer for so long after it had to be answered is overdue.
const OVERDUE: Duration = Duration::from_millis(250);

/// When the probed source's copy was attested to be the newest, where it answers.
type ProbeAnswer = Pin<Box<dyn Future<Output = Result<Option<Timestamp>, RpcError>>>>;

struct Probe {
    source: SocketAddr,
    answer: ProbeAnswer,
}

/// The probes of one agent, one at a time.
pub(crate) struct SourceProber {
    state: Rc<AgentState>,
    under_way: Option<Probe>,
}

impl SourceProber {
    pub(crate) fn new(state: Rc<AgentState>) -> SourceProber {
        SourceProber { state, under_way: None }
    }

    /// The source whose probe is under way.
    pub(crate) fn probed(&self) -> Option<SocketAddr> {
        self.under_way.as_ref().map(|probe| probe.source)
    }

    /// Probes sources, one after the other, during a pull that was sent now and may be held back for `wait`. Never returns.
    ///
    /// # Cancel safety
    /// A probe that is under way goes on with the next call.
    pub(crate) async fn probe_during_pull(
        &mut self,
        selector: &mut SourceSelector,
        sources: &Sources,
        pulled_from: SocketAddr,
        wait: Duration,
    ) {
        let overdue_at = Instant::now() + wait + OVERDUE;
        loop {
            let is_overdue = Instant::now() >= overdue_at;
            let progress = if is_overdue { PullProgress::Overdue } else { PullProgress::OnTime };
            let Some(probe) = self.under_way_or_next(selector, sources, pulled_from, progress) else {
                match progress {
                    PullProgress::Overdue => return pending().await,
                    PullProgress::OnTime => sleep_until(overdue_at).await,
                }
                continue;
            };
            let source = probe.source;
            let answer = (&mut probe.answer).await.ok();
            self.under_way = None;
            let is_up_to_date = selector.record_probe(source, answer, self.state.publisher.now());
            if is_up_to_date && is_overdue {
                return pending().await;
            }
        }
    }

    fn under_way_or_next(
        &mut self,
        selector: &SourceSelector,
        sources: &Sources,
        pulled_from: SocketAddr,
        progress: PullProgress,
    ) -> Option<&mut Probe> {
        if self.under_way.is_none() {
            let Sources { controllers, peers } = sources;
            let now = self.state.publisher.now();
            let source = selector.choose_probe(controllers, peers, pulled_from, progress, now);
            self.under_way = source.map(|source| self.start(source));
        }
        self.under_way.as_mut()
    }

    fn start(&self, source: SocketAddr) -> Probe {
        let publisher = self.state.publisher.clone();
        let reports = self.state.reports.borrow().current(publisher.now());
        let mut client = RpcClient::new(source, &self.state.environment.network);
        Probe { source, answer: Box::pin(async move { publisher.probe(&mut client, reports).await }) }
    }
}
