//! Bootstrap of the first membership from seeds, and members that join later.

use std::net::SocketAddr;
use std::time::Duration;

use base::clock::Clock;
use base::name::Name;
use link::{Peer, Purpose};
use member::{Api, Handle, Origin, Seeds, Settings};
use tokio::net::TcpListener;
use tokio::sync::watch;
use wire::control::{Down, Follow, Up, down, up};
use wire::log::{Join, Replace};

/// Time within which a member that can serve no entry says so.
const REFUSAL_LIMIT: Duration = Duration::from_millis(400);

fn key() -> link::Key {
    link::Key::new(b"a key for the tests only").unwrap()
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

struct Member {
    api: Api,
    handle: Handle,
    web: SocketAddr,
}

async fn bind(host: &str, data: &std::path::Path) -> member::Bound {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let bound = member::bind(Settings {
        name: name(host),
        data: data.join(host),
        link: any,
        web: any,
        key: key(),
        log: slog::Logger::root(slog::Discard, slog::o!()),
        clock: Clock::start(),
        seed: 7,
        beacons: false,
        adapter: None,
        without: base::mechanism::Without::default(),
    });
    bound.await.unwrap()
}

fn start(bound: member::Bound, links: &[SocketAddr], founding: bool) -> Member {
    let (_, links) = watch::channel(links.to_vec());
    let (api, web) = (bound.api(), bound.addresses().web);
    let origin = Origin::Seeds(Seeds { links, founding, tolerance: 1 });
    Member { api, handle: bound.start(origin, axum::Router::new()).unwrap(), web }
}

/// Members that a member reports in its status.
async fn member_list(member: &Member) -> Vec<serde_json::Value> {
    let status = reqwest::get(format!("http://{}/v1/status", member.web)).await.unwrap();
    let status: serde_json::Value = status.json().await.unwrap();
    status["members"].as_array().unwrap().clone()
}

/// Sorted names of the voters that a member reports.
async fn voters(member: &Member) -> Vec<String> {
    let members = member_list(member).await;
    let voting = members.iter().filter(|member| member["voter"] == true);
    let mut names: Vec<_> =
        voting.map(|member| member["name"].as_str().unwrap().to_owned()).collect();
    names.sort_unstable();
    names
}

/// Waits until a member reports `count` voters that include `names`.
async fn wait_for_voters(member: &Member, count: usize, names: &[&str]) {
    for _ in 0..400 {
        let voters = voters(member).await;
        if voters.len() == count && names.iter().all(|name| voters.iter().any(|v| v == name)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{names:?} do not vote: {:?}", voters(member).await);
}

/// Starts four members that bootstrap a membership with the first three as seeds.
async fn start_four(data: &std::path::Path) -> (Vec<SocketAddr>, Vec<Member>) {
    let mut bound = Vec::new();
    for host in ["a", "b", "c", "d"] {
        bound.push(bind(host, data).await);
    }
    let seeds: Vec<_> = bound[..3].iter().map(|bound| bound.addresses().link).collect();
    let members = bound.into_iter().map(|bound| start(bound, &seeds, true)).collect();
    (seeds, members)
}

fn edition(number: u64) -> Replace {
    Replace::new(number, "{}", format!("document {number}").as_bytes())
}

/// Replaces the edition, and retries until there is a leader.
async fn replace(api: &Api, number: u64) {
    for _ in 0..200 {
        if api.replace(edition(number)).await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("edition {number} was not accepted");
}

/// Waits until a member confirms that an edition is current.
async fn wait_for_edition(api: &Api, number: u64) {
    for _ in 0..200 {
        if api.edition().await.is_ok_and(|edition| edition.number == number) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("edition {number} is not confirmed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn seeds_bootstrap_a_membership_that_others_join_even_with_an_empty_disk() {
    let data = tempfile::tempdir().unwrap();
    let (seeds, mut members) = start_four(data.path()).await;
    replace(&members[0].api, 3).await;
    for member in &members {
        wait_for_edition(&member.api, 3).await;
    }

    // three of four members vote, so that a partition into halves leaves one half a quorum
    while member_list(&members[0]).await.len() != 4 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for _ in 0..20 {
        assert_eq!(voters(&members[0]).await.len(), 3);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    // a member is lost with its disk, and joins again under its name with a new id
    members.remove(2).handle.kill();
    std::fs::remove_dir_all(data.path().join("c")).unwrap();
    let again = start(bind("c", data.path()).await, &seeds, false);
    wait_for_edition(&again.api, 3).await;
    replace(&again.api, 4).await;
    wait_for_edition(&members[0].api, 4).await;
    wait_for_voters(&members[0], 3, &[]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_learner_becomes_a_voter_once_a_voter_is_lost() {
    let data = tempfile::tempdir().unwrap();
    let (_seeds, mut members) = start_four(data.path()).await;
    replace(&members[0].api, 1).await;
    wait_for_edition(&members[3].api, 1).await;
    // two voters are lost one after the other; without a replacement, the third voter
    // alone could not elect a leader
    members.remove(2).handle.kill();
    wait_for_voters(&members[0], 3, &["a", "b", "d"]).await;
    members.remove(1).handle.kill();
    replace(&members[0].api, 2).await;
    wait_for_edition(&members[1].api, 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_standby_seed_is_not_a_member() {
    let data = tempfile::tempdir().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let standby = listener.local_addr().unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    tokio::spawn(member::standby::serve(listener, name("s"), key(), log));
    let (a, b) = (bind("a", data.path()).await, bind("b", data.path()).await);
    let seeds = [standby, a.addresses().link, b.addresses().link];
    let (a, b) = (start(a, &seeds, true), start(b, &seeds, true));
    replace(&a.api, 1).await;
    wait_for_edition(&b.api, 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_older_edition_changes_nothing_and_an_equal_one_neither() {
    let data = tempfile::tempdir().unwrap();
    let bound = bind("a", data.path()).await;
    let seeds = [bound.addresses().link];
    let member = start(bound, &seeds, true);
    replace(&member.api, 5).await;
    for number in [4, 5] {
        let other = Replace::new(number, "{}", b"other");
        assert_eq!(member.api.replace(other).await.unwrap(), member::Replaced::Passed);
    }
    let held = member.api.edition().await.unwrap();
    assert_eq!((held.number, &*held.document().unwrap()), (5, b"document 5".as_slice()));
}

/// Guards against keys of teams in the files of a member: the document is stored as sent, but
/// encrypted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_data_folder_holds_no_document_in_plain() {
    let data = tempfile::tempdir().unwrap();
    let bound = bind("a", data.path()).await;
    let seeds = [bound.addresses().link];
    let member = start(bound, &seeds, true);
    replace(&member.api, 3).await;
    let held = member.api.edition().await.unwrap();
    assert_eq!(&*held.document().unwrap(), b"document 3".as_slice());
    member.handle.stop().await;
    let packed = edition(3).document;
    let mut folders = vec![data.path().to_owned()];
    let mut files = 0;
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let bytes = std::fs::read(&path).unwrap();
            let found = bytes.windows(packed.len()).any(|part| *part == *packed);
            assert!(!found, "{} holds the document", path.display());
            files += 1;
        }
    }
    assert!(files > 0);
}

/// A host that lost its disk comes back with all others: entries that dial it would wait for a
/// lease that it can't confirm.
#[tokio::test]
async fn a_member_without_a_membership_refuses_entries_at_once() {
    let data = tempfile::tempdir().unwrap();
    let bound = bind("a", data.path()).await;
    let address = bound.addresses().link;
    let member = start(bound, &[], false);
    let peer = Peer::new("entry", 1, Purpose::Control);
    let (_, mut reader, mut writer) = link::dial(address, &peer, &key()).await.unwrap();
    let join = Join { entry: "entry".to_owned(), incarnation: 1, ..Join::default() };
    let follow = Follow { join: Some(join), ..Follow::default() };
    writer.send(&Up { body: Some(up::Body::Follow(follow)) }).await.unwrap();
    let first = tokio::time::timeout(REFUSAL_LIMIT, reader.next::<Down>()).await;
    let first = first.expect("long before the member gives up on a leader");
    assert!(matches!(first, Ok(Some(Down { body: Some(down::Body::Refuse(_)) }))), "{first:?}");
    member.handle.stop().await;
}
