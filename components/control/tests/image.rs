//! Tests that images preserve entries.

use control::State;
use wire::log::{Command, Join, command};

fn joined(web: &str) -> State {
    let join = Join {
        entry: "e1".to_owned(),
        incarnation: 3,
        address: "127.0.0.1:1".to_owned(),
        zone: "lansing".to_owned(),
        web: web.to_owned(),
        sole: false,
        weight: 0,
    };
    let mut state = State::default();
    state.apply(1, &Command { body: Some(command::Body::Join(join)) });
    assert_eq!(state.entries.len(), 1);
    state
}

#[test]
fn keeps_the_web_address_of_an_entry() {
    let state = joined("127.0.0.1:2");
    let read = State::decode(&state.encode()).expect("an image");
    assert_eq!(read, state);
    assert_eq!(read.entries.values().next().unwrap().web, "127.0.0.1:2".parse().ok());
}

#[test]
fn reads_an_entry_without_a_web_address() {
    // an empty string is not encoded, so the image equals that of an older release
    let state = joined("");
    let read = State::decode(&state.encode()).expect("an image");
    assert_eq!(read, state);
    assert_eq!(read.entries.values().next().unwrap().web, None);
}
