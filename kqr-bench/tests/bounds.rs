//! The bounds can fail, runs are repeatable, and the checked-in bounds name what exists.

use kqr_bench::{Bound, Bounds, SYSTEM, Scenario, check, compare};

fn bound(at_most: f64) -> Bound {
    Bound {
        name: "test".to_owned(),
        scenario: "smoke".to_owned(),
        load: 0.5,
        measure: "mean_ms".to_owned(),
        over_policy: None,
        over_scenario: None,
        over_load: None,
        at_most: Some(at_most),
        at_least: None,
    }
}

#[test]
fn a_run_with_the_same_seed_gives_the_same_figures() {
    let scenario = Scenario::find("smoke").unwrap();
    let first = compare(&scenario, 0.5, 7);
    let second = compare(&scenario, 0.5, 7);
    let other = compare(&scenario, 0.5, 8);
    assert_eq!(first[SYSTEM], second[SYSTEM]);
    assert_ne!(first[SYSTEM], other[SYSTEM]);
}

#[test]
fn an_exceeded_bound_is_told_from_one_that_holds() {
    let bounds = Bounds {
        seeds: vec![1, 2],
        bounds: vec![bound(1.0), bound(1e6)],
    };
    let verdicts = check(&bounds).unwrap();
    let holds: Vec<bool> = verdicts.iter().map(kqr_bench::Verdict::holds).collect();
    assert_eq!(holds, [false, true]);
    assert!(!bound(1e6).holds(f64::NAN));
}

#[test]
fn a_bound_on_something_unknown_is_an_error() {
    for broken in [
        Bound {
            scenario: "unknown".to_owned(),
            ..bound(1.0)
        },
        Bound {
            measure: "unknown".to_owned(),
            ..bound(1.0)
        },
        Bound {
            over_policy: Some("unknown".to_owned()),
            ..bound(1.0)
        },
    ] {
        let bounds = Bounds {
            seeds: vec![1],
            bounds: vec![broken.clone()],
        };
        assert!(check(&bounds).is_err(), "{broken:?}");
    }
}

#[test]
fn the_checked_in_bounds_name_scenarios_and_limits() {
    let text = include_str!("../bounds.yaml");
    let bounds: Bounds = serde_saphyr::from_str(text).unwrap();
    assert!(bounds.seeds.len() >= 5);
    for bound in &bounds.bounds {
        Scenario::find(&bound.scenario).unwrap();
        assert!(bound.at_most.is_some() != bound.at_least.is_some(), "{bound}");
    }
}
