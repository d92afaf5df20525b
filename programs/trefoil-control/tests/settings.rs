//! Settings, signals and data folder of the program.

use std::process::{Command, Output, Stdio};
use std::time::Duration;

const VALID_SETTINGS: [(&str, &str); 6] = [
    ("--name", "a"),
    ("--data", "data"),
    ("--link", "127.0.0.1:0"),
    ("--web", "127.0.0.1:0"),
    ("--key", "a key for the tests only"),
    ("--peers", "a=127.0.0.1:1/127.0.0.1:2"),
];

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_trefoil-control"))
}

fn run_with(flag: &str, value: &str) -> Output {
    let settings =
        VALID_SETTINGS.map(|(known, valid)| (known, if known == flag { value } else { valid }));
    let mut command = program();
    command.arg("run");
    for (flag, value) in settings {
        command.args([flag, value]);
    }
    if VALID_SETTINGS.iter().all(|(known, _)| *known != flag) {
        command.args([flag, value]);
    }
    command.output().expect("the program starts")
}

#[test]
fn names_the_setting_that_is_wrong() {
    let wrong = [
        ("--name", "no name"),
        ("--link", "localhost:1"),
        ("--web", "1.2.3.4"),
        ("--peers", "a=127.0.0.1:1"),
        ("--peers", "b=127.0.0.1:1/127.0.0.1:2"),
        ("--log-level", "loud"),
        ("--log-format", "xml"),
    ];
    for (flag, value) in wrong {
        let output = run_with(flag, value);
        let shown = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{flag} {value}: {shown}");
        assert!(shown.contains(flag) && shown.contains(value), "{shown}");
        assert!(shown.contains("is not allowed, expected"), "{shown}");
    }
}

#[test]
fn does_not_show_a_key() {
    let output = run_with("--key", "short");
    let shown = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{shown}");
    assert!(shown.contains("--key") && !shown.contains("short"), "{shown}");
}

#[test]
fn shows_help_and_version() {
    for flag in ["--help", "--version"] {
        let output = program().arg(flag).output().expect("the program starts");
        assert_eq!(output.status.code(), Some(0), "{flag}");
        assert!(!output.stdout.is_empty(), "{flag}");
    }
}

#[test]
fn ends_well_at_sigterm() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut command = program();
    command.arg("run");
    for (flag, value) in VALID_SETTINGS.iter().filter(|(flag, _)| *flag != "--data") {
        command.args([flag, value]);
    }
    command.arg("--data").arg(folder.path().join("data")).stderr(Stdio::null());
    let mut child = command.spawn().expect("the program starts");
    while !folder.path().join("data").join("identity").exists() {
        std::thread::sleep(Duration::from_millis(10));
    }
    // The signal handlers are installed before the folder is created.
    let killed = Command::new("kill").arg(child.id().to_string()).status().expect("kill starts");
    assert!(killed.success());
    assert_eq!(child.wait().expect("the program ends").code(), Some(0));
    let inspected = program().arg("inspect").arg("--data").arg(folder.path().join("data")).output();
    let shown = inspected.expect("the program starts").stdout;
    assert!(String::from_utf8_lossy(&shown).contains("\"term\""));
}
