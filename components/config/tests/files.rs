//! Reading of valid and invalid directories of declarations.

use std::path::{Path, PathBuf};

use config::{Allowed, Class, Declarations, Problem, Violation, diff, files};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

/// Reads a directory with these files, which must fail, and returns the file name,
/// line, key and problem of each diagnostic.
fn problems(given: &[(&str, &str)]) -> Vec<(String, usize, String, Problem)> {
    let directory = tempfile::tempdir().unwrap();
    for (name, text) in given {
        std::fs::write(directory.path().join(name), text).unwrap();
    }
    let problems = files::read(directory.path()).unwrap_err().0;
    let plain = |diagnostic: config::Diagnostic| {
        let file = diagnostic.file.file_name().unwrap().to_string_lossy().into_owned();
        (file, diagnostic.line, diagnostic.key, diagnostic.problem)
    };
    problems.into_iter().map(plain).collect()
}

#[test]
fn reads_the_examples_and_their_canonical_text() {
    for name in ["lakeshore", "egbolt"] {
        let declarations = files::read(&example(name)).unwrap();
        assert_eq!(declarations.groups.len(), 3);
        assert_eq!(declarations.services.len(), 4);
        let text = declarations.canonical();
        assert_eq!(Declarations::parse(&text), Ok(declarations));
    }
}

#[test]
fn matches_kinds_by_tag_and_by_statement() {
    let lakeshore = files::read(&example("lakeshore")).unwrap();
    let rule = lakeshore.rule("ring-steward", "entries-1", Some("ring-list"), "SELECT 1");
    assert_eq!((rule.class, rule.patience.as_millis()), (Class::Read, 250));
    let rule = lakeshore.rule("club-leader", "entries-2", None, "UPDATE entry  SET arrived = true");
    assert_eq!(rule.class, Class::Idempotent);
    assert!(!lakeshore.can_access_group("payments", "tours-1"));
    let egbolt = files::read(&example("egbolt")).unwrap();
    let rule = egbolt.rule("reseller", "tours-3", Some("seat-map"), "SELECT 1");
    assert_eq!((rule.class, rule.age.as_millis()), (Class::Read, 5_000));
}

#[test]
fn names_the_file_line_and_key_of_an_unknown_key() {
    let found = problems(&[("a.toml", "[groups.g]\nservers = 3\n\n[services.s]\nwieght = 2\n")]);
    let (file, line, key, problem) = &found[0];
    assert_eq!((file.as_str(), *line, key.as_str()), ("a.toml", 5, "services.s.wieght"));
    let Problem::Malformed { text } = problem else { panic!("{problem:?}") };
    assert!(text.contains("unknown field `wieght`") && text.contains("`weight`"), "{text}");
}

#[test]
fn names_what_is_allowed_for_a_value() {
    let text = "[services.s]\nweight = 0\nobjectives = [\n  { measure = \"answered\", target = 1.5 },\n]\n";
    let found = problems(&[("a.toml", "[groups.g]\nservers = 0\n"), ("b.toml", text)]);
    let violation = |allowed, path: &str| {
        let path = path.split('.').map(str::to_owned).collect();
        Problem::Violation(Violation::Value { path, allowed })
    };
    let expected = [
        ("a.toml", 2, "groups.g.servers", Allowed::Servers),
        ("b.toml", 2, "services.s.weight", Allowed::Positive),
        ("b.toml", 4, "services.s.objectives.0.target", Allowed::Share),
    ];
    let expected = expected.map(|(file, line, key, allowed)| {
        (file.to_owned(), line, key.to_owned(), violation(allowed, key))
    });
    assert_eq!(found, expected);
}

#[test]
fn errors_on_a_group_that_is_not_declared() {
    let text = "[selectors.x]\ngroups = [\"nowhere\"]\n";
    let found = problems(&[("a.toml", text)]);
    assert_eq!((found[0].1, found[0].2.as_str()), (2, "selectors.x.groups"));
}

#[test]
fn errors_on_a_name_in_two_files() {
    let group = "[groups.g]\nservers = 3\n";
    let found = problems(&[("a.toml", group), ("b.toml", group)]);
    assert_eq!((found[0].0.as_str(), found[0].2.as_str()), ("b.toml", "groups.g"));
    let Problem::Duplicate { other } = &found[0].3 else { panic!("{found:?}") };
    assert!(other.ends_with("a.toml"));
}

#[test]
fn errors_on_malformed_toml_and_on_an_empty_directory() {
    let found = problems(&[("a.toml", "[groups.g]\nservers = \n")]);
    assert_eq!(found[0].1, 2);
    assert_eq!(problems(&[])[0].3, Problem::Empty);
}

#[test]
fn lists_the_differences() {
    let old = Declarations::parse(r#"{"groups":{"a":{"servers":3},"b":{"servers":3}}}"#).unwrap();
    let new = Declarations::parse(r#"{"groups":{"a":{"servers":5},"c":{"servers":1}}}"#).unwrap();
    let changes: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    let expected = [
        "~ groups.a.servers = 3 -> 5",
        r#"- groups.b = {"elects":false,"servers":3}"#,
        r#"+ groups.c = {"elects":false,"servers":1}"#,
    ];
    assert_eq!(changes, expected);
    assert!(diff(&old, &old).is_empty());
}
