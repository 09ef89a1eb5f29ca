//! Tests of the settings tree: YAML, validation and its messages, inheritance, and renamed targets.

mod common;

use std::time::Duration;

use common::path;
use kqr_settings::{
    Problems, ResolvedSettings, TargetNames, Tree, from_yaml,
    schema::{Level, Location, Node, settings_at},
    to_yaml, validate, validate_changed,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const VALID_YAML: &str = "\
deadlines:
  default: 20s
limits: { queued: 500 }
services:
  pressverk:
    retry: { attempts: 2 }
    targets:
      worker-7: { names: [nordic-7, aurora-7] }
teams:
  press: { quota: 200/s, burst: 400 }
regions:
  svealand:
    deadlines: { default: 10s }
    data_centres:
      uppsala:
        limits: { queued: 100 }
        teams: { press: { quota: 50/s } }
        services:
          pressverk:
            targets:
              worker-7: { drain: true, limits: { slots: 4 } }
";

fn parse_tree(text: &str) -> Result<Tree, Problems> {
    let leaves = from_yaml("tree.yaml", text)?;
    let tree: Tree = leaves.into_iter().map(|leaf| (leaf.path, leaf.value)).collect();
    validate(&tree)?;
    Ok(tree)
}

fn node(text: &str) -> Node {
    match Location::find(&path(text).segments()).unwrap() {
        Location::Node(node) => node,
        other => panic!("{other:?}"),
    }
}

const TARGET_PATH: &str = "regions/svealand/data_centres/uppsala/services/pressverk/targets/worker-7";

#[test]
fn closest_value_takes_precedence_and_is_explained() {
    let tree = parse_tree(VALID_YAML).unwrap();
    let resolved = ResolvedSettings::of(&tree, &node(TARGET_PATH));
    assert_eq!(resolved.service.deadline.0, Duration::from_secs(10));
    assert_eq!(resolved.service.max_queued.0, 100);
    assert_eq!(resolved.service.max_attempts.0, 2);
    assert_eq!(resolved.service.max_slots.0, 4);
    assert!(resolved.service.is_draining.0);
    let other = ResolvedSettings::of(
        &tree,
        &node("regions/svealand/data_centres/vasteras/services/pressverk"),
    );
    assert_eq!(other.service.max_queued.0, 500);
    assert!(!other.service.is_draining.0);
    let explained = ResolvedSettings::explain(&tree, &node(TARGET_PATH));
    let deadline = explained
        .iter()
        .find(|explanation| explanation.key == "deadlines/default")
        .unwrap();
    assert_eq!(deadline.origin, Some(path("regions/svealand/deadlines/default")));
    assert_eq!(deadline.overridden[0].path, path("deadlines/default"));
    let body = explained
        .iter()
        .find(|explanation| explanation.key == "limits/body")
        .unwrap();
    assert_eq!(body.origin, None);
}

#[test]
fn teams_inherit_across_regions_and_data_centres() {
    let tree = parse_tree(VALID_YAML).unwrap();
    let team = ResolvedSettings::of(&tree, &node("regions/svealand/data_centres/uppsala/teams/press")).team;
    assert_eq!((team.quota.to_string(), team.burst.0), ("50/s".to_owned(), 400));
}

#[test]
fn all_names_of_a_renamed_target_resolve_to_its_identity() {
    let names = TargetNames::of(&parse_tree(VALID_YAML).unwrap());
    let identity = "worker-7".parse().unwrap();
    for name in ["worker-7", "nordic-7", "aurora-7"] {
        assert_eq!(names.identity(&name.parse().unwrap()), &identity);
    }
    assert_eq!(names.current_name(&identity).as_str(), "aurora-7");
}

#[test]
fn problems_contain_location_path_and_allowed_values() {
    let invalid = [
        (
            "limits:\n  queud: 5\n",
            "tree.yaml:2",
            "limits/queud",
            Some("limits/queued"),
        ),
        (
            "deadlines:\n  default: 20\n",
            "tree.yaml:2",
            "deadlines/default",
            None,
        ),
        (
            "deadlines: { default: 20d }\n",
            "tree.yaml:1",
            "deadlines/default",
            None,
        ),
        ("retry: { attempts: 99 }\n", "1 to 10", "retry/attempts", None),
        (
            "regions: { r: { targets: { a: { drain: true } } } }\n",
            "at a region",
            "regions/r/targets/a/drain",
            None,
        ),
        ("services: { s: }\n", "a mapping", "services/s", None),
        ("names: [a]\n", "at a root", "names", None),
    ];
    for (text, expected, at, nearest) in invalid {
        let problems = parse_tree(text).unwrap_err();
        let problem = &problems.0[0];
        assert!(problem.to_string().contains(expected), "{problem}");
        assert_eq!(problem.path, path(at));
        if nearest.is_some() {
            assert_eq!(problem.nearest.as_deref(), nearest, "{problem}");
        }
    }
}

#[test]
fn validation_compares_values_of_different_nodes() {
    let invalid = [
        ("deadlines: { default: 5m, max: 1m }", "at most deadlines/max"),
        (
            "deadlines: { max: 1m }\nservices: { s: { deadlines: { default: 2m } } }",
            "at most deadlines/max",
        ),
        (
            "regions: { a: { data_centres: { x: { drain: true } } }, b: { data_centres: { x: { drain: true } } } }",
            "one region only",
        ),
        (
            "services: { s: { targets: { a: { names: [c] }, b: { names: [c] } } } }",
            "c is a name of a",
        ),
        (
            "services: { s: { targets: { a: { names: [b] }, b: { drain: true } } } }",
            "first name",
        ),
        (
            "services: { s: { targets: { a: { names: [a] } } } }",
            "differ from",
        ),
    ];
    for (text, expected) in invalid {
        let problems = parse_tree(text).unwrap_err().to_string();
        assert!(problems.contains(expected), "{text}: {problems}");
    }
}

#[test]
fn yaml_round_trip_preserves_the_tree() {
    let original = parse_tree(VALID_YAML).unwrap();
    let text = to_yaml(&original, &path("")).unwrap();
    let parsed = parse_tree(&text).unwrap();
    assert_eq!(original, parsed, "{text}");
    assert_eq!(original.digest(), parsed.digest());
}

#[test]
fn defaults_are_valid_and_canonical() {
    let levels = [Level::Root, Level::Target, Level::DataCentre, Level::Team];
    for spec in levels.into_iter().flat_map(settings_at) {
        assert_eq!(
            spec.canonicalize(spec.default).as_deref(),
            Ok(spec.default),
            "{}",
            spec.key
        );
    }
}

#[test]
fn incremental_validation_agrees_with_full_validation() {
    let values = [
        ("deadlines/default", ["1m", "3m", "8m"]),
        ("deadlines/max", ["2m", "5m", "9m"]),
        ("services/s/deadlines/default", ["1m", "4m", "9m"]),
        ("regions/r/data_centres/x/drain", ["true", "false", "true"]),
        ("regions/q/data_centres/x/drain", ["true", "false", "true"]),
        ("regions/r/data_centres/y/deadlines/max", ["1m", "4m", "9m"]),
        ("services/s/targets/a/names", ["b c", "d", "e"]),
        ("services/t/targets/b/names", ["c", "f", "e"]),
        ("services/t/targets/d/drain", ["true", "false", "true"]),
    ];
    let (mut valid, mut invalid) = (0, 0);
    for seed in 0..30 {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let mut tree = Tree::default();
        for _ in 0..100 {
            let mut next = tree.clone();
            let mut touched = Vec::new();
            for _ in 0..rng.random_range(1..3) {
                let (at, texts) = &values[rng.random_range(0..values.len())];
                match rng.random_range(0..4) {
                    0 => next.unset(&path(at)),
                    number => next.set(path(at), texts[number - 1].to_owned()),
                };
                touched.push(path(at));
            }
            let is_valid = validate(&next).is_ok();
            assert_eq!(
                validate_changed(&next, &touched).is_ok(),
                is_valid,
                "seed {seed}: {next:?}"
            );
            if is_valid {
                tree = next;
                valid += 1;
            } else {
                invalid += 1;
            }
        }
    }
    assert!(valid > 300 && invalid > 300, "{valid} valid, {invalid} invalid");
}

#[test]
fn deadline_inherited_from_another_branch_is_clamped_to_the_maximum() {
    let text = "services: { s: { deadlines: { max: 1m } } }\n\
                regions: { r: { data_centres: { x: { deadlines: { default: 2m } } } } }\n";
    let tree = parse_tree(text).unwrap();
    let resolved = ResolvedSettings::of(&tree, &node("regions/r/data_centres/x/services/s"));
    assert_eq!(resolved.service.deadline.0, Duration::from_secs(60));
}
