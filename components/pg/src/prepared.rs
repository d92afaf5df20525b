//! Statements that a caller prepared, and its cycles as a backend server is
//! to get them.
//!
//! A backend connection carries no state of a caller. The front keeps each
//! statement, and a cycle that uses one prepares it anew: its name becomes a
//! slot, and before its first use Close and Parse of the slot are added. The
//! Close makes sure that whatever the connection held there is gone. Slots are
//! not used twice in one transaction, since a portal of it may hang on one.

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

/// Most statements that one caller may keep.
pub const MAX_STATEMENTS: usize = 4_096;

/// Most bytes of statements that one caller may keep.
pub const MAX_BYTES: usize = 8 << 20;

const SLOT_PREFIX: &str = "trefoil_";

/// A statement that a caller prepared.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    /// Its text.
    pub text: String,
    /// Types of its parameters as the caller gave them.
    pub types: Vec<u32>,
    /// What the text asks for.
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

/// A change of what is prepared; it counts once its answer was passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A statement is prepared.
    Insert(String, Arc<Statement>),
    /// A statement is closed.
    Remove(String),
    /// A portal is closed.
    None,
}

/// A cycle as a backend server is to get it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Client messages up to Query or Sync.
    pub payload: Bytes,
    /// Answers that are due, in order.
    pub expected: Vec<Expected>,
    /// What each own answer of [`Plan::expected`] changes, in order.
    pub changes: Vec<Change>,
}

/// The statements that a cycle uses.
#[derive(Debug, Default)]
pub struct Lookup {
    /// Each of them, in the order of use.
    pub statements: Vec<Arc<Statement>>,
    /// Those that the cycle itself prepares, in order.
    own: VecDeque<Arc<Statement>>,
    /// What it makes of portals, in order.
    uses: Vec<Use>,
}

/// What a cycle does with a portal.
#[derive(Debug)]
enum Use {
    /// Binds a statement to it.
    Bind(String, Arc<Statement>),
    /// Runs it.
    Execute(String),
}

impl Lookup {
    /// Whether a Sync after it changes nothing: it leaves no portal and runs
    /// nothing outside a transaction. `in_transaction` tells whether one is open.
    pub fn is_separable(&self, in_transaction: bool) -> bool {
        let mut in_transaction = in_transaction;
        let mut portals = BTreeMap::new();
        for portal in &self.uses {
            match portal {
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
                    // a portal of an earlier cycle
                    None if !in_transaction => return false,
                    Some(_) | None => {}
                },
            }
        }
        in_transaction || portals.is_empty()
    }
}

/// The statements that one caller prepared.
#[derive(Debug, Default)]
pub struct Prepared {
    statements: BTreeMap<String, Arc<Statement>>,
    bytes: usize,
    slots: u64,
}

impl Prepared {
    /// Makes the state of a caller that prepared nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// A statement by name; the empty name is that of the unnamed one.
    pub fn get(&self, name: &str) -> Option<&Arc<Statement>> {
        self.statements.get(name)
    }

    /// Number of statements kept.
    pub fn len(&self) -> usize {
        self.statements.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Keeps or drops a statement.
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

    /// Drops all statements.
    pub fn clear(&mut self) {
        self.statements.clear();
        self.bytes = 0;
    }

    /// Tells that no transaction is open: slots may be used again.
    pub fn release_slots(&mut self) {
        self.slots = 0;
    }

    fn remove(&mut self, name: &str) {
        if let Some(old) = self.statements.remove(name) {
            self.bytes -= name.len() + old.text.len();
        }
    }

    /// Looks up the statements that a cycle uses.
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

    /// Plans the messages of an extended cycle, after [`Prepared::look_up`].
    ///
    /// # Errors
    /// [`Code::Limit`] when the caller keeps too many statements.
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

struct Draft<'a> {
    prepared: &'a mut Prepared,
    own: VecDeque<Arc<Statement>>,
    /// Where each name stands in this cycle.
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
                let slot = self.names.remove(&name).unwrap_or_else(|| self.slot());
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
        self.check(&name, &parse.query)?;
        let taken = !name.is_empty() && self.current(&name).is_some();
        let slot = if taken { self.resolve(&name) } else { self.slot() };
        if !taken {
            self.close(TARGET_TYPE_BYTE_STATEMENT, slot.clone(), false);
        }
        // a name that is taken is refused by the backend server, in its place
        let statement = self.own.pop_front();
        let statement = statement.unwrap_or_else(|| Arc::new(Statement::from(&parse)));
        self.put(&Parse::new(Some(slot.clone()), parse.query, parse.type_oids));
        self.plan.expected.push(Expected { kind: PARSE_COMPLETE, own: true });
        self.names.insert(name.clone(), slot);
        self.plan.changes.push(Change::Insert(name, statement));
        Ok(())
    }

    fn check(&self, name: &str, text: &str) -> Result<(), Problem> {
        let staged = self.plan.changes.len();
        let many = self.prepared.len() + staged >= MAX_STATEMENTS;
        let large = self.prepared.bytes + name.len() + text.len() > MAX_BYTES;
        if many || large {
            return Err(Problem::new(Code::Limit, "too many prepared statements are kept"));
        }
        Ok(())
    }

    /// What a name means at this place of the cycle.
    fn current(&self, name: &str) -> Option<Arc<Statement>> {
        let staged = self.plan.changes.iter().rev().find_map(|change| match change {
            Change::Insert(kept, statement) if kept == name => Some(Some(Arc::clone(statement))),
            Change::Remove(dropped) if dropped == name => Some(None),
            _ => None,
        });
        staged.unwrap_or_else(|| self.prepared.get(name).cloned())
    }

    /// The slot of a name, prepared in this cycle.
    fn resolve(&mut self, name: &str) -> String {
        if let Some(slot) = self.names.get(name) {
            return slot.clone();
        }
        let slot = self.slot();
        self.close(TARGET_TYPE_BYTE_STATEMENT, slot.clone(), false);
        // a name that means nothing stays closed: the backend server refuses its use
        if let Some(statement) = self.current(name) {
            let types = statement.types.clone();
            self.put(&Parse::new(Some(slot.clone()), statement.text.clone(), types));
            self.plan.expected.push(Expected { kind: PARSE_COMPLETE, own: false });
            self.names.insert(name.to_owned(), slot.clone());
        }
        slot
    }

    fn slot(&mut self) -> String {
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
        // a message that was decoded is within the limits, so this can't fail
        debug_assert!(encoded.is_ok(), "a message that was decoded can be encoded");
        if encoded.is_err() {
            self.payload.truncate(start);
        }
    }
}
