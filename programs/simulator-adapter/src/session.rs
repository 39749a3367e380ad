//! A session on the simulator's wire: batches of lines in, a reply to each out. It owns the gateways that were launched
//! and the batch that is under way.
//!
//! Invariants: while a list of backends is incomplete, only its entries may come; nothing is decided before its batch has
//! ended.

use crate::gateway::SimulatedGateway;
use crate::wire::{InvalidLine, Line, LineProblem};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use thiserror::Error;
use vanewharf_gateway_settings::{Options, balancer_config};
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{BackendInfo, Event, Ticks};

/// Why a session cannot go on.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The simulator sent a line that cannot be taken.
    #[error(transparent)]
    InvalidLine(#[from] InvalidLine),
    /// The streams failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A list of backends that is under way.
struct PendingList {
    /// Whether it names all backends, or changes only.
    complete: bool,
    missing_entries: usize,
    entries: Vec<BackendInfo>,
}

impl PendingList {
    fn into_event(self) -> Event {
        if self.complete { Event::BackendList(self.entries) } else { Event::BackendChanges(self.entries) }
    }
}

#[derive(Default)]
struct Batch {
    /// The batch's time; none before it has begun.
    now: Option<Ticks>,
    /// The gateway that lines are for.
    gateway: Option<String>,
    list: Option<PendingList>,
}

/// All gateways of one simulator.
#[derive(Default)]
pub struct Session {
    // Ordered by name, so that replies do not depend on the order of a hash table.
    gateways: BTreeMap<String, SimulatedGateway>,
    batch: Batch,
}

impl Session {
    /// Answers batches until the input ends.
    ///
    /// # Errors
    /// If a line cannot be taken, the input ends within a batch, or a stream fails.
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), SessionError> {
        let mut text = String::new();
        let mut number = 0;
        loop {
            text.clear();
            if input.read_line(&mut text)? == 0 {
                return Ok(self.end(number)?);
            }
            number += 1;
            let line = Line::parse(number, text.trim_end_matches(['\n', '\r']))?;
            if line.message == "EOF_BATCH" {
                output.write_all(self.end_batch(&line)?.as_bytes())?;
                output.flush()?;
            } else {
                self.handle_line(&line)?;
            }
        }
    }

    fn end(&self, number: u64) -> Result<(), InvalidLine> {
        if self.batch.now.is_some() { Err(InvalidLine::input_ended(number)) } else { Ok(()) }
    }

    fn handle_line(&mut self, line: &Line<'_>) -> Result<(), InvalidLine> {
        if self.batch.list.is_some() && line.message != "M" {
            return Err(out_of_place(line, "list entries were to come"));
        }
        let Some(now) = self.batch.now else {
            return self.begin_batch(line);
        };
        match line.message {
            "SYNC" => Err(out_of_place(line, "a batch is under way")),
            "ON" => {
                self.batch.gateway = Some(line.required_text("door")?.to_owned());
                Ok(())
            }
            _ => self.handle_gateway_line(line, now),
        }
    }

    fn begin_batch(&mut self, line: &Line<'_>) -> Result<(), InvalidLine> {
        match line.message {
            "" => Ok(()),
            "SYNC" => {
                self.batch.now = Some(line.required_time("t")?);
                Ok(())
            }
            _ => Err(out_of_place(line, "no batch has begun")),
        }
    }

    fn handle_gateway_line(&mut self, line: &Line<'_>, now: Ticks) -> Result<(), InvalidLine> {
        let Some(name) = &self.batch.gateway else {
            return Err(out_of_place(line, "no door is named"));
        };
        match line.message {
            "LAUNCH" => {
                let gateway = launch(line, now)?;
                self.gateways.insert(name.clone(), gateway);
                return Ok(());
            }
            "KILLED" => {
                self.gateways.remove(name);
                return Ok(());
            }
            _ => {}
        }
        let Some(gateway) = self.gateways.get_mut(name) else {
            return Err(line.invalid(LineProblem::NotLaunched(name.clone())));
        };
        match line.message {
            "MEMBERS" => self.batch.list = begin_list(line)?,
            "M" => {
                let Some(list) = &mut self.batch.list else {
                    return Err(out_of_place(line, "no list is under way"));
                };
                list.entries.push(gateway.read_backend(line)?);
                list.missing_entries -= 1;
            }
            _ => {
                if let Some(event) = gateway.read_event(line)? {
                    gateway.push(event);
                }
            }
        }
        if let Some(list) = self.batch.list.take_if(|list| list.missing_entries == 0) {
            gateway.push(list.into_event());
        }
        Ok(())
    }

    fn end_batch(&mut self, line: &Line<'_>) -> Result<String, InvalidLine> {
        let batch = std::mem::take(&mut self.batch);
        let Some(now) = batch.now else {
            return Err(out_of_place(line, "no batch has begun"));
        };
        if batch.list.is_some() {
            return Err(out_of_place(line, "list entries were to come"));
        }
        let mut reply = String::new();
        for (name, gateway) in &mut self.gateways {
            let actions = gateway.decide(now);
            if !actions.is_empty() {
                reply.push_str("INSTANCE door=");
                reply.push_str(name);
                reply.push('\n');
                gateway.write_actions(&actions, &mut reply);
            }
        }
        reply.push_str("EOR\n");
        Ok(reply)
    }
}

/// A gateway with the settings that the line has.
fn launch(line: &Line<'_>, now: Ticks) -> Result<SimulatedGateway, InvalidLine> {
    let options = Options::flat(line.fields().iter().copied());
    let started = balancer_config(&options, line.required("init_seed")?, now);
    let (config, names) = started.map_err(|unreadable| line.invalid(unreadable.into()))?;
    Ok(SimulatedGateway::new(Balancer::new(config), names))
}

/// The list that the line begins; none where the list before stays in force.
fn begin_list(line: &Line<'_>) -> Result<Option<PendingList>, InvalidLine> {
    let complete = match line.required::<u32>("scope")? {
        0 => false,
        1 | 2 => true,
        3 => return Ok(None),
        code => {
            return Err(line.invalid(LineProblem::UnknownCode { field: "scope", meaning: "kind", code }));
        }
    };
    let missing_entries = line.optional("hosts", 0)?;
    Ok(Some(PendingList { complete, missing_entries, entries: Vec::new() }))
}

fn out_of_place(line: &Line<'_>, why: &'static str) -> InvalidLine {
    line.invalid(LineProblem::OutOfPlace(why))
}
