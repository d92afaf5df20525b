//! Short soak with a fixed seed.

use std::path::Path;
use std::process::Command;

#[test]
fn keeps_every_promise_for_a_fixed_seed() {
    let program = Path::new(env!("CARGO_BIN_EXE_trefoil-soak"));
    let folder = program.parent().unwrap();
    for needed in ["trefoil-control", "trefoil-entry"] {
        assert!(folder.join(needed).exists(), "{needed} is not built: test the whole workspace");
    }
    let mut command = Command::new(program);
    command.args(["--seed", "1", "--seeds", "1", "--seconds", "6", "--callers", "24"]);
    let output = command.output().unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{stdout}");
    assert_eq!(stdout.matches(": kept,").count(), 1, "{stdout}");
}
