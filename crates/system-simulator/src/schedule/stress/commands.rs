//! Generates the commands of a stress schedule.

use super::{ScheduleGenerator, Theme};
use crate::schedule::{CommandTemplate, MachineSelector, ScheduledCommand};
use crate::topology::ZONES;
use rand::Rng;
use rand::seq::IndexedRandom;

/// Numbers of extra routes that the configurations of a run with many changes may have.
const EXTRA_ROUTES: [usize; 4] = [0, 20, 100, 200];
/// With at least this many extra routes there are half as many changes, so that no run takes minutes.
const MANY_ROUTES: usize = 100;
/// Number of voter replacements in a run with the membership theme.
const MEMBERSHIP_REPLACEMENTS: usize = 3;

fn replace(extra_routes: usize) -> CommandTemplate {
    CommandTemplate::Replace { extra_routes, revoke_key: false, bodies: 1 }
}

impl ScheduleGenerator {
    /// Draws the commands of a schedule, after its faults have been drawn.
    pub(super) fn draw_commands(&mut self) -> Vec<ScheduledCommand> {
        let mut commands = Vec::new();
        if self.theme == Theme::Changes {
            commands.extend(self.draw_many_changes());
        }
        for _ in 0..self.rng.random_range(3..12) {
            let command = self.draw_command();
            let at = command.at;
            commands.push(command);
            if self.rng.random_bool(0.2) {
                commands.extend(self.draw_burst(at));
            }
        }
        commands.extend(self.draw_voter_replacements());
        commands
    }

    /// Draws hundreds of configuration changes, distributed evenly over the run.
    fn draw_many_changes(&mut self) -> Vec<ScheduledCommand> {
        let count = self.rng.random_range(200..=1000);
        let extra_routes = *EXTRA_ROUTES.choose(&mut self.rng).expect("there are four");
        let count = if extra_routes >= MANY_ROUTES { count / 2 } else { count };
        let gap = self.span() / count as f64;
        let start = self.start();
        let change = |index: i32| ScheduledCommand {
            at: start + gap * index as f64,
            repeat_after: self.rng.random_bool(0.02).then_some(1.5),
            command: replace(extra_routes),
        };
        (0..count).map(change).collect()
    }

    fn draw_command(&mut self) -> ScheduledCommand {
        let at = self.draw_time();
        let repeat_after = self.rng.random_bool(0.4).then(|| self.rng.random_range(0.0..6.0));
        let command = match self.rng.random_range(0..12) {
            0 => self.draw_evacuation(),
            1 => CommandTemplate::Invalid,
            2..=4 => CommandTemplate::Replace { extra_routes: 0, revoke_key: false, bodies: 2 },
            5 => CommandTemplate::Replace { extra_routes: 0, revoke_key: true, bodies: 1 },
            _ => replace(0),
        };
        let is_replace = matches!(command, CommandTemplate::Replace { .. });
        ScheduledCommand { at, command, repeat_after: repeat_after.filter(|_| is_replace) }
    }

    fn draw_evacuation(&mut self) -> CommandTemplate {
        let zone = ZONES[self.rng.random_range(0..ZONES.len())].0.to_owned();
        if self.rng.random_bool(0.7) {
            CommandTemplate::BeginEvacuation(zone)
        } else {
            CommandTemplate::FinishEvacuation(zone)
        }
    }

    /// Draws almost simultaneous commands, up to more than operators may have in progress.
    fn draw_burst(&mut self, at: f64) -> Vec<ScheduledCommand> {
        const GAP_S: f64 = 0.01;
        let command = |index: i32| ScheduledCommand {
            at: at + f64::from(index) * GAP_S,
            command: replace(0),
            repeat_after: None,
        };
        (0..self.rng.random_range(4..12)).map(command).collect()
    }

    fn draw_voter_replacements(&mut self) -> Vec<ScheduledCommand> {
        let count = if self.theme == Theme::Membership {
            MEMBERSHIP_REPLACEMENTS
        } else {
            usize::from(self.rng.random_bool(0.1))
        };
        (0..count).map(|_| self.draw_voter_replacement()).collect()
    }

    fn draw_voter_replacement(&mut self) -> ScheduledCommand {
        let at = self.draw_time();
        let outgoing = if self.rng.random_bool(0.4) {
            MachineSelector::Leaseholder
        } else {
            MachineSelector::Number(self.draw_controller())
        };
        let incoming = match self.removed.first().copied() {
            Some(removed) if self.rng.random_bool(0.2) => MachineSelector::Number(removed),
            _ => MachineSelector::Number(self.draw_controller()),
        };
        let repeat_after = self.rng.random_bool(0.5).then_some(0.4);
        ScheduledCommand { at, command: CommandTemplate::ReplaceVoter { outgoing, incoming }, repeat_after }
    }
}
