//! Prepared statements of a caller, and the rewritten cycles for backend servers.
//!
//! A backend connection holds no state of a caller. The front stores each prepared
//! statement, and each cycle that uses a statement prepares it again: the name of the
//! statement is replaced by the name of a slot, and Close and Parse of the slot are
//! added before its first use. The Close removes any statement that the connection
//! still has under this name. A slot is not used twice in one transaction, since a
//! portal of the transaction may depend on the statement in it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::{
    Close, Describe, Parse, Sync, TARGET_TYPE_BYTE_PORTAL, TARGET_TYPE_BYTE_STATEMENT,
};

use crate::client::{Message, Target};
use crate::code::{Code, Problem};
use crate::filter::{CLOSE_COMPLETE, Expected, PARSE_COMPLETE};
use crate::scan::Scan;

/// Largest number of prepared statements of one caller.
pub const MAX_STATEMENTS: usize = 4_096;

/// Largest total size in bytes of the names and texts of one caller's prepared
/// statements.
pub const MAX_BYTES: usize = 8 << 20;

/// Prefix of the slot names; the number of the slot follows.
const SLOT_PREFIX: &str = "trefoil_";

/// Prepared statement of a caller.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    /// SQL text of the statement.
    pub text: String,
    /// Object ids of the parameter types, as given by the caller.
    pub types: Vec<u32>,
    /// Classes of the SQL statements in the text, and the request kind that it states.
    pub scan: Scan,
}

impl From<&Parse> for Statement {
    fn from(parse: &Parse) -> Self {
        Self {
            text: parse.query.clone(),
            types: parse.type_oids.clone(),
            scan: Scan::new(&parse.query),
        }
    }
}

/// Change to the prepared statements of a caller, which takes effect once its answer
/// was forwarded to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds the statement under a name.
    Insert(String, Arc<Statement>),
    /// Removes the statement with a name.
    Remove(String),
    /// Changes no statement: the answer is to the Close of a portal.
    None,
}

/// Rewritten cycle for a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Encoded messages, up to and including the Query or Sync.
    pub payload: Bytes,
    /// Expected answers to Parse and Close messages, in order.
    pub expected: Vec<Expected>,
    /// Change that takes effect with each answer in [`Plan::expected`] that is `own`, in
    /// the same order.
    pub changes: Vec<Change>,
}

/// Statements and portals that a cycle uses.
#[derive(Debug, Default)]
pub struct Lookup {
    /// Statements that the cycle prepares, binds or describes, in the order of the
    /// messages.
    pub statements: Vec<Arc<Statement>>,
    /// Statements that the cycle itself prepares, in order.
    own: VecDeque<Arc<Statement>>,
    /// Portals that the cycle binds and executes, in order.
    uses: Vec<Use>,
}

/// Use of a portal in a cycle.
#[derive(Debug)]
enum Use {
    /// Binds a statement to the portal with this name.
    Bind(String, Arc<Statement>),
    /// Executes the portal with this name.
    Execute(String),
}

impl Lookup {
    /// Whether a Sync after these messages would have no effect: outside of a transaction,
    /// they bind and execute only a statement that begins one, and leave no portal open.
    /// `in_transaction` tells whether a transaction is open before the messages.
    pub fn is_separable(&self, in_transaction: bool) -> bool {
        let mut in_transaction = in_transaction;
        let mut portals = BTreeMap::new();
        for portal_use in &self.uses {
            match portal_use {
                Use::Bind(name, statement) => {
                    portals.insert(name, &statement.scan);
                    if !in_transaction && !statement.scan.begins() {
                        return false;
                    }
                }
                Use::Execute(name) => match portals.get(name) {
                    Some(scan) if scan.begins() => in_transaction = true,
                    Some(scan) if scan.ends() => {
                        in_transaction = false;
                        portals.clear();
                    }
                    // the portal was bound in an earlier cycle
                    None if !in_transaction => return false,
                    Some(_) | None => {}
                },
            }
        }
        in_transaction || portals.is_empty()
    }
}

/// All prepared statements of one caller.
#[derive(Debug, Default)]
pub struct Prepared {
    statements: BTreeMap<String, Arc<Statement>>,
    /// Total size in bytes of the names and texts.
    bytes: usize,
    /// Number of the next unused slot.
    slots: u64,
}

