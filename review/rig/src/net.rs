//! Small helpers for HTTP and for the line protocol.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends an HTTP request and returns the status and the body.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text)?;
    let text = String::from_utf8_lossy(&text).into_owned();
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| Error::from(ErrorKind::InvalidData))?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned();
    Ok((status, body))
}

/// A received HTTP request.
pub struct Request {
    pub path: String,
    pub token: String,
    pub holder: String,
    pub body: String,
}

/// Reads one HTTP request.
pub fn read_request(stream: &TcpStream) -> Result<Request> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let (mut length, mut token, mut holder) = (0, String::new(), String::new());
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 || header == "\r\n" {
            break;
        }
        let Some((name, value)) = header.split_once(':') else { continue };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().unwrap_or(0),
            "x-fencing-token" => token = value.trim().to_owned(),
            "x-duty-holder" => holder = value.trim().to_owned(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Request { path, token, holder, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Value of a text field of a flat JSON object.
pub fn field(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    Some(rest.trim_start().strip_prefix('"')?.split_once('"')?.0.to_owned())
}

/// Reads a line without CR LF; `None` at the end of the stream.
pub fn read_line(reader: &mut impl BufRead) -> Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}
