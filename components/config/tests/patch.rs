//! Patches that turn one configuration into another.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use base::name::Name;
use config::patch::Patch;
use config::{Declarations, Group, Labels, Selector, Violation};

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn arbitrary(u: &mut Unstructured<'_>) -> Result<Declarations> {
    let mut declarations = Declarations::default();
    for index in 0..4 {
        if u.arbitrary()? {
            let group = Group {
                servers: u.int_in_range(1..=3)?,
                elects: u.arbitrary()?,
                ..Group::default()
            };
            declarations.groups.insert(name(&format!("group-{index}")), group);
        }
    }
    for index in 0..4 {
        if u.arbitrary()? {
            let groups = declarations.groups.keys().take(u.int_in_range(0..=2)?).cloned().collect();
            let (services, backends) = (Labels::new(), Labels::new());
            let kinds = std::collections::BTreeMap::new();
            let selector = Selector { services, groups, backends, kinds };
            declarations.selectors.insert(name(&format!("selector-{index}")), selector);
        }
    }
    Ok(declarations)
}

#[test]
fn turns_one_configuration_into_another() {
    arbtest(|u| {
        let (from, to) = (arbitrary(u)?, arbitrary(u)?);
        let patch = Patch::between(&from, &to);
        let carried = Patch::parse(&patch.text()).expect("the text of a patch can be parsed");
        assert_eq!(carried.apply(&from), Ok(to));
        Ok(())
    })
    .seed(0x7ef0_0000_0400)
    .run();
}

#[test]
fn carries_only_what_changed() {
    let group = |servers| Group { servers, elects: false, ..Group::default() };
    let mut from = Declarations::default();
    from.groups.extend((0..100).map(|index| (name(&format!("group-{index}")), group(3))));
    let mut to = from.clone();
    to.groups.insert(name("group-7"), group(5));
    to.groups.remove("group-8");
    let text = Patch::between(&from, &to).text();
    let expected =
        r#"{"groups":{"set":{"group-7":{"servers":5,"elects":false}},"remove":["group-8"]}}"#;
    assert_eq!(text, expected);
}

#[test]
fn errors_on_an_invalid_result() {
    let patch = r#"{"selectors":{"set":{"s":{"groups":["unknown"]}}}}"#;
    let patch = Patch::parse(patch).expect("the text is a valid patch");
    let violations = patch.apply(&Declarations::default()).expect_err("the group is not declared");
    assert!(
        matches!(violations.as_slice(), [Violation::Value { path, .. }] if path[0] == "selectors")
    );
}

/// Guards against a table of the declarations that an edit leaves out.
#[test]
fn an_edit_turns_any_configuration_into_another_in_all_tables() {
    let database = |group: &Name, age_ms| config::Database {
        group: group.clone(),
        age_ms,
        priority: 0,
        objective_ms: 100,
        limits: config::Limits::default(),
        public: false,
    };
    let extended = |u: &mut Unstructured<'_>| -> Result<Declarations> {
        let mut declarations = arbitrary(u)?;
        for (at, group) in declarations.groups.keys().enumerate() {
            if u.arbitrary()? {
                let database = database(group, u.int_in_range(0..=2)?);
                declarations.databases.insert(name(&format!("database-{at}")), database);
            }
        }
        if u.arbitrary()? {
            let teams = u.int_in_range(0..=3)?;
            let team = |at| (name(&format!("team-{at}")), config::Team::default());
            declarations.teams = Some((0..teams).map(team).collect());
        }
        Ok(declarations)
    };
    arbtest(|u| {
        let (from, to) = (extended(u)?, extended(u)?);
        let edit = config::Edit::between(&from, &to);
        let carried = config::Edit::parse(&edit.text()).expect("the text of an edit is valid");
        let mut edited = from;
        carried.apply(&mut edited);
        assert_eq!(edited, to);
        Ok(())
    })
    .seed(0x7ef0_0000_0400)
    .run();
}
