//! What requests of each priority and team get under load, compared with service in the
//! order of arrival and with a keeper that refuses nothing.

use base::prelude::*;
use keeper::Flaw;

use crate::load::{KINDS, Kind, Load, SLOTS, Tally};

const SECOND: Duration = Duration::from_secs(1);

/// Time after which a load counts as steady.
const SETTLING: Duration = Duration::from_secs(2);

/// Time for which a load is measured.
const MEASURED: Duration = Duration::from_secs(10);

/// Factor of the rate of one kind in a burst.
const BURST: f64 = 2.5;

/// Factor of the rate of one team.
const HOT: f64 = 7.5;

/// Number of teams, and exponent of the skew of their traffic.
const TEAMS: (usize, f64) = (84, 1.2);

fn steady(kinds: &[Kind], teams: &[f64], factor: f64, flaw: Option<Flaw>) -> Load {
    let mut load = Load::new(kinds, teams, flaw, 1);
    load.run(SETTLING, factor);
    load.reset();
    load.run(MEASURED, factor);
    load
}

fn with_rate(priority: u32, factor: f64) -> Vec<Kind> {
    let changed = |kind: &Kind| {
        let factor = if kind.priority == priority { factor } else { 1.0 };
        Kind { rate: kind.rate * factor, ..*kind }
    };
    KINDS.iter().map(changed).collect()
}

fn skewed() -> Vec<f64> {
    (1..=TEAMS.0).map(|rank| (rank as f64).powf(-TEAMS.1)).collect()
}

/// Part of all slot time that answers in time to one kind took.
fn part(tally: &Tally) -> f64 {
    tally.useful.as_secs_f64() / (MEASURED.as_secs_f64() * f64::from(3 * SLOTS))
}

fn goodput(factor: f64, flaw: Option<Flaw>) -> f64 {
    steady(&KINDS, &[], factor, flaw).goodput(MEASURED)
}

#[test]
fn a_load_of_2x_and_5x_keeps_the_goodput_of_the_peak() {
    let peak = [1.0, 1.2, 1.4].map(|factor| goodput(factor, None)).into_iter().fold(0.0, f64::max);
    for factor in [2.0, 5.0] {
        let kept = goodput(factor, None) / peak;
        assert!(kept >= 0.95, "{kept} of the peak at {factor}");
        let without = goodput(factor, Some(Flaw::AdmitAll)) / peak;
        assert!(without < 0.95, "{without} of the peak at {factor} without admission");
    }
}

#[test]
fn a_load_of_2x_and_5x_is_refused_early_and_not_after_a_wait() {
    for factor in [2.0, 5.0] {
        let load = steady(&KINDS, &[], factor, None);
        for (service, tally) in &load.by_kind {
            let late = f64::from(tally.late_refusals + tally.late) / f64::from(tally.sent);
            assert!(late < 0.02, "{late} of the {service} at {factor}: {tally:?}");
        }
    }
}

#[test]
fn a_burst_of_a_low_class_delays_no_higher_class() {
    let run = |flaw| steady(&with_rate(2, 2.0 * BURST), &[], 1.0, flaw);
    for service in ["bookings", "reservations"] {
        let found = run(None).kind(service);
        assert!(found.share() > 0.99, "{service}: {}", found.share());
        let by_arrival = run(Some(Flaw::ArrivalOrder)).kind(service);
        assert!(by_arrival.share() < 0.99, "{service} by arrival: {}", by_arrival.share());
    }
}

#[test]
fn a_burst_of_the_highest_class_is_served_in_time_while_it_fits() {
    let run = |flaw| steady(&with_rate(0, BURST), &[], 1.0, flaw).kind("bookings");
    let found = run(None);
    assert!(found.share() > 0.99, "{}", found.share());
    assert!(found.p99() <= 150, "{} ms", found.p99());
    let by_arrival = run(Some(Flaw::ArrivalOrder));
    assert!(by_arrival.share() < 0.99, "by arrival: {}", by_arrival.share());
}

#[test]
fn a_burst_of_the_highest_class_beyond_all_slots_starves_no_lower_class() {
    let run = |flaw| steady(&with_rate(0, 8.0), &[], 1.0, flaw);
    let found = run(None);
    for service in ["reservations", "lookups"] {
        let share = part(&found.kind(service));
        assert!(share > 0.02, "{service}: {share}");
    }
    assert!(found.kind("bookings").p99() <= 150);
    let broken = run(Some(Flaw::NoMinimumShare));
    let least = ["reservations", "lookups"].map(|service| part(&broken.kind(service)));
    assert!(least.into_iter().any(|share| share < 0.01), "without a share: {least:?}");
}

