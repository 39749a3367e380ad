//! Batches in, replies out.

use crate::door::Host;
use crate::wire::{Line, Malformed};
use std::collections::BTreeMap;
use std::error::Error;
use std::io::{BufRead, Write};
use vanewharf_gateway_settings::Options;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{BackendInfo, Event, Ticks};

/// A list under way: how many entries are still to come.
struct Listing {
    whole: bool,
    to_come: usize,
    entries: Vec<BackendInfo>,
}

#[derive(Default)]
struct Batch {
    now: Option<Ticks>,
    current: Option<String>,
    listing: Option<Listing>,
}

#[derive(Default)]
pub struct Link {
    // Ordered by name, so that replies do not hang on a hash order.
    hosts: BTreeMap<String, Host>,
    batch: Batch,
}

impl Link {
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), Box<dyn Error>> {
        let mut text = String::new();
        let mut number = 0;
        loop {
            text.clear();
            if input.read_line(&mut text)? == 0 {
                return self.end(number);
            }
            number += 1;
            let line = Line::read(number, text.trim_end_matches(['\n', '\r']))?;
            if line.message == "EOF_BATCH" {
                output.write_all(self.reply(&line)?.as_bytes())?;
                output.flush()?;
            } else {
                self.take(&line)?;
            }
        }
    }

    fn end(&self, number: u64) -> Result<(), Box<dyn Error>> {
        if self.batch.now.is_none() {
            return Ok(());
        }
        let fault = "the input ends in mid-batch".to_owned();
        Err(Malformed { line: number, message: "EOF_BATCH".to_owned(), fault }.into())
    }

    fn take(&mut self, line: &Line<'_>) -> Result<(), Malformed> {
        if self.batch.listing.is_some() && line.message != "M" {
            return Err(line.fault("out of place: list entries were to come".to_owned()));
        }
        let Some(now) = self.batch.now else {
            return match line.message {
                "" => Ok(()),
                "SYNC" => {
                    self.batch.now = Some(line.need_time("t")?);
                    Ok(())
                }
                _ => Err(line.fault("out of place: no batch has begun".to_owned())),
            };
        };
        match line.message {
            "SYNC" => return Err(line.fault("out of place: a batch is under way".to_owned())),
            "ON" => {
                self.batch.current = Some(line.need("door")?.to_owned());
                return Ok(());
            }
            _ => {}
        }
        let Some(name) = &self.batch.current else {
            return Err(line.fault("out of place: no door is named".to_owned()));
        };
        match line.message {
            "LAUNCH" => {
                let options = Options::flat(line.pairs().iter().copied());
                let (start, named) =
                    vanewharf_gateway_settings::policy_start(&options, line.whole("init_seed")?, now)
                        .map_err(|unreadable| line.fault(unreadable.to_string()))?;
                self.hosts.insert(name.clone(), Host::new(Balancer::new(start), named));
                return Ok(());
            }
            "KILLED" => {
                self.hosts.remove(name);
                return Ok(());
            }
            _ => {}
        }
        let Some(host) = self.hosts.get_mut(name) else {
            return Err(line.fault(format!("out of place: {name} was not launched")));
        };
        match line.message {
            "MEMBERS" => {
                let whole = match line.whole::<u32>("scope")? {
                    0 => false,
                    1 | 2 => true,
                    // The list held before stays in force.
                    3 => return Ok(()),
                    other => {
                        return Err(line.fault(format!("field scope is no kind: '{other}'")));
                    }
                };
                let to_come = line.whole_or("hosts", 0)?;
                let listing = Listing { whole, to_come, entries: Vec::new() };
                self.close_if_full(listing);
            }
            "M" => {
                let Some(mut listing) = self.batch.listing.take() else {
                    return Err(line.fault("out of place: no list is under way".to_owned()));
                };
                listing.entries.push(host.entry(line)?);
                listing.to_come -= 1;
                self.close_if_full(listing);
            }
            _ => {
                let event = host.event(line)?;
                host.events.extend(event);
            }
        }
        Ok(())
    }

    fn close_if_full(&mut self, listing: Listing) {
        if listing.to_come > 0 {
            self.batch.listing = Some(listing);
            return;
        }
        let current = self.batch.current.as_ref();
        if let Some(host) = current.and_then(|name| self.hosts.get_mut(name)) {
            host.events.push(if listing.whole {
                Event::BackendList(listing.entries)
            } else {
                Event::BackendChanges(listing.entries)
            });
        }
    }

    fn reply(&mut self, line: &Line<'_>) -> Result<String, Malformed> {
        let batch = std::mem::take(&mut self.batch);
        let Some(now) = batch.now else {
            return Err(line.fault("out of place: no batch has begun".to_owned()));
        };
        if batch.listing.is_some() {
            return Err(line.fault("out of place: list entries were to come".to_owned()));
        }
        let mut reply = String::new();
        for (name, host) in &mut self.hosts {
            if host.events.is_empty() {
                continue;
            }
            let events = std::mem::take(&mut host.events);
            let actions = host.door.decide(now, events);
            if !actions.is_empty() {
                reply.push_str("INSTANCE door=");
                reply.push_str(name);
                reply.push('\n');
                host.write(&actions, &mut reply);
            }
        }
        reply.push_str("EOR\n");
        Ok(reply)
    }
}
