//! A session of the simulator's line protocol, which answers each batch of lines with one reply. It owns the running
//! gateways and the state of the current batch.
//!
//! Invariants: while a backend list is incomplete, only its entries are accepted; no gateway's policy runs before the
//! batch has ended.

use crate::gateway::SimulatedGateway;
use crate::wire::{InvalidLine, Line, LineProblem};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use thiserror::Error;
use vanewharf_gateway_settings::{Options, balancer_config};
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{BackendInfo, Event, Ticks};

/// The reason why a session failed.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The simulator sent an invalid line.
    #[error(transparent)]
    InvalidLine(#[from] InvalidLine),
    /// The input or output stream failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A backend list whose entries are still being received.
struct PartialBackendList {
    /// True if the list replaces all backends, false if it contains only changed backends.
    full: bool,
    remaining_entries: usize,
    entries: Vec<BackendInfo>,
}

impl PartialBackendList {
    fn into_event(self) -> Event {
        if self.full { Event::BackendList(self.entries) } else { Event::BackendChanges(self.entries) }
    }
}

/// The state of the current batch.
#[derive(Default)]
struct Batch {
    /// The simulated time of the batch; `None` between batches.
    now: Option<Ticks>,
    /// The name of the gateway that the following lines address.
    gateway: Option<String>,
    list: Option<PartialBackendList>,
}

/// A session with one simulator: all its gateways and the current batch.
#[derive(Default)]
pub struct Session {
    // Ordered by name to make the order of gateways in a reply deterministic.
    gateways: BTreeMap<String, SimulatedGateway>,
    batch: Batch,
}

impl Session {
    /// Reads and answers batches until the input ends.
    ///
    /// # Errors
    /// Returns an error if a line is invalid, the input ends within a batch, or a stream fails.
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), SessionError> {
        let mut text = String::new();
        let mut number = 0;
        loop {
            text.clear();
            if input.read_line(&mut text)? == 0 {
                return Ok(self.check_end_of_input(number)?);
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

    fn check_end_of_input(&self, lines_read: u64) -> Result<(), InvalidLine> {
        if self.batch.now.is_some() { Err(InvalidLine::input_ended(lines_read)) } else { Ok(()) }
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
                list.remaining_entries -= 1;
            }
            _ => {
                if let Some(event) = gateway.read_event(line)? {
                    gateway.push_event(event);
                }
            }
        }
        if let Some(list) = self.batch.list.take_if(|list| list.remaining_entries == 0) {
            gateway.push_event(list.into_event());
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

/// Creates a gateway from the settings in the fields of a `LAUNCH` line.
fn launch(line: &Line<'_>, now: Ticks) -> Result<SimulatedGateway, InvalidLine> {
    let options = Options::flat(line.fields().iter().copied());
    let started = balancer_config(&options, line.required("init_seed")?, now);
    let (config, names) = started.map_err(|unreadable| line.invalid(unreadable.into()))?;
    Ok(SimulatedGateway::new(Balancer::new(config), names))
}

/// Starts the backend list that a `MEMBERS` line announces. Returns `None` if the previous list remains in force.
fn begin_list(line: &Line<'_>) -> Result<Option<PartialBackendList>, InvalidLine> {
    let full = match line.required::<u32>("scope")? {
        0 => false,
        1 | 2 => true,
        3 => return Ok(None),
        code => {
            return Err(line.invalid(LineProblem::UnknownCode { field: "scope", meaning: "kind", code }));
        }
    };
    let remaining_entries = line.optional("hosts", 0)?;
    Ok(Some(PartialBackendList { full, remaining_entries, entries: Vec::new() }))
}

fn out_of_place(line: &Line<'_>, reason: &'static str) -> InvalidLine {
    line.invalid(LineProblem::OutOfPlace(reason))
}
