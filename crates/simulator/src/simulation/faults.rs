//! Fault injection: selection of the targets, and the effects at the beginning and end of each fault.
//!
//! Most faults begin and end once. Drains and flaps consist of steps, each of which schedules the next one. The stalls of
//! gateways are all scheduled at the beginning of the fault.

use super::event_queue::SimEvent;
use super::services::CounterShard;
use super::{RUN_START, Simulation};
use crate::backends::State;
use crate::experiment::{Fault, FaultKind, FaultScope, Span};
use crate::policy::Policy;
use crate::random::seconds;
use vanewharf_policy::interface::{BackendStatus, Ticks};

/// Lower limit of the slowdown factor of a backend, as capacity is divided by it.
const MIN_SLOWDOWN: f64 = 1e-3;
/// Fraction of the time between two crashes of a flapping backend for which it is down.
const FLAP_DOWN_FRACTION: f64 = 0.5;

impl<P: Policy> Simulation<'_, P> {
    /// Returns the gateways or backends that a fault affects. They are drawn when the fault first begins.
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

    /// Selects `count` of all targets, by complete zones or cells in random order. Of the last group only a part may be
    /// selected.
    fn grouped_targets(&mut self, by: FaultScope, of_gateways: bool, all: usize, count: usize) -> Vec<usize> {
        let group = |target: usize| match (of_gateways, by) {
            (true, _) => self.gateways[target].zone,
            (false, FaultScope::Cell) => self.backends[target].cell,
            (false, _) => self.backends[target].zone,
        };
        let groups = (0..all).map(group).max().unwrap_or(0) + 1;
        let mut targets = Vec::new();
        for chosen in self.random.faults.sample(groups, groups) {
            if targets.len() < count {
                targets.extend((0..all).filter(|&target| group(target) == chosen));
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
                targets.iter().for_each(|&backend| self.backends[backend].lost_response_fraction = lost);
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
            // Floods are part of the generated arrivals.
            FaultKind::Flood => return,
        }
        self.schedule(self.now + seconds(settings.for_s), SimEvent::FaultEnds { fault, step });
    }

    pub(super) fn end_fault(&mut self, fault: usize, step: usize) {
        let settings = self.experiment.fault[fault].clone();
        let targets = self.targets(fault);
        let delay_s = self.experiment.discovery.late_s;
        match settings.kind {
            FaultKind::Crash | FaultKind::Silent => {
                targets.iter().for_each(|&backend| self.replace_backend(backend, delay_s));
            }
            FaultKind::Flap => targets.iter().for_each(|&backend| self.start_backend(backend, delay_s)),
            FaultKind::Slow => {
                targets.iter().for_each(|&backend| self.backends[backend].slowdown = 1.0);
            }
            FaultKind::AnswersLost => {
                targets.iter().for_each(|&backend| self.backends[backend].lost_response_fraction = 0.0);
            }
            FaultKind::Drain => {
                if let Some(&backend) = targets.get(step).filter(|&&backend| self.backends[backend].draining)
                {
                    self.replace_backend(backend, delay_s);
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

    /// Crashes backends, schedules their restart, and schedules the next crash if it is within the fault's duration.
    fn begin_flap(&mut self, fault: usize, step: usize, settings: &Fault, targets: &[usize]) {
        targets.iter().for_each(|&backend| self.crash_backend(backend));
        let every = seconds(settings.every_s);
        self.schedule(self.now + every.times(FLAP_DOWN_FRACTION), SimEvent::FaultEnds { fault, step });
        if (self.now - RUN_START).seconds() + settings.every_s < settings.at_s + settings.for_s {
            self.schedule(self.now + every, SimEvent::FaultBegins { fault, step: step + 1 });
        }
    }

    /// Drains one backend: it is announced as draining, and replaced after the notice. The drains of all targets are spread
    /// evenly over the fault's duration.
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

    /// Draws and schedules all stalls of a fault, independently for each gateway. The intervals vary by 30 % around
    /// `every_s`.
    fn schedule_stalls(&mut self, fault: usize, settings: &Fault, targets: &[usize]) {
        let until: Ticks = RUN_START + seconds(settings.at_s) + seconds(settings.for_s);
        for &gateway in targets {
            let mut at = self.now + seconds(self.random.faults.unit() * settings.every_s);
            while at < until {
                self.schedule(at, SimEvent::FaultEnds { fault, step: gateway });
                at = at + seconds(settings.every_s * (0.7 + 0.6 * self.random.faults.unit()));
            }
        }
    }

    /// Crashes a backend's process, which discovery detects after a delay.
    fn crash_backend(&mut self, backend: usize) {
        self.backends[backend].stop();
        self.reset_connections(backend);
        self.publish(backend, BackendStatus::Gone, self.experiment.discovery.silent_late_s);
    }

    /// Makes a backend unresponsive, which discovery detects after a delay.
    fn hang_backend(&mut self, backend: usize) {
        self.backends[backend].state = State::Unresponsive;
        self.publish(backend, BackendStatus::Gone, self.experiment.discovery.silent_late_s);
    }

    /// Stops a backend's process and starts a new one.
    fn replace_backend(&mut self, backend: usize, delay_s: Span) {
        self.backends[backend].stop();
        self.reset_connections(backend);
        self.start_backend(backend, delay_s);
    }

    fn start_backend(&mut self, backend: usize, delay_s: Span) {
        self.backends[backend].start(self.now);
        if !self.backends[backend].overloaded {
            self.publish(backend, BackendStatus::Ready, delay_s);
        }
    }
}
