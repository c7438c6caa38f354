//! Host for any number of routers that are driven by the simulator's text protocol. It contains no policy.

mod codec;
mod error;
mod lines;

use crate::policy::types::{Action, Event, Micros};
use crate::Router;
use codec::{FieldReader, MessageKind, Names};
pub use error::{FieldFault, MessageError, SimulatorError};
use lines::LineReader;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// A router and the names that messages to it use.
struct RouterInstance {
    router: Router,
    names: Names,
}

/// Runs many routers over one connection to the simulator; the routers share no state.
#[derive(Default)]
pub struct SimulatorHost {
    instances: BTreeMap<u32, RouterInstance>,
    now: Micros,
    actions: Vec<Action>,
    /// The reply to the current batch, written when the batch ends.
    reply: String,
}

impl SimulatorHost {
    /// Reads batches from `input` until it ends and writes a reply to each.
    pub fn run(&mut self, input: impl BufRead, mut output: impl Write) -> Result<(), SimulatorError> {
        let mut lines = LineReader::new(input);
        while let Some(line) = lines.next()? {
            let mut fields = FieldReader::new(line.text);
            self.now = begin_batch(&mut fields).map_err(|error| error_at(line.number, error))?;
            self.run_batch(&mut lines)?;
            codec::encode_end_of_reply(&mut self.reply);
            output.write_all(self.reply.as_bytes())?;
            output.flush()?;
            self.reply.clear();
        }
        Ok(())
    }

    /// Handles the messages of a batch up to and including its end.
    fn run_batch(&mut self, lines: &mut LineReader<impl BufRead>) -> Result<(), SimulatorError> {
        loop {
            let Some(line) = lines.next()? else {
                return Err(error_at(lines.number(), MessageError::UnfinishedBatch));
            };
            let number = line.number;
            let mut fields = FieldReader::new(line.text);
            match MessageKind::from_name(fields.message) {
                Some(MessageKind::EndBatch) => return Ok(()),
                Some(MessageKind::MemberList) => {
                    let list = self.member_list(&mut fields).map_err(|error| error_at(number, error))?;
                    self.read_members(list, lines)?;
                }
                kind => self.handle_message(kind, &mut fields).map_err(|error| error_at(number, error))?,
            }
        }
    }

    /// Decodes the head of a member list. Returns an error if its router is not running.
    fn member_list(&self, fields: &mut FieldReader) -> Result<codec::MemberListHead, MessageError> {
        let list = codec::decode_member_list(fields)?;
        if !self.instances.contains_key(&list.router) {
            return Err(codec::unknown_router(fields, list.router));
        }
        Ok(list)
    }

    /// Reads the entries of a member list and delivers the list to its router.
    fn read_members(
        &mut self,
        list: codec::MemberListHead,
        lines: &mut LineReader<impl BufRead>,
    ) -> Result<(), SimulatorError> {
        let Some(instance) = self.instances.get(&list.router) else { return Ok(()) };
        let mut members = Vec::new();
        for _ in 0..list.entries {
            let Some(line) = lines.next()? else {
                let error = codec::member_list_error(FieldFault::UnfinishedList);
                return Err(error_at(lines.number(), error));
            };
            let member = codec::decode_member(line.text, &instance.names);
            members.push(member.map_err(|error| error_at(line.number, error))?);
        }
        self.deliver(list.router, Event::Members { kind: list.kind, members });
        Ok(())
    }

    /// Handles one message that neither begins nor ends a batch and is not a member list.
    fn handle_message(
        &mut self,
        kind: Option<MessageKind>,
        fields: &mut FieldReader,
    ) -> Result<(), MessageError> {
        let unknown = || MessageError::Unknown { message: fields.message.to_owned() };
        let kind = kind.filter(|kind| *kind != MessageKind::BeginBatch).ok_or_else(unknown)?;
        let id = codec::decode_router(fields)?;
        if kind == MessageKind::Start {
            return self.start(id, fields);
        }
        let instance = self.instances.get(&id).ok_or_else(|| codec::unknown_router(fields, id))?;
        if let MessageKind::Event(kind) = kind {
            let event = codec::decode_event(kind, fields, &instance.names)?;
            self.deliver(id, event);
        } else {
            self.instances.remove(&id);
        }
        Ok(())
    }

    /// Starts a router with the settings in the message.
    fn start(&mut self, id: u32, fields: &mut FieldReader) -> Result<(), MessageError> {
        let codec::StartMessage { seed, settings } = codec::decode_start(fields)?;
        let names = Names {
            zones: settings.zones.clone(),
            kinds: settings.kinds.clone(),
            classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
        };
        let router = Router::new(settings, seed)
            .map_err(|error| codec::settings_error(fields, FieldFault::Settings(error)))?;
        self.instances.insert(id, RouterInstance { router, names });
        Ok(())
    }

    /// Passes an event to a router and appends the resulting actions to the reply.
    fn deliver(&mut self, id: u32, event: Event) {
        let Some(instance) = self.instances.get_mut(&id) else { return };
        self.actions.clear();
        instance.router.handle(self.now, event, &mut self.actions);
        for action in &self.actions {
            codec::encode_action(id, action, &mut self.reply);
        }
    }
}

/// Returns the time of the batch that this message begins. Returns an error if it is another message.
fn begin_batch(fields: &mut FieldReader) -> Result<Micros, MessageError> {
    if MessageKind::from_name(fields.message) != Some(MessageKind::BeginBatch) {
        return Err(MessageError::OutsideBatch { message: fields.message.to_owned() });
    }
    codec::decode_batch_start(fields)
}

fn error_at(line: usize, source: MessageError) -> SimulatorError {
    SimulatorError::Input { line, source }
}
