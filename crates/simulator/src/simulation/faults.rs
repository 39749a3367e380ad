//! Faults: whom they strike, and what they do as they begin and end.
//!
//! Most begin and end once. A draining, a flapping and a stall have steps of their own, each scheduled by the one before.

use super::event_queue::SimEvent;
use super::services::CounterShard;
use super::{START, Simulation};
use crate::backends::State;
use crate::experiment::{Fault, FaultKind, FaultScope, Span};
use crate::policy::Policy;
use crate::random::seconds;
use vanewharf_policy::interface::{BackendStatus, Ticks};

/// A backend is slowed at least by this factor.
const MIN_SLOWDOWN: f64 = 1e-3;
/// Of the time between two starts of a flapping backend, the part in which it is down.
const FLAP_DOWN_PART: f64 = 0.5;

impl<P: Policy> Simulation<'_, P> {
    /// Whom a fault strikes: gateways or backends, drawn when it first begins.
    fn targets(&mut self, fault: usize) -> Vec<usize> {
        if let Some(targets) = self.faults.targets.get(&fault) {
            return targets.clone();
        }
        let settings = &self.experiment.fault[fault];
        let of_gateways = matches!(settings.kind, FaultKind::DoorCrash | FaultKind::DoorStall);
        let all = if of_gateways { self.gateways.len() } else { self.backends.len() };
        let count = ((settings.part * all as f64).round() as usize).clamp(1, all);
        let targets = match settings.by {
            FaultScope::Any => self.random.faults.sample(count, all),
            FaultScope::Place | FaultScope::Cell => {
                self.grouped_targets(settings.by, of_gateways, all, count)
            }
        };
        self.faults.targets.insert(fault, targets.clone());
        targets
    }

    /// So many of all, by complete zones or cells in random order.
    fn grouped_targets(&mut self, by: FaultScope, of_gateways: bool, all: usize, count: usize) -> Vec<usize> {
        let group = |one: usize| match (of_gateways, by) {
            (true, _) => self.gateways[one].zone,
            (false, FaultScope::Cell) => self.backends[one].cell,
            (false, _) => self.backends[one].zone,
        };
        let groups = (0..all).map(group).max().unwrap_or(0) + 1;
        let mut targets = Vec::new();
        for chosen in self.random.faults.sample(groups, groups) {
            if targets.len() < count {
                targets.extend((0..all).filter(|&one| group(one) == chosen));
            }
        }
        targets.truncate(count);
        targets
    }

    pub(super) fn begin_fault(&mut self, fault: usize, step: usize) {
        let settings = self.experiment.fault[fault].clone();
        let targets = self.targets(fault);
        match settings.kind {
            FaultKind::Crash => targets.iter().for_each(|&backend| self.crash_backend(backend)),
            FaultKind::Silent => targets.iter().for_each(|&backend| self.hang_backend(backend)),
            FaultKind::Slow => {
                let slowdown = settings.size.max(MIN_SLOWDOWN);
                targets.iter().for_each(|&backend| self.backends[backend].slowdown = slowdown);
            }
            FaultKind::AnswersLost => {
                let lost = settings.size.min(1.0);
                targets.iter().for_each(|&backend| self.backends[backend].lost_answers = lost);
            }
            FaultKind::PlaceCut => {
                let zones = self.experiment.fleet.places.len();
                self.faults.cut_zone = Some(self.random.faults.below(zones));
            }
            FaultKind::CounterDown => {
                self.faults.counter_down = true;
                self.counter.iter_mut().for_each(|shard| *shard = CounterShard::default());
            }
            FaultKind::ListLate => self.faults.extra_delay_s = settings.size,
            FaultKind::Flap => return self.begin_flap(fault, step, &settings, &targets),
            FaultKind::Drain => return self.begin_drain(fault, step, &settings, &targets),
            FaultKind::DoorCrash => return self.crash_gateways(&settings, &targets),
            FaultKind::DoorStall => return self.schedule_stalls(fault, &settings, &targets),
            // Floods are in the arrivals.
            FaultKind::Flood => return,
        }
        self.schedule(self.now + seconds(settings.for_s), SimEvent::FaultEnds { fault, step });
    }

    pub(super) fn end_fault(&mut self, fault: usize, step: usize) {
        let settings = self.experiment.fault[fault].clone();
        let targets = self.targets(fault);
        let late = self.experiment.discovery.late_s;
        match settings.kind {
            FaultKind::Crash | FaultKind::Silent => {
                targets.iter().for_each(|&backend| self.replace_backend(backend, late));
            }
            FaultKind::Flap => targets.iter().for_each(|&backend| self.start_backend(backend, late)),
            FaultKind::Slow => {
                targets.iter().for_each(|&backend| self.backends[backend].slowdown = 1.0);
            }
            FaultKind::AnswersLost => {
                targets.iter().for_each(|&backend| self.backends[backend].lost_answers = 0.0);
            }
            FaultKind::Drain => {
                if let Some(&backend) = targets.get(step).filter(|&&backend| self.backends[backend].draining)
                {
                    self.replace_backend(backend, late);
                }
            }
            FaultKind::PlaceCut => self.faults.cut_zone = None,
            FaultKind::DoorStall => {
                let gateway = &mut self.gateways[step];
                gateway.stalled_until = gateway.stalled_until.max(self.now + seconds(settings.size));
            }
            FaultKind::CounterDown => self.faults.counter_down = false,
            FaultKind::ListLate => self.faults.extra_delay_s = 0.0,
            FaultKind::DoorCrash | FaultKind::Flood => {}
        }
    }

    /// Backends die and come back again and again.
    fn begin_flap(&mut self, fault: usize, step: usize, settings: &Fault, targets: &[usize]) {
        targets.iter().for_each(|&backend| self.crash_backend(backend));
        let every = seconds(settings.every_s);
        self.schedule(self.now + every.times(FLAP_DOWN_PART), SimEvent::FaultEnds { fault, step });
        if (self.now - START).seconds() + settings.every_s < settings.at_s + settings.for_s {
            self.schedule(self.now + every, SimEvent::FaultBegins { fault, step: step + 1 });
        }
    }

    /// Backends drain one after the other over the span: announced, then gone, then back to warm up.
    fn begin_drain(&mut self, fault: usize, step: usize, settings: &Fault, targets: &[usize]) {
        let Some(&backend) = targets.get(step) else {
            return;
        };
        self.backends[backend].draining = true;
        self.publish(backend, BackendStatus::Draining, self.experiment.discovery.late_s);
        let notice = seconds(settings.every_s);
        self.schedule(self.now + notice, SimEvent::FaultEnds { fault, step });
        let gap = seconds(settings.for_s).times(1.0 / targets.len() as f64);
        self.schedule(self.now + gap, SimEvent::FaultBegins { fault, step: step + 1 });
    }

    fn crash_gateways(&mut self, settings: &Fault, targets: &[usize]) {
        for &gateway in targets {
            self.crash_gateway(gateway);
            self.schedule(self.now + seconds(settings.for_s), SimEvent::GatewayRestarts { gateway });
        }
    }

    /// Each gateway stalls at times of its own, drawn ahead for the complete span.
    fn schedule_stalls(&mut self, fault: usize, settings: &Fault, targets: &[usize]) {
        let until: Ticks = START + seconds(settings.at_s) + seconds(settings.for_s);
        for &gateway in targets {
            let mut at = self.now + seconds(self.random.faults.unit() * settings.every_s);
            while at < until {
                self.schedule(at, SimEvent::FaultEnds { fault, step: gateway });
                at = at + seconds(settings.every_s * (0.7 + 0.6 * self.random.faults.unit()));
            }
        }
    }

    /// A backend's process dies, and discovery notices after a while.
    fn crash_backend(&mut self, backend: usize) {
        self.backends[backend].stop();
        self.reset_connections(backend);
        self.publish(backend, BackendStatus::Gone, self.experiment.discovery.silent_late_s);
    }

    /// A backend takes work and answers nothing any more.
    fn hang_backend(&mut self, backend: usize) {
        self.backends[backend].state = State::Unresponsive;
        self.publish(backend, BackendStatus::Gone, self.experiment.discovery.silent_late_s);
    }

    /// A backend's process ends, and another starts in its place.
    fn replace_backend(&mut self, backend: usize, late: Span) {
        self.backends[backend].stop();
        self.reset_connections(backend);
        self.start_backend(backend, late);
    }

    fn start_backend(&mut self, backend: usize, late: Span) {
        self.backends[backend].start(self.now);
        if !self.backends[backend].overloaded {
            self.publish(backend, BackendStatus::Ready, late);
        }
    }
}
