//! Validation of the program's settings.

use std::process::{Command, Output};

const VALID_SETTINGS: [(&str, &str); 7] = [
    ("--name", "e1"),
    ("--zone", "lansing"),
    ("--callers", "127.0.0.1:0"),
    ("--link", "127.0.0.1:0"),
    ("--web", "127.0.0.1:0"),
    ("--controls", "127.0.0.1:1"),
    ("--key", "a key for the tests only"),
];

fn run_with(flag: &str, value: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_trefoil-entry"));
    command.arg("run");
    for (known, valid) in VALID_SETTINGS {
        command.args([known, if known == flag { value } else { valid }]);
    }
    command.output().expect("the program starts")
}

#[test]
fn names_the_setting_that_is_wrong() {
    let wrong = [
        ("--name", "no name"),
        ("--zone", ""),
        ("--callers", "localhost:1"),
        ("--link", "1.2.3.4"),
        ("--web", "here"),
        ("--controls", "127.0.0.1:1,"),
        ("--key", "short"),
    ];
    for (flag, value) in wrong {
        let output = run_with(flag, value);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{flag} {value}");
        assert!(stderr.contains(flag.trim_start_matches('-')), "{flag} {value}: {stderr}");
        assert!(flag != "--key" || !stderr.contains(value), "the key is shown: {stderr}");
    }
}
