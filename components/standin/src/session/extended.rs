//! The extended query protocol: prepared statements and portals.

use std::collections::HashMap;

use bytes::BytesMut;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::{PgWireBackendMessage as Reply, PgWireFrontendMessage as Message};

use crate::answer;
use crate::failure::{Rejection, SqlState};
use crate::log::Statement;
use crate::session::run::{Outcome, Session};
use crate::value::{self, Kind};

/// Prepared statements and portals of a session, and whether messages are skipped
/// after an error.
#[derive(Debug, Default)]
pub struct Extended {
    prepared: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
    skip_to_sync: bool,
}

#[derive(Clone, Debug)]
struct Prepared {
    sql: String,
    parameters: Vec<Kind>,
    columns: Vec<(String, Kind)>,
}

#[derive(Debug)]
struct Portal {
    prepared: Prepared,
    statement: Statement,
    formats: Vec<i16>,
    // outcome of the first execution, from which later ones send the remaining rows
    outcome: Option<Outcome>,
    // number of rows of the outcome that have been sent
    sent: usize,
}

impl Extended {
    /// Ends a query cycle: closes the portals and stops skipping messages.
    pub fn end_cycle(&mut self) {
        self.portals.clear();
        self.skip_to_sync = false;
    }
}

impl Session {
    /// Handles a message of the extended query protocol; after an error, messages are
    /// skipped until `Sync`.
    pub(super) async fn on_extended(&mut self, message: Message, outbox: &mut BytesMut) {
        if self.extended.skip_to_sync {
            return;
        }
        let answered = match message {
            Message::Parse(parse) => self.parse(parse, outbox),
            Message::Bind(bind) => self.bind(bind, outbox),
            Message::Describe(describe) => self.describe_target(&describe, outbox),
            Message::Execute(execute) => self.execute_portal(&execute, outbox).await,
            Message::Close(close) => {
                self.close(&close, outbox);
                Ok(())
            }
            _ => Err(Rejection::new(SqlState::Unsupported, "the message is not offered")),
        };
        if let Err(rejection) = answered {
            self.fail(&rejection, outbox);
            self.extended.skip_to_sync = true;
        }
    }

    fn parse(&mut self, parse: Parse, outbox: &mut BytesMut) -> Result<(), Rejection> {
        let description = self.describe(&parse.query)?;
        let declared = parse.type_oids.iter().map(|oid| (*oid != 0).then(|| Kind::from_oid(*oid)));
        let mut parameters = description.parameters;
        for (parameter, kind) in parameters.iter_mut().zip(declared) {
            *parameter = kind.unwrap_or(*parameter);
        }
        let prepared = Prepared { sql: parse.query, parameters, columns: description.columns };
        self.extended.prepared.insert(parse.name.unwrap_or_default(), prepared);
        answer::put(outbox, &Reply::ParseComplete(ParseComplete::new()));
        Ok(())
    }

    fn bind(&mut self, bind: Bind, outbox: &mut BytesMut) -> Result<(), Rejection> {
        let name = bind.statement_name.unwrap_or_default();
        let prepared = self.prepared(&name)?.clone();
        if bind.parameters.len() != prepared.parameters.len() {
            return Err(Rejection::new(
                SqlState::ProtocolViolation,
                "the number of parameters is wrong",
            ));
        }
        let formats = &bind.parameter_format_codes;
        let value = |(index, (bytes, kind)): (usize, (&Option<_>, &Kind))| {
            let bytes: Option<&bytes::Bytes> = bytes.as_ref();
            value::decode(bytes.map(AsRef::as_ref), *kind, answer::is_binary(formats, index))
        };
        let pairs = bind.parameters.iter().zip(&prepared.parameters).enumerate();
        let values = pairs.map(value).collect::<Result<Vec<_>, _>>()?;
        let statement = Statement { sql: prepared.sql.clone(), values };
        let formats = bind.result_column_format_codes;
        let portal = Portal { prepared, statement, formats, outcome: None, sent: 0 };
        self.extended.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        answer::put(outbox, &Reply::BindComplete(BindComplete::new()));
        Ok(())
    }

    fn prepared(&self, name: &str) -> Result<&Prepared, Rejection> {
        let missing = || Rejection::new(SqlState::UndefinedStatement, "no such prepared statement");
        self.extended.prepared.get(name).ok_or_else(missing)
    }

    fn describe_target(
        &mut self,
        describe: &Describe,
        outbox: &mut BytesMut,
    ) -> Result<(), Rejection> {
        let name = describe.name.as_deref().unwrap_or_default();
        if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let prepared = self.prepared(name)?;
            let types = prepared.parameters.iter().map(|kind| kind.oid()).collect();
            let parameters = ParameterDescription::new(types);
            answer::put(outbox, &Reply::ParameterDescription(parameters));
            put_result_columns(outbox, &prepared.columns, &[]);
            return Ok(());
        }
        let portal = self.extended.portals.get(name).ok_or_else(no_portal)?;
        put_result_columns(outbox, &portal.prepared.columns, &portal.formats);
        Ok(())
    }

    async fn execute_portal(
        &mut self,
        execute: &Execute,
        outbox: &mut BytesMut,
    ) -> Result<(), Rejection> {
        let name = execute.name.clone().unwrap_or_default();
        let mut portal = self.extended.portals.remove(&name).ok_or_else(no_portal)?;
        let outcome = match portal.outcome.take() {
            Some(outcome) => outcome,
            None => self.execute(portal.statement.clone()).await?,
        };
        let limit = usize::try_from(execute.max_rows).unwrap_or_default();
        let rows = &outcome.output.rows[portal.sent..];
        let rows = if limit == 0 { rows } else { &rows[..limit.min(rows.len())] };
        let kinds: Vec<_> = portal.prepared.columns.iter().map(|(_, kind)| *kind).collect();
        for row in rows {
            answer::put_data_row(outbox, row, &kinds, &portal.formats);
        }
        portal.sent += rows.len();
        let has_more = portal.sent < outcome.output.rows.len();
        match &outcome.tag {
            _ if has_more => answer::put(outbox, &Reply::PortalSuspended(PortalSuspended::new())),
            None => answer::put(outbox, &Reply::EmptyQueryResponse(EmptyQueryResponse::new())),
            Some(tag) => answer::put_command_complete(outbox, tag),
        }
        portal.outcome = Some(outcome);
        self.extended.portals.insert(name, portal);
        Ok(())
    }

    fn close(&mut self, close: &Close, outbox: &mut BytesMut) {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.extended.prepared.remove(name);
        } else {
            self.extended.portals.remove(name);
        }
        answer::put(outbox, &Reply::CloseComplete(CloseComplete::new()));
    }
}

fn no_portal() -> Rejection {
    Rejection::new(SqlState::UndefinedPortal, "no such portal")
}

fn put_result_columns(outbox: &mut BytesMut, columns: &[(String, Kind)], formats: &[i16]) {
    if columns.is_empty() {
        return answer::put(outbox, &Reply::NoData(NoData::new()));
    }
    answer::put_row_description(outbox, columns, formats);
}