#[test]
fn a_kind_that_was_slow_is_admitted_again_although_others_take_all_slots() {
    let run = |flaw| {
        let mut kinds = with_rate(0, 6.0);
        let usual = kinds[2].run;
        kinds[2].run = kinds[2].objective * 2;
        let mut load = Load::new(&kinds, &[], flaw, 1);
        // alone, so that its run time is known
        load.kinds[0].rate = 0.0;
        load.run(SETTLING * 2, 1.0);
        load.kinds[0].rate = kinds[0].rate;
        load.kinds[2].run = usual;
        load.run(SECOND * 6, 1.0);
        load.reset();
        load.run(MEASURED, 1.0);
        part(&load.kind("lookups"))
    };
    let found = run(None);
    assert!(found > 0.02, "{found}");
    let broken = run(Some(Flaw::NoProbes));
    assert!(broken < 0.01, "without probes: {broken}");
}

/// What each team got in time, as a share of what it would get if the slots were divided
/// evenly among the teams as far as they ask for them.
fn shares_of_fair(load: &Load) -> Vec<f64> {
    let wanted: Vec<f64> = load.by_team.iter().map(|tally| tally.wanted.as_secs_f64()).collect();
    let got: Vec<f64> = load.by_team.iter().map(|tally| tally.useful.as_secs_f64()).collect();
    let total: f64 = got.iter().sum();
    let (mut low, mut high) = (0.0, total);
    for _ in 0..60 {
        let level = f64::midpoint(low, high);
        let given: f64 = wanted.iter().map(|wanted| wanted.min(level)).sum();
        if given < total { low = level } else { high = level }
    }
    got.iter().zip(&wanted).map(|(got, wanted)| got / wanted.min(low)).collect()
}

/// Index of fairness by Jain: one if all values are equal.
fn fairness(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    sum * sum / (values.len() as f64 * squares)
}

#[test]
fn one_hot_team_delays_no_other_team() {
    let mut teams = skewed();
    teams[1] *= HOT;
    let all: f64 = teams.iter().sum();
    let usual: f64 = skewed().iter().sum();
    let kinds = [KINDS[1]].map(|kind| Kind { rate: 640.0 * all / usual, ..kind });
    let others = |load: &Load| {
        let others = load.by_team.iter().enumerate().filter(|(team, _)| *team != 1);
        let (sent, in_time) = others.fold((0, 0), |(sent, in_time), (_, tally)| {
            (sent + tally.sent, in_time + tally.in_time)
        });
        f64::from(in_time) / f64::from(sent)
    };
    let found = steady(&kinds, &teams, 1.0, None);
    assert!(others(&found) > 0.99, "{}", others(&found));
    let fair = fairness(&shares_of_fair(&found));
    assert!(fair >= 0.95, "fairness {fair}: {:?}", shares_of_fair(&found));
    let broken = steady(&kinds, &teams, 1.0, Some(Flaw::ArrivalOrder));
    assert!(others(&broken) < 0.99, "by arrival: {}", others(&broken));
}

#[test]
fn callers_that_leave_take_their_waiting_requests_with_them() {
    let run = |flaw| {
        let mut load = Load::new(&KINDS, &[], flaw, 1);
        load.leave_after = Some(0.5);
        load.run(MEASURED, 2.0);
        (load.wasted, load.goodput(MEASURED))
    };
    let (wasted, goodput) = run(None);
    assert_eq!(wasted, 0, "requests ran after their callers had left");
    // most callers that are admitted are answered before they leave
    assert!(goodput > 0.95, "{goodput}");
    let (ran, _) = run(Some(Flaw::KeepLeft));
    assert!(ran > 0, "no request ran although its caller had left");
}

#[test]
fn a_load_of_2_5x_for_5_s_leaves_no_queue_a_second_later() {
    let run = |flaw| {
        let mut load = Load::new(&KINDS, &[], flaw, 1);
        load.run(SETTLING, 0.8);
        load.run(SECOND * 5, BURST);
        load.run(SECOND, 0.8);
        load.waiting()
    };
    let (waiting, oldest) = run(None);
    assert!(waiting <= 3 && oldest <= Duration::from_millis(20), "{waiting}, {oldest:?}");
    let (waiting, _) = run(Some(Flaw::AdmitAll));
    assert!(waiting > 3, "{waiting} without admission");
}

#[test]
fn refused_callers_come_back_at_different_times() {
    let by = |factor, flaw| {
        let mut times = steady(&KINDS, &[], factor, flaw).kind("lookups").retry_after;
        times.sort_unstable();
        times
    };
    let spread =
        |times: &[u64]| times[times.len() * 9 / 10] as f64 / times[times.len() / 10] as f64;
    let times = |factor| by(factor, None);
    let (short, long) = (times(1.5), times(5.0));
    assert!(short[0] >= 50 && long[0] >= 50, "{} {}", short[0], long[0]);
    assert!(spread(&short) >= 1.5 && spread(&long) >= 1.5, "{} {}", spread(&short), spread(&long));
    let fixed = by(1.5, Some(Flaw::FixedReturn));
    assert!(spread(&fixed) < 1.5, "{}", spread(&fixed));
}
