//! Stand-in of the platform's API: `POST /promotion`.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::group::Group;
use crate::net::{field, read_request};
use crate::record::Record;

/// Groups whose servers can be promoted.
pub type Groups = Arc<Mutex<Vec<Arc<Group>>>>;

/// Serves promotions.
pub fn start(address: SocketAddr, groups: Groups, record: Record) {
    let listener = TcpListener::bind(address).expect("a free address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let (groups, record) = (Arc::clone(&groups), record.clone());
            thread::spawn(move || {
                let Ok(request) = read_request(&stream) else { return };
                let service = field(&request.body, "service").unwrap_or_default();
                let id = field(&request.body, "id").unwrap_or_default();
                let groups = groups.lock().unwrap().clone();
                let group = groups.iter().find(|group| group.name == service);
                let found = group.and_then(|group| Some((group, group.find(&id)?)));
                let accepted = found.is_some_and(|(group, at)| group.promote(at));
                let status = if accepted { "200 OK" } else { "409 Conflict" };
                let text = format!(
                    "{} {service} {id} token {} holder {}: {status}",
                    request.path, request.token, request.holder
                );
                record.line("platform", &text);
                let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                let _ = (&mut &stream).write_all(answer.as_bytes());
            });
        }
    });
}