impl Prepared {
    /// Creates the state of a caller without prepared statements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the statement with a name; the empty name is that of the unnamed
    /// statement.
    pub fn get(&self, name: &str) -> Option<&Arc<Statement>> {
        self.statements.get(name)
    }

    /// Number of prepared statements.
    pub fn len(&self) -> usize {
        self.statements.len()
    }

    /// Whether there are no prepared statements.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Applies a change whose answer was forwarded to the caller.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Insert(name, statement) => {
                self.remove(name);
                self.bytes += name.len() + statement.text.len();
                self.statements.insert(name.clone(), Arc::clone(statement));
            }
            Change::Remove(name) => self.remove(name),
            Change::None => {}
        }
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        self.statements.clear();
        self.bytes = 0;
    }

    /// Allows the slots to be used again; called when no transaction is open.
    pub fn release_slots(&mut self) {
        self.slots = 0;
    }

    fn remove(&mut self, name: &str) {
        if let Some(old) = self.statements.remove(name) {
            self.bytes -= name.len() + old.text.len();
        }
    }

    /// Returns the statements and portals that a cycle uses.
    pub fn look_up(&self, messages: &[Message]) -> Lookup {
        let mut lookup = Lookup::default();
        let mut names: BTreeMap<&str, Option<Arc<Statement>>> = BTreeMap::new();
        for message in messages {
            let name = match message {
                Message::Parse(parse) => {
                    let statement = Arc::new(Statement::from(parse));
                    lookup.own.push_back(Arc::clone(&statement));
                    let name = parse.name.as_deref().unwrap_or_default();
                    names.insert(name, Some(statement));
                    name
                }
                Message::Bind(bind) => bind.statement_name.as_deref().unwrap_or_default(),
                Message::Describe(Target::Statement, name) => name,
                Message::Close(Target::Statement, name) => {
                    names.insert(name, None);
                    continue;
                }
                Message::Execute(execute) => {
                    lookup.uses.push(Use::Execute(execute.name.clone().unwrap_or_default()));
                    continue;
                }
                _ => continue,
            };
            let staged = names.get(name).cloned();
            let Some(statement) = staged.unwrap_or_else(|| self.get(name).cloned()) else {
                continue;
            };
            if let Message::Bind(bind) = message {
                let portal = bind.portal_name.clone().unwrap_or_default();
                lookup.uses.push(Use::Bind(portal, Arc::clone(&statement)));
            }
            lookup.statements.push(statement);
        }
        lookup
    }

    /// Rewrites the messages of an extended cycle for a backend server. `lookup` is the
    /// result of [`Prepared::look_up`] for the same messages.
    ///
    /// # Errors
    /// [`Code::Limit`] if the prepared statements exceed [`MAX_STATEMENTS`] or
    /// [`MAX_BYTES`].
    pub fn plan(&mut self, messages: Vec<Message>, lookup: Lookup) -> Result<Plan, Problem> {
        let mut draft = Draft {
            prepared: self,
            own: lookup.own,
            names: BTreeMap::new(),
            payload: BytesMut::new(),
            plan: Plan::default(),
        };
        for message in messages {
            draft.add(message)?;
        }
        draft.put(&Sync::new());
        let Draft { payload, mut plan, .. } = draft;
        plan.payload = payload.freeze();
        Ok(plan)
    }
}

/// Cycle that is being rewritten.
struct Draft<'a> {
    prepared: &'a mut Prepared,
    /// Statements that the rest of the cycle prepares, in order.
    own: VecDeque<Arc<Statement>>,
    /// Slot of each statement name that is prepared in this cycle.
    names: BTreeMap<String, String>,
    payload: BytesMut,
    plan: Plan,
}

