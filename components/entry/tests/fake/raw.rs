//! A client that sends messages as bytes, for tests of the wire protocol.

use base::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0web\0database\0booking\0\0";
    let mut packet = (body.len() as u32 + 4).to_be_bytes().to_vec();
    packet.extend_from_slice(body);
    packet
}

pub const EXECUTE: &[u8] = b"E\0\0\0\x09\0\0\0\0\0";
pub const FLUSH: &[u8] = b"H\0\0\0\x04";
pub const SYNC: &[u8] = b"S\0\0\0\x04";
pub const TERMINATE: &[u8] = b"X\0\0\0\x04";

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

pub fn parse(name: &str, text: &str) -> Vec<u8> {
    message(b'P', &[name.as_bytes(), b"\0", text.as_bytes(), b"\0\0\0"].concat())
}

pub fn bind(name: &str) -> Vec<u8> {
    message(b'B', &[b"\0", name.as_bytes(), b"\0\0\0\0\0\0\0"].concat())
}

/// Messages of the extended protocol that run a statement.
pub fn statement(text: &str) -> Vec<u8> {
    [parse("", text), bind(""), EXECUTE.to_vec()].concat()
}

pub fn describe(name: &str) -> Vec<u8> {
    message(b'D', &[b"S", name.as_bytes(), b"\0"].concat())
}

/// A connection on which a test sends messages as bytes.
pub struct Client {
    stream: TcpStream,
    input: bytes::BytesMut,
}

impl Client {
    pub async fn connect(address: std::net::SocketAddr) -> Self {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&startup()).await.unwrap();
        let mut client = Self { stream, input: bytes::BytesMut::new() };
        while client.next().await != b'Z' {}
        client
    }

    /// Kind of the next message that is not a `ParameterStatus`.
    async fn next(&mut self) -> u8 {
        loop {
            if let Some(frame) = pg::frame::take(&mut self.input).unwrap() {
                if frame.kind == b'S' {
                    continue;
                }
                return frame.kind;
            }
            let read = self.stream.read_buf(&mut self.input);
            let read = tokio::time::timeout(Duration::from_secs(20), read).await;
            assert_ne!(read.expect("an answer").unwrap(), 0);
        }
    }

    /// Sends messages and returns the kinds of the next `answers` messages.
    pub async fn exchange(&mut self, messages: &[&[u8]], answers: usize) -> String {
        self.stream.write_all(&messages.concat()).await.unwrap();
        let mut kinds = String::new();
        while kinds.len() < answers {
            kinds.push(char::from(self.next().await));
        }
        kinds
    }
}
