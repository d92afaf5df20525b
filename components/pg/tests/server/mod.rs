//! Model of a connection to a backend server, with prepared statements, portals and the
//! status of the transaction.

use std::collections::HashMap;

use bytes::Bytes;
use pg::answer::{Status, Writer};
use pg::client::{Message, Target};
use pg::{Code, Problem};

/// Model of one connection.
#[derive(Debug, Default)]
pub struct Server {
    statements: HashMap<String, String>,
    portals: HashMap<String, String>,
    /// Transaction status of the connection.
    pub status: Status,
}

fn name(name: Option<&String>) -> String {
    name.cloned().unwrap_or_default()
}

/// Makes an error of the server; errors differ only in their message.
fn error(message: &'static str) -> Problem {
    Problem::new(Code::Value, message)
}

impl Server {
    /// Answers the messages of one cycle, without the ReadyForQuery.
    pub fn run(&mut self, mut payload: Bytes) -> Bytes {
        let mut out = Writer::new();
        while let Some(frame) = pg::frame::next(&mut payload).unwrap() {
            let message = Message::decode(&frame).unwrap();
            if let Err(problem) = self.message(&message, &mut out) {
                out.error(&problem);
                if self.status == Status::Open {
                    self.status = Status::Failed;
                }
                break;
            }
        }
        if self.status == Status::Idle {
            self.portals.clear();
        }
        out.take()
    }

    fn message(&mut self, message: &Message, out: &mut Writer) -> Result<(), Problem> {
        match message {
            Message::Query(query) => {
                self.statements.remove("");
                self.execute(&query.query, true, out)?;
            }
            Message::Parse(parse) => {
                let name = name(parse.name.as_ref());
                self.check(&parse.query)?;
                if parse.query.starts_with("bad") {
                    return Err(error("syntax"));
                }
                if !name.is_empty() && self.statements.contains_key(&name) {
                    // in a failed transaction both errors are correct; the model reports
                    // the error of the failed transaction
                    self.check("")?;
                    return Err(error("taken statement"));
                }
                self.statements.insert(name, parse.query.clone());
                out.parsed();
            }
            Message::Bind(bind) => {
                let statement = self.statements.get(&name(bind.statement_name.as_ref()));
                let statement = statement.cloned().ok_or(error("no statement"))?;
                self.check(&statement)?;
                let portal = name(bind.portal_name.as_ref());
                if !portal.is_empty() && self.portals.contains_key(&portal) {
                    return Err(error("taken portal"));
                }
                self.portals.insert(portal, statement);
                out.bound();
            }
            Message::Describe(Target::Statement, name) => {
                let statement = self.statements.get(name).ok_or(error("no statement"))?;
                self.check(statement)?;
                out.parameters();
                out.column(Some(statement));
            }
            Message::Describe(Target::Portal, name) => {
                out.column(Some(self.portals.get(name).ok_or(error("no portal"))?));
            }
            Message::Execute(execute) => {
                let portal = self.portals.get(&name(execute.name.as_ref()));
                let text = portal.cloned().ok_or(error("no portal"))?;
                self.execute(&text, false, out)?;
            }
            Message::Close(target, name) => {
                let table = match target {
                    Target::Statement => &mut self.statements,
                    Target::Portal => &mut self.portals,
                };
                table.remove(name);
                out.closed();
            }
            Message::Sync | Message::Flush => {}
            other => panic!("{other:?} is not a message to a server"),
        }
        Ok(())
    }

    fn check(&self, text: &str) -> Result<(), Problem> {
        let ends = text == "COMMIT" || text == "ROLLBACK";
        if self.status == Status::Failed && !ends {
            return Err(error("failed transaction"));
        }
        Ok(())
    }

    fn execute(&mut self, text: &str, describe: bool, out: &mut Writer) -> Result<(), Problem> {
        self.check(text)?;
        match text {
            "COMMIT" | "ROLLBACK" => {
                self.status = Status::Idle;
                self.portals.clear();
            }
            _ if text.starts_with("BEGIN") || text.starts_with("START") => {
                self.status = Status::Open;
            }
            _ if text.starts_with("fail") => return Err(error("failure")),
            _ => {
                if describe {
                    out.column(Some("text"));
                }
                out.row(text);
            }
        }
        out.complete(text.split(' ').next().unwrap_or_default());
        Ok(())
    }
}
