//! A client session.

use std::io::{BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::net::read_line;
use crate::record::Record;

/// Answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Signature, or the code and text of the error.
    pub result: std::result::Result<String, String>,
    pub state: String,
}

pub struct Client {
    name: String,
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    record: Record,
}

impl Client {
    /// Opens a session on a database.
    pub fn open(name: &str, to: SocketAddr, database: &str, record: &Record) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(6)))?;
        let reader = BufReader::new(stream.try_clone()?);
        let mut client = Self { name: name.to_owned(), stream, reader, record: record.clone() };
        client.stream.write_all(format!("START {database} {name}\r\n").as_bytes())?;
        match read_line(&mut client.reader)? {
            Some(line) if line.starts_with("READY") => Ok(client),
            other => Err(Error::new(ErrorKind::ConnectionRefused, format!("{other:?}"))),
        }
    }

    /// Sends a query without waiting for its answer.
    pub fn send(&mut self, id: &str, text: &str) -> Result<()> {
        self.record.line(&self.name, &format!("sends {id} {text}"));
        self.stream.write_all(format!("QUERY {id} {text}\r\n").as_bytes())
    }

    /// Waits for the answer to the query that was sent.
    pub fn receive(&mut self, id: &str) -> Result<Answer> {
        let mut result = Err("none".to_owned());
        loop {
            let line = match read_line(&mut self.reader) {
                Ok(Some(line)) => line,
                Ok(None) => {
                    self.record.line(&self.name, &format!("is disconnected, {id} unanswered"));
                    return Err(Error::from(ErrorKind::UnexpectedEof));
                }
                Err(error) => {
                    self.record.line(&self.name, &format!("gets no answer to {id}: {error}"));
                    return Err(error);
                }
            };
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "COMPLETE" => result = Ok(rest.to_owned()),
                "ERROR" => result = Err(rest.to_owned()),
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    let text = match &result {
                        Ok(text) => format!("COMPLETE {text}"),
                        Err(text) => format!("ERROR {text}"),
                    };
                    self.record.line(&self.name, &format!("gets for {id}: {text}, READY {state}"));
                    return Ok(Answer { result, state });
                }
                _ => {}
            }
        }
    }

    pub fn query(&mut self, id: &str, text: &str) -> Result<Answer> {
        self.send(id, text)?;
        self.receive(id)
    }

    /// Whether a query succeeded.
    pub fn succeeds(&mut self, id: &str, text: &str) -> bool {
        self.query(id, text).is_ok_and(|answer| answer.result.is_ok())
    }
}
