//! The link of an entry to control, against scripted control members.

use std::net::SocketAddr;

use base::clock::Clock;
use base::prelude::*;
use entry::View;
use entry::follow;
use entry::follow::dialer;
use entry::follow::progress::{Failure, Progress};
use link::{Key, Peer, Purpose, Reader, Writer};
use tokio::net::TcpListener;
use wire::control::{self as messages, Confirm, Down, Entries, Image, Up, down, up};
use wire::log::{Command, Drain, Join, command};

const KEY: &[u8] = b"a key for tests only";

fn join() -> Join {
    Join {
        entry: "e1".to_owned(),
        incarnation: 7,
        address: "127.0.0.1:1".to_owned(),
        zone: "lansing".to_owned(),
        web: "127.0.0.1:2".to_owned(),
        sole: false,
        weight: 0,
    }
}

fn key() -> Key {
    Key::new(KEY).unwrap()
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Accepts the entry's link; returns it with the entry's first message.
async fn accept(listener: &TcpListener) -> (Reader, Writer, messages::Follow) {
    let (stream, _) = listener.accept().await.unwrap();
    let own = Peer::new("c1", 1, Purpose::Control);
    let (_, mut reader, writer) = link::accept(stream, &own, &key()).await.unwrap();
    let first: Up = reader.next().await.unwrap().unwrap();
    let Some(up::Body::Follow(follow)) = first.body else {
        panic!("expected a Follow, got {first:?}")
    };
    (reader, writer, follow)
}

/// Reads messages up to the next heartbeat.
async fn next_heartbeat(reader: &mut Reader) -> messages::Heartbeat {
    loop {
        let message: Up = reader.next().await.unwrap().unwrap();
        if let Some(up::Body::Heartbeat(heartbeat)) = message.body {
            return heartbeat;
        }
    }
}

async fn send(writer: &mut Writer, body: down::Body) {
    writer.send(&Down { body: Some(body) }).await.unwrap();
}

/// Log entries with these indexes; entry 1 registers the entry under test.
fn entries(indexes: std::ops::RangeInclusive<u64>) -> down::Body {
    let drain =
        |on| Command { body: Some(command::Body::Drain(Drain { entry: "e9".to_owned(), on })) };
    let entry = |index| messages::Entry { index, command: Some(drain(index % 2 == 1)) };
    let joined = Command { body: Some(command::Body::Join(join())) };
    let mut entries: Vec<_> = indexes.map(entry).collect();
    if let Some(first) = entries.iter_mut().find(|entry| entry.index == 1) {
        first.command = Some(joined);
    }
    down::Body::Entries(Entries { entries })
}

struct Entry {
    view: View,
    clock: Clock,
    handle: follow::Handle,
}

fn start(controls: Vec<SocketAddr>) -> Entry {
    let (view, symptoms) = View::new();
    let clock = Clock::start();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let settings = follow::Settings {
        join: join(),
        controls: controls.into(),
        key: key(),
        view: view.clone(),
        symptoms,
        clock,
        log,
    };
    Entry { view, clock, handle: follow::start(settings) }
}

async fn wait_for_index(view: &View, index: u64) {
    let mut changes = view.changes();
    while view.read(|state| state.index) < index {
        changes.changed().await.unwrap();
    }
}

async fn wait_for_lease(entry: &Entry) {
    while !entry.view.has_lease(entry.clock.now()) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn confirm(sequence: u64, index: u64) -> down::Body {
    down::Body::Confirm(Confirm { sequence, index, lease_ms: 600_000 })
}

#[tokio::test]
async fn extends_the_lease_only_once_the_confirmed_index_is_applied() {
    let (listener, address) = listen().await;
    let entry = start(vec![address]);
    let (mut reader, mut writer, follow) = accept(&listener).await;
    assert_eq!(follow.applied, 0);
    let first = next_heartbeat(&mut reader).await;
    send(&mut writer, confirm(first.sequence, 3)).await;
    send(&mut writer, entries(1..=2)).await;
    wait_for_index(&entry.view, 2).await;
    assert_eq!(entry.view.lease_until(), Instant::ZERO);
    send(&mut writer, entries(3..=3)).await;
    wait_for_lease(&entry).await;
    assert!(entry.view.lease_until() <= entry.clock.now() + control::lease::LEASE_DURATION);
}

#[tokio::test]
async fn dials_again_after_a_gap_and_reports_its_applied_index() {
    let (listener, address) = listen().await;
    let entry = start(vec![address]);
    let (_reader, mut writer, _) = accept(&listener).await;
    send(&mut writer, entries(1..=2)).await;
    send(&mut writer, entries(4..=4)).await;
    let (_reader, _writer, follow) = accept(&listener).await;
    assert_eq!(follow.applied, 2);
    assert_eq!(entry.view.read(|state| state.index), 2);
}

#[tokio::test]
async fn never_goes_back_to_an_older_image() {
    let (listener, address) = listen().await;
    let entry = start(vec![address]);
    let (_reader, mut writer, _) = accept(&listener).await;
    let mut old_state = control::State::default();
    old_state.skip_to(2);
    send(&mut writer, entries(1..=4)).await;
    let bytes = old_state.encode();
    let (half, length) = (bytes.len() / 2, bytes.len() as u64);
    for (offset, piece) in [(0, &bytes[..half]), (half, &bytes[half..])] {
        let image = Image {
            index: 2,
            offset: offset as u64,
            length,
            bytes: bytes::Bytes::copy_from_slice(piece),
            partial: false,
        };
        send(&mut writer, down::Body::Image(image)).await;
    }
    send(&mut writer, entries(3..=5)).await;
    wait_for_index(&entry.view, 5).await;
    assert!(entry.view.read(|state| state.entries.contains_key("e1")));
}

#[tokio::test]
async fn moves_to_another_member_when_one_confirms_nothing() {
    let ((first, first_address), (second, second_address)) = (listen().await, listen().await);
    let _entry = start(vec![first_address, second_address]);
    let silent = tokio::select! {
        link = accept(&first) => (link, &second),
        link = accept(&second) => (link, &first),
    };
    let (_reader, _writer, follow) = accept(silent.1).await;
    assert_eq!(follow.join, Some(join()));
}

#[tokio::test]
async fn sends_a_leave_message_when_it_leaves() {
    let (listener, address) = listen().await;
    let entry = start(vec![address]);
    let (mut reader, _writer, _) = accept(&listener).await;
    next_heartbeat(&mut reader).await;
    entry.handle.leave().await;
    loop {
        let message: Option<Up> = reader.next().await.unwrap();
        let body = message.expect("a Leave before the link is closed").body;
        if matches!(body, Some(up::Body::Leave(_))) {
            break;
        }
    }
}

fn assign(base: u64, returning: bool) -> Command {
    let lease =
        wire::log::Lease { entry: "e1".to_owned(), incarnation: 7, shares: Vec::new(), returning };
    let assign = wire::log::Assign { group: "g1".to_owned(), base, leases: vec![lease] };
    Command { body: Some(command::Body::Assign(assign)) }
}

#[test]
fn joins_again_only_when_the_caught_up_state_lacks_the_entry() {
    let (view, _symptoms) = View::new();
    let mut progress = Progress::new(Instant::ZERO, join());
    let later = |millis| Instant::from_millis(millis);
    let sequence = progress.next_heartbeat(Instant::ZERO, &view, &mut Vec::new()).sequence;
    let confirm = |index| Down { body: Some(confirm(sequence, index)) };
    progress.on(&view, confirm(1)).unwrap();
    assert!(progress.check(later(5_000), &view, 0).is_ok());
    progress.on(&view, Down { body: Some(entries(1..=1)) }).unwrap();
    assert!(progress.check(later(10_000), &view, 0).is_ok());
    view.write(|state| state.entries.clear());
    assert!(progress.check(later(10_500), &view, 0).is_ok());
    let report = progress.check(later(11_500), &view, 0).unwrap_err();
    assert_eq!(*report.current_context(), Failure::Absent);
}

#[test]
fn needs_a_heartbeat_when_a_lease_is_taken_back() {
    let (view, _symptoms) = View::new();
    let mut progress = Progress::new(Instant::ZERO, join());
    let content = r#"{"groups":{"g1":{"servers":3}}}"#.to_owned();
    let configure =
        wire::log::Configure { change: "c".to_owned(), base: 0, content, patch: String::new() };
    let configure = Command { body: Some(command::Body::Configure(configure)) };
    let commands = [configure, assign(0, false), assign(1, true)];
    for (at, command) in commands.into_iter().enumerate() {
        assert!(!progress.has_reduced_lease(&view));
        let entry = messages::Entry { index: at as u64 + 1, command: Some(command) };
        let entries = Entries { entries: vec![entry] };
        progress.on(&view, Down { body: Some(down::Body::Entries(entries)) }).unwrap();
    }
    assert!(progress.has_reduced_lease(&view));
    assert_eq!(progress.next_heartbeat(Instant::ZERO, &view, &mut Vec::new()).applied, 3);
    assert!(!progress.has_reduced_lease(&view));
}

#[tokio::test]
async fn heartbeats_list_released_groups_until_their_leases_are_gone() {
    let (listener, address) = listen().await;
    let entry = start(vec![address]);
    let (mut reader, _writer, _) = accept(&listener).await;
    next_heartbeat(&mut reader).await;
    entry.view.write(|state| {
        let group = state.groups.entry(Name::new("g1").unwrap()).or_default();
        group.leases.push(wire::log::Lease {
            entry: "e1".to_owned(),
            incarnation: 7,
            shares: Vec::new(),
            returning: true,
        });
    });
    entry.view.release_lease(Name::new("g1").unwrap());
    entry.view.release_lease(Name::new("g2").unwrap());
    assert_eq!(next_heartbeat(&mut reader).await.returned, ["g1"]);
    assert_eq!(next_heartbeat(&mut reader).await.returned, ["g1"]);
    entry.view.write(|state| {
        state.groups.clear();
    });
    assert!(next_heartbeat(&mut reader).await.returned.is_empty());
}

#[test]
fn a_link_on_which_a_long_message_still_comes_is_not_silent() {
    let (view, _symptoms) = View::new();
    let start = Instant::from_millis(1_000);
    let later = |millis| start + Duration::from_millis(millis);
    let mut progress = Progress::new(start, join());
    progress.next_heartbeat(start, &view, &mut Vec::new());
    // the confirmation comes after a long message that arrives over a slow link
    for step in 1..=30 {
        assert!(progress.check(later(step * 100), &view, step as usize * 25_000).is_ok());
    }
    assert!(progress.check(later(3_900), &view, 750_000).is_ok());
    let report = progress.check(later(4_200), &view, 750_000).unwrap_err();
    assert_eq!(*report.current_context(), Failure::Silent);
    // a message that takes too long does not keep the link alive
    let mut progress = Progress::new(start, join());
    progress.next_heartbeat(start, &view, &mut Vec::new());
    let silent =
        (1..=200).find(|step| progress.check(later(step * 100), &view, *step as usize).is_err());
    assert_eq!(silent, Some(101));
}

#[test]
fn the_member_on_this_host_is_dialled_first_and_the_last_one_followed_at_the_end() {
    let address = |last: u8| SocketAddr::from(([10, 0, 0, last], 1));
    let seeds = || vec![address(1), address(2)];
    for _ in 0..20 {
        let first = dialer::order(seeds(), Some(address(9)), None);
        assert_eq!((first[0], first.len()), (address(9), 3));
        let next = dialer::order(seeds(), Some(address(9)), Some(address(9)));
        assert_eq!(next[2], address(9));
        let other = dialer::order(seeds(), None, Some(address(1)));
        assert_eq!(other, [address(2), address(1)]);
    }
}

#[tokio::test]
async fn an_entry_finds_the_one_member_that_answers_without_waiting_for_the_others() {
    // both accept connections and never answer the handshake, as hosts without power
    let (silent, first) = listen().await;
    let (other, second) = listen().await;
    let (listener, third) = listen().await;
    let _entry = start(vec![first, second, third]);
    let (_reader, _writer, follow) = accept(&listener).await;
    assert_eq!(follow.join, Some(join()));
    drop((silent, other));
}

/// Guards against a keeper that works with the reduced form of its own groups, which has no
/// shares, before the update that completes the image has arrived.
#[test]
fn a_partial_image_takes_effect_only_with_the_update_that_completes_it() {
    let (view, _symptoms) = View::new();
    let mut progress = Progress::new(Instant::ZERO, join());
    let state = control::State { index: 8, ..control::State::default() };
    let bytes = bytes::Bytes::from(state.encode_shared());
    let length = bytes.len() as u64;
    let image = Image { index: 8, offset: 0, length, bytes, partial: true };
    progress.on(&view, Down { body: Some(down::Body::Image(image)) }).unwrap();
    assert_eq!(view.read(|state| state.index), 0);
    let update = messages::Update { base: 8, index: 9, ..messages::Update::default() };
    progress.on(&view, Down { body: Some(down::Body::Update(update)) }).unwrap();
    assert_eq!(view.read(|state| state.index), 9);
}

/// Guards against a lease that is extended although the entry lacks commands.
#[test]
fn an_update_beyond_a_gap_is_refused_and_an_old_one_is_ignored() {
    let (view, _symptoms) = View::new();
    let mut progress = Progress::new(Instant::ZERO, join());
    let mut update = |base, index| {
        let update = messages::Update { base, index, ..messages::Update::default() };
        let received = progress.on(&view, Down { body: Some(down::Body::Update(update)) });
        let failure = received.map_err(|report| *report.current_context());
        (failure, view.read(|state| state.index))
    };
    assert_eq!(update(0, 5), (Ok(()), 5));
    assert_eq!(update(7, 9), (Err(Failure::Gap { due: 6, found: 8 }), 5));
    assert_eq!(update(3, 6), (Ok(()), 6));
    assert_eq!(update(0, 4), (Ok(()), 6));
}
