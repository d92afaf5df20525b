//! Encryption of the operators' documents.

use link::Key;
use member::seal::Seal;

const DOCUMENT: &[u8] = br#"{"teams":{"yard":{"keys":["bkf83fgfwrz56aw63is4"]}}}"#;

fn seal(key: &[u8]) -> Seal {
    Seal::new(&Key::new(key).unwrap())
}

/// Guards against keys of teams in the log, in snapshots and in messages.
#[test]
fn a_sealed_document_shows_nothing_and_opens_with_the_same_key() {
    let key = seal(b"the shared key of one system");
    let sealed = key.seal(7, DOCUMENT);
    assert!(!sealed.windows(8).any(|part| DOCUMENT.windows(8).any(|text| text == part)));
    assert_ne!(sealed, key.seal(7, DOCUMENT));
    assert_eq!(key.open(7, &sealed).unwrap(), DOCUMENT);
}

/// Guards against a document of another edition or system, and against damage.
#[test]
fn a_document_opens_for_its_edition_and_system_only() {
    let key = seal(b"the shared key of one system");
    let sealed = key.seal(7, DOCUMENT);
    assert!(key.open(8, &sealed).is_err());
    assert!(seal(b"the shared key of another").open(7, &sealed).is_err());
    for at in 0..sealed.len() {
        let mut damaged = sealed.to_vec();
        damaged[at] ^= 1;
        assert!(key.open(7, &damaged).is_err(), "byte {at}");
        assert!(key.open(7, &sealed[..at]).is_err(), "{at} bytes");
    }
}
