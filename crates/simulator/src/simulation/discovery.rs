//! Discovery: publishes the status of backends, and announces it to gateways after a delay that differs by gateway.

use super::Simulation;
use super::event_queue::SimEvent;
use crate::experiment::Span;
use crate::policy::Policy;
use crate::random::seconds;
use vanewharf_policy::interface::{BackendId, BackendInfo, BackendStatus, Event, Ticks};

/// Status of a backend as published by discovery.
#[derive(Clone, Copy)]
pub(super) struct Publication {
    pub(super) status: BackendStatus,
    pub(super) started_at: Option<Ticks>,
    /// Incremented with each change, so that outdated announcements can be discarded.
    pub(super) version: u64,
}

impl Default for Publication {
    fn default() -> Publication {
        Publication { status: BackendStatus::Ready, started_at: None, version: 0 }
    }
}

/// Status of a backend as a gateway knows it.
#[derive(Clone, Debug)]
pub(super) struct KnownBackend {
    pub(super) listed: bool,
    pub(super) status: BackendStatus,
    pub(super) started_at: Option<Ticks>,
    /// When the gateway was told that the backend is not ready any more.
    pub(super) stopped_at: Option<Ticks>,
}

impl KnownBackend {
    pub(super) fn matches(&self, published: &Publication) -> bool {
        (self.status, self.started_at) == (published.status, published.started_at)
    }
}

impl<P: Policy> Simulation<'_, P> {
    /// Publishes a backend's status, and schedules its announcement after a delay.
    pub(super) fn publish(&mut self, backend: usize, status: BackendStatus, delay_s: Span) {
        let publication = &mut self.published[backend];
        publication.version += 1;
        (publication.status, publication.started_at) = (status, self.backends[backend].started_at);
        let version = publication.version;
        let delay = self.random.discovery.span(delay_s) + self.faults.extra_delay_s;
        self.schedule(self.now + seconds(delay), SimEvent::DiscoveryAnnounces { backend, version });
    }

    /// Announces a published status to all gateways that know a different one, unless it is outdated.
    pub(super) fn announce(&mut self, backend: usize, version: u64) {
        let published = self.published[backend];
        if version != published.version {
            return;
        }
        for gateway in 0..self.gateways.len() {
            let known = &self.gateways[gateway].backends[backend];
            if !self.gateways[gateway].up || known.matches(&published) {
                continue;
            }
            let entry = self.backend_info(gateway, backend, published.status, published.started_at);
            let event = Event::BackendChanges(vec![entry]);
            let spread = self.random.discovery.unit() * self.experiment.discovery.spread_s;
            let incarnation = self.gateways[gateway].incarnation;
            self.schedule(
                self.now + seconds(spread),
                SimEvent::GatewayReceives { gateway, incarnation, event },
            );
        }
    }

    /// Returns a backend's entry as it is sent to a gateway.
    pub(super) fn backend_info(
        &self,
        gateway: usize,
        backend: usize,
        status: BackendStatus,
        started_at: Option<Ticks>,
    ) -> BackendInfo {
        BackendInfo {
            backend: BackendId(backend as u32),
            status,
            capacity: 1.0,
            local: !self.crosses_zones(gateway, backend),
            started_at,
        }
    }
}