impl Draft<'_> {
    fn add(&mut self, message: Message) -> Result<(), Problem> {
        match message {
            Message::Parse(parse) => self.parse(parse)?,
            Message::Bind(mut bind) => {
                let slot = self.resolve(bind.statement_name.as_deref().unwrap_or_default());
                bind.statement_name = Some(slot);
                self.put(&bind);
            }
            Message::Describe(Target::Statement, name) => {
                let slot = self.resolve(&name);
                self.put(&Describe::new(TARGET_TYPE_BYTE_STATEMENT, Some(slot)));
            }
            Message::Describe(Target::Portal, name) => {
                self.put(&Describe::new(TARGET_TYPE_BYTE_PORTAL, Some(name)));
            }
            Message::Close(Target::Statement, name) => {
                let slot = self.names.remove(&name).unwrap_or_else(|| self.next_slot());
                self.close(TARGET_TYPE_BYTE_STATEMENT, slot, true);
                self.plan.changes.push(Change::Remove(name));
            }
            Message::Close(Target::Portal, name) => {
                self.close(TARGET_TYPE_BYTE_PORTAL, name, true);
                self.plan.changes.push(Change::None);
            }
            Message::Execute(execute) => self.put(&execute),
            Message::Query(_)
            | Message::Sync
            | Message::Flush
            | Message::Terminate
            | Message::Password(_)
            | Message::Unsupported => {}
        }
        Ok(())
    }

    fn parse(&mut self, parse: Parse) -> Result<(), Problem> {
        let name = parse.name.clone().unwrap_or_default();
        self.check_limits(&name, &parse.query)?;
        let taken = !name.is_empty() && self.current(&name).is_some();
        let slot = if taken { self.resolve(&name) } else { self.next_slot() };
        if !taken {
            self.close(TARGET_TYPE_BYTE_STATEMENT, slot.clone(), false);
        }
        // the backend server itself refuses a name that is taken, so that the error has
        // the right place in the answer
        let statement = self.own.pop_front();
        let statement = statement.unwrap_or_else(|| Arc::new(Statement::from(&parse)));
        self.put(&Parse::new(Some(slot.clone()), parse.query, parse.type_oids));
        self.plan.expected.push(Expected { kind: PARSE_COMPLETE, own: true });
        self.names.insert(name.clone(), slot);
        self.plan.changes.push(Change::Insert(name, statement));
        Ok(())
    }

    fn check_limits(&self, name: &str, text: &str) -> Result<(), Problem> {
        let staged = self.plan.changes.len();
        let too_many = self.prepared.len() + staged >= MAX_STATEMENTS;
        let too_large = self.prepared.bytes + name.len() + text.len() > MAX_BYTES;
        if too_many || too_large {
            return Err(Problem::new(Code::Limit, "too many prepared statements are kept"));
        }
        Ok(())
    }

    /// Returns the statement that a name refers to at this point of the cycle.
    fn current(&self, name: &str) -> Option<Arc<Statement>> {
        let staged = self.plan.changes.iter().rev().find_map(|change| match change {
            Change::Insert(kept, statement) if kept == name => Some(Some(Arc::clone(statement))),
            Change::Remove(dropped) if dropped == name => Some(None),
            _ => None,
        });
        staged.unwrap_or_else(|| self.prepared.get(name).cloned())
    }

    /// Returns the slot of a name, and prepares the statement in it if this cycle has
    /// not done so.
    fn resolve(&mut self, name: &str) -> String {
        if let Some(slot) = self.names.get(name) {
            return slot.clone();
        }
        let slot = self.next_slot();
        self.close(TARGET_TYPE_BYTE_STATEMENT, slot.clone(), false);
        // the slot of an unknown name stays empty, so the backend server refuses its use
        if let Some(statement) = self.current(name) {
            let types = statement.types.clone();
            self.put(&Parse::new(Some(slot.clone()), statement.text.clone(), types));
            self.plan.expected.push(Expected { kind: PARSE_COMPLETE, own: false });
            self.names.insert(name.to_owned(), slot.clone());
        }
        slot
    }

    fn next_slot(&mut self) -> String {
        let slot = format!("{SLOT_PREFIX}{}", self.prepared.slots);
        self.prepared.slots += 1;
        slot
    }

    fn close(&mut self, target: u8, name: String, own: bool) {
        self.put(&Close::new(target, Some(name)));
        self.plan.expected.push(Expected { kind: CLOSE_COMPLETE, own });
    }

    fn put(&mut self, message: &impl pgwire::messages::Message) {
        let start = self.payload.len();
        let encoded = message.encode(&mut self.payload);
        // a decoded message is within the limits of the encoder
        debug_assert!(encoded.is_ok(), "could not encode a message that was decoded");
        if encoded.is_err() {
            self.payload.truncate(start);
        }
    }
}
