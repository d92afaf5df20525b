//! Tests of the classification of SQL text.

use pg::Scan;
use pg::scan::{Feature, Statement, Verb, strip_leading_comments};
use pg::setting::Local;

fn local(text: &str) -> Option<Local> {
    match Scan::new(text).statements.as_slice() {
        [Statement::Local(local)] => Some(local.clone()),
        _ => None,
    }
}

fn refused(text: &str) -> Option<Feature> {
    Scan::new(text).refusal(false)
}

#[test]
fn can_count_statements_past_quotes_and_comments() {
    let count = |text: &str| Scan::new(text).statements.len();
    assert_eq!(count(""), 0);
    assert_eq!(count(" ; -- nothing; here\n ;"), 0);
    assert_eq!(count("select ';'; select $x$ ; $x$ /* ; /* ; */ ; */"), 2);
    assert_eq!(count(r"select 'a\'; select 2"), 2);
    assert_eq!(count(r"select e'a\'; select 2'"), 1);
}

#[test]
fn can_read_the_tag_of_a_kind() {
    let tag = |text: &str| Scan::new(text).tag;
    assert_eq!(tag("select 1 /*kind='seat-map'*/"), Some("seat-map".to_owned()));
    assert_eq!(tag("/*db='x',kind='seat%2Dmap'*/ select 1"), Some("seat-map".to_owned()));
    assert_eq!(tag("select '/*kind=''seat-map''*/'"), None);
    assert_eq!(tag("select 1 /*kind='%zz'*/"), None);
    assert_eq!(strip_leading_comments(" /* a */ -- b\n select 1"), "select 1");
}

#[test]
fn can_find_statements_that_commit() {
    for text in ["commit", "END", "call pay()", "do $$ begin end $$", "update t set x = 1; commit"]
    {
        assert!(Scan::new(text).commits(), "{text}");
    }
    for text in ["begin", "rollback", "select 'commit'", "insert into commits values (1)"] {
        assert!(!Scan::new(text).commits(), "{text}");
    }
    assert!(Scan::new("ROLLBACK").ends());
    assert!(!Scan::new("ROLLBACK TO SAVEPOINT a").ends());
    let to = Scan::new("rollback work to a");
    assert_eq!(to.statements.as_slice(), [Statement::Remote(Verb::RollbackTo)]);
}

#[test]
fn refuses_unsupported_features() {
    let cases = [
        ("LISTEN x", Feature::Listen),
        ("unlisten *", Feature::Listen),
        ("prepare a as select 1", Feature::Prepare),
        ("execute a", Feature::Prepare),
        ("deallocate a", Feature::Prepare),
        ("prepare transaction 'x'", Feature::TwoPhase),
        ("commit prepared 'x'", Feature::TwoPhase),
        ("declare c cursor with hold for select 1", Feature::Hold),
        ("load 'x'", Feature::Load),
        ("discard plans", Feature::Discard),
        ("copy t from stdin", Feature::Copy),
        ("create temp table t (x int)", Feature::Temporary),
        ("create local temporary table t (x int)", Feature::Temporary),
        ("select 1 into temp t", Feature::Temporary),
        ("insert into pg_temp.t values (1)", Feature::Temporary),
        ("select pg_advisory_lock(1)", Feature::AdvisoryLock),
        ("select 1 where pg_try_advisory_lock_shared(1)", Feature::AdvisoryLock),
        ("select pg_catalog.set_config('a', f(true), false)", Feature::Setting),
        ("select currval('s')", Feature::SequenceState),
        ("set role admin", Feature::Setting),
        ("set session authorization x", Feature::Setting),
        ("set search_path to other", Feature::Setting),
        ("set timezone to 'Europe/Budapest'", Feature::Setting),
        ("select 1; show trefoil.session", Feature::Mixed),
        ("select 'open", Feature::Unreadable),
    ];
    for (text, feature) in cases {
        assert_eq!(refused(text), Some(feature), "{text}");
    }
}

#[test]
fn accepts_effects_that_end_with_the_transaction() {
    for text in [
        "set local lock_timeout = 5",
        "set transaction isolation level serializable",
        "select pg_advisory_xact_lock(1)",
        "select set_config('a', f(1), true)",
        "create table temp (x int)",
        "insert into temp values (1)",
        "declare c cursor without hold for select 1",
        "begin; select currval('s'); commit",
        "notify x",
    ] {
        assert_eq!(refused(text), None, "{text}");
    }
    assert_eq!(Scan::new("select lastval()").refusal(true), None);
}

#[test]
fn answers_settings_with_their_fixed_value() {
    for text in [
        "SET extra_float_digits = 3",
        "set client_encoding to 'UTF8'",
        "set names 'utf-8'",
        "set session datestyle to ISO, MDY",
        "SET TIME ZONE 'UTC'",
        "set standard_conforming_strings = on",
        "set search_path to default",
        "set search_path = \"$user\", public",
    ] {
        assert_eq!(local(text), Some(Local::Set), "{text}");
    }
    assert_eq!(local("reset all"), Some(Local::Reset));
    assert_eq!(local("discard all"), Some(Local::DiscardAll));
    assert_eq!(local("deallocate prepare all"), Some(Local::DeallocateAll));
    assert_eq!(local("show TimeZone;"), Some(Local::Show { name: "TimeZone", value: "UTC" }));
    let token = Local::SetSession("a-b_c".to_owned());
    assert_eq!(local("set trefoil.session = 'a-b_c'"), Some(token));
    assert_eq!(local("show trefoil.session"), Some(Local::ShowSession));
    assert_eq!(local("reset trefoil.session"), Some(Local::ResetSession));
}
