//! Round trips of random declarations through canonical text and TOML.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use base::name::Name;
use config::model::Measure;
use config::{
    Class, Declarations, Group, Kind, Labels, Limits, Objective, Selector, Service, diff,
};

/// Number of seeds to run.
const SEEDS: u64 = 300;

/// Number of random bytes for each seed; `arbtest` takes it from the low 32 bits of its
/// seed.
const BYTES: u64 = 4 << 10;

fn name(u: &mut Unstructured<'_>) -> Result<Name> {
    Ok(Name::new(&format!("n{}", u.int_in_range(0..=7u8)?)).unwrap())
}

fn share(u: &mut Unstructured<'_>) -> Result<f64> {
    Ok(f64::from(u.int_in_range(0..=10_000u32)?) / 10_000.0)
}

fn labels(u: &mut Unstructured<'_>) -> Result<Labels> {
    (0..u.int_in_range(0..=3u8)?).map(|_| Ok((name(u)?, name(u)?))).collect()
}

fn service(u: &mut Unstructured<'_>) -> Result<Service> {
    let limits = Limits {
        queue: u.int_in_range(1..=5_000)?,
        deadline_ms: u.int_in_range(1..=60_000)?,
        retry_share: share(u)?,
        idle_transaction_ms: u.int_in_range(1..=60_000)?,
    };
    let objective = Objective { measure: Measure::Latency, target: share(u)?, within_ms: 5 };
    let objectives = if u.ratio(1, 2)? { vec![objective] } else { Vec::new() };
    Ok(Service { labels: labels(u)?, weight: u.int_in_range(1..=9)?, limits, objectives })
}

fn kind(u: &mut Unstructured<'_>) -> Result<Kind> {
    let class = *u.choose(&[Class::Write, Class::Idempotent, Class::Read])?;
    let read = u64::from(class == Class::Read);
    Ok(Kind {
        class,
        age_ms: read * u.int_in_range(0..=9_000)?,
        patience_ms: read * u.int_in_range(0..=900)?,
        statements: vec!["select \"x\" from 'y'".to_owned()],
    })
}

fn declarations(u: &mut Unstructured<'_>) -> Result<Declarations> {
    let mut all = Declarations::default();
    for _ in 0..u.int_in_range(0..=5u8)? {
        let group =
            Group { servers: u.int_in_range(1..=15)?, elects: u.ratio(1, 2)?, ..Group::default() };
        all.groups.insert(name(u)?, group);
        all.services.insert(name(u)?, service(u)?);
        let groups = all.groups.keys().take(2).cloned().collect();
        let kinds = [(name(u)?, kind(u)?)].into_iter().collect();
        let selector = Selector { services: labels(u)?, groups, backends: labels(u)?, kinds };
        all.selectors.insert(name(u)?, selector);
    }
    Ok(all)
}

#[test]
fn round_trips_as_text_and_as_toml() {
    for seed in 1..=SEEDS {
        let run = |u: &mut Unstructured<'_>| {
            let all = declarations(u)?;
            let text = all.canonical();
            let read = Declarations::parse(&text).expect("the generated declarations are valid");
            assert_eq!(read, all);
            assert_eq!(read.canonical(), text);
            let toml = toml::to_string(&all).unwrap();
            assert_eq!(toml::from_str::<Declarations>(&toml).unwrap(), all);
            let other = declarations(u)?;
            assert_eq!(diff(&all, &other).is_empty(), all == other);
            Ok(())
        };
        arbtest(run).seed((seed << 32) | BYTES).run();
    }
}
