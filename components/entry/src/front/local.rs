//! Cycles that the front answers without a keeper.

use std::collections::BTreeMap;
use std::sync::Arc;

use pg::client::{Message, Target};
use pg::prepared::{Change, Statement};
use pg::scan::{self, Feature, Scan};
use pg::setting::Local;
use pg::{Code, Problem};

use super::caller::Caller;
use super::session::Transaction;

/// A statement that the front answers without a keeper.
#[derive(Clone, Debug)]
enum Command {
    Local(Local),
    /// The statement that ends a transaction which was already rolled back.
    Rollback,
}

impl Command {
    fn column(&self) -> Option<&'static str> {
        match self {
            Self::Local(local) => local.column(),
            Self::Rollback => None,
        }
    }
}

fn local_command(scan: &Scan) -> Option<Command> {
    match scan.statements.as_slice() {
        [scan::Statement::Local(local)] => Some(Command::Local(local.clone())),
        _ if scan.ends() => Some(Command::Rollback),
        _ => None,
    }
}

impl Caller {
    /// Answers a simple query whose statements are all local.
    pub(super) fn local_query(&mut self, scan: &Scan) {
        for statement in &scan.statements {
            let scan::Statement::Local(local) = statement else {
                continue;
            };
            if let Some(column) = local.column() {
                self.conn.output.column(Some(column));
            }
            if let Err(problem) = self.answer(local) {
                self.conn.output.error(&problem);
                return;
            }
        }
    }

    /// Answers the statement that ends a transaction which was already rolled back.
    pub(super) fn end_rolled_back(&mut self) {
        self.session.transaction = Transaction::None;
        self.conn.output.complete("ROLLBACK");
    }

    /// Answers messages of the extended protocol whose statements are all local.
    pub(super) fn local_cycle(&mut self, messages: &[Message]) -> Result<(), Problem> {
        let mut portals = BTreeMap::new();
        for message in messages {
            self.local_message(message, &mut portals)?;
        }
        Ok(())
    }

    fn local_message(
        &mut self,
        message: &Message,
        portals: &mut BTreeMap<String, Command>,
    ) -> Result<(), Problem> {
        let text = |name: &Option<String>| name.clone().unwrap_or_default();
        match message {
            Message::Parse(parse) => {
                let statement = Arc::new(Statement::from(parse));
                self.session.prepared.apply(&Change::Insert(text(&parse.name), statement));
                self.conn.output.parsed();
            }
            Message::Bind(bind) => {
                let statement = self.local_statement(&text(&bind.statement_name))?;
                portals.insert(text(&bind.portal_name), statement);
                self.conn.output.bound();
            }
            Message::Describe(Target::Statement, name) => {
                let statement = self.local_statement(name)?;
                self.conn.output.parameters();
                self.conn.output.column(statement.column());
            }
            Message::Describe(Target::Portal, name) => {
                let column = portals.get(name).ok_or(Feature::Mixed)?.column();
                self.conn.output.column(column);
            }
            Message::Execute(execute) => {
                match portals.get(&text(&execute.name)).ok_or(Feature::Mixed)? {
                    Command::Local(local) => self.answer(local)?,
                    Command::Rollback => self.end_rolled_back(),
                }
            }
            Message::Close(target, name) => {
                if *target == Target::Statement {
                    self.session.prepared.apply(&Change::Remove(name.clone()));
                } else {
                    portals.remove(name);
                }
                self.conn.output.closed();
            }
            _ => {}
        }
        Ok(())
    }

    fn local_statement(&self, name: &str) -> Result<Command, Problem> {
        let statement = self.session.prepared.get(name);
        let found = statement.and_then(|statement| local_command(&statement.scan));
        found.ok_or_else(|| Feature::Mixed.into())
    }

    fn answer(&mut self, local: &Local) -> Result<(), Problem> {
        match local {
            Local::SetSession(token) => self.merge_token(token)?,
            Local::ResetSession => self.session.floors = session::Floors::new(),
            Local::ShowSession => {
                let token = self.token();
                self.conn.output.row(&token);
            }
            Local::SetApplication(name) => {
                self.session.application.clone_from(name);
                self.conn.output.parameter(pg::setting::APPLICATION, name);
            }
            Local::ShowApplication => self.conn.output.row(&self.session.application),
            Local::Show { value, .. } => self.conn.output.row(value),
            Local::Set | Local::Reset => {}
            Local::DiscardAll | Local::DeallocateAll => self.session.prepared.clear(),
        }
        self.conn.output.complete(local.tag());
        Ok(())
    }

    /// Raises the floors of the session to those of a token.
    pub(super) fn merge_token(&mut self, token: &str) -> Result<(), Problem> {
        let floors = self.front.keys.verify(&self.session.service, token);
        let floors = floors
            .map_err(|report| Problem::new(Code::Token, report.current_context().to_string()))?;
        self.session.floors.merge(&floors);
        Ok(())
    }

    /// Issues a token with the floors of the session.
    pub(super) fn token(&self) -> String {
        self.front.keys.issue(&self.session.service, &self.session.floors)
    }

    /// Reports the session token to the caller as a parameter.
    pub(super) fn report_token(&mut self) {
        let token = self.token();
        self.conn.output.parameter(pg::setting::SESSION, &token);
    }
}
