//! Probes other sources while a pull is in progress.
//!
//! A pull from a source that is down takes its whole timeout before the next source is tried, and the timeouts
//! of several such sources add up. Therefore a source that has failed is probed before it is used again, and
//! the next sources are probed while a pull is overdue. Sources that do not answer, or whose copy is outdated,
//! are avoided from then on. The answer to a probe contains no update, so that probes do not delay a pull whose
//! answer is only slow because of a link with a low bandwidth.

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

/// The time after the end of the long poll from which an unanswered pull is overdue.
const OVERDUE_DELAY: Duration = Duration::from_millis(250);

/// A future of the time at which the probed source's copy was last attested to be the newest.
type ProbeAnswer = Pin<Box<dyn Future<Output = Result<Option<Timestamp>, RpcError>>>>;

struct Probe {
    source: SocketAddr,
    answer: ProbeAnswer,
}

/// Probes sources on behalf of one agent, one at a time.
pub(crate) struct SourceProber {
    state: Rc<AgentState>,
    in_flight: Option<Probe>,
}

impl SourceProber {
    pub(crate) fn new(state: Rc<AgentState>) -> SourceProber {
        SourceProber { state, in_flight: None }
    }

    /// Returns the source whose probe is in flight.
    pub(crate) fn probed(&self) -> Option<SocketAddr> {
        self.in_flight.as_ref().map(|probe| probe.source)
    }

    /// Probes sources, one after the other, during a pull that was just sent to `pulled_from` and that the source may
    /// delay for up to `wait`. Never returns.
    ///
    /// # Cancel safety
    ///
    /// A probe in flight is continued by the next call.
    pub(crate) async fn probe_during_pull(
        &mut self,
        selector: &mut SourceSelector,
        sources: &Sources,
        pulled_from: SocketAddr,
        wait: Duration,
    ) {
        let overdue_at = Instant::now() + wait + OVERDUE_DELAY;
        loop {
            let is_overdue = Instant::now() >= overdue_at;
            let progress = if is_overdue { PullProgress::Overdue } else { PullProgress::OnTime };
            let Some(probe) = self.in_flight_or_next(selector, sources, pulled_from, progress) else {
                match progress {
                    PullProgress::Overdue => return pending().await,
                    PullProgress::OnTime => sleep_until(overdue_at).await,
                }
                continue;
            };
            let source = probe.source;
            let answer = (&mut probe.answer).await.ok();
            self.in_flight = None;
            let is_up_to_date = selector.record_probe(source, answer, self.state.publisher.now());
            if is_up_to_date && is_overdue {
                return pending().await;
            }
        }
    }

    /// Returns the probe in flight, or starts the next one. Returns `None` if no source has to be probed.
    fn in_flight_or_next(
        &mut self,
        selector: &SourceSelector,
        sources: &Sources,
        pulled_from: SocketAddr,
        progress: PullProgress,
    ) -> Option<&mut Probe> {
        if self.in_flight.is_none() {
            let Sources { controllers, peers } = sources;
            let now = self.state.publisher.now();
            let source = selector.choose_probe(controllers, peers, pulled_from, progress, now);
            self.in_flight = source.map(|source| self.start(source));
        }
        self.in_flight.as_mut()
    }

    fn start(&self, source: SocketAddr) -> Probe {
        let publisher = self.state.publisher.clone();
        let reports = self.state.reports.borrow().current(publisher.now());
        let mut client = RpcClient::new(source, &self.state.environment.network);
        Probe { source, answer: Box::pin(async move { publisher.probe(&mut client, reports).await }) }
    }
}
