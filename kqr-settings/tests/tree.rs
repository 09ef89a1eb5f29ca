//! The tree: YAML, validation with its messages, inheritance, renames.

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

const TREE: &str = "\
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

fn tree(text: &str) -> Result<Tree, Problems> {
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

const WORKER: &str = "regions/svealand/data_centres/uppsala/services/pressverk/targets/worker-7";

#[test]
fn the_closest_value_wins_and_explain_names_it() {
    let tree = tree(TREE).unwrap();
    let view = ResolvedSettings::of(&tree, &node(WORKER));
    assert_eq!(view.service.deadline.0, Duration::from_secs(10));
    assert_eq!(view.service.max_queued.0, 100);
    assert_eq!(view.service.max_attempts.0, 2);
    assert_eq!(view.service.max_slots.0, 4);
    assert!(view.service.is_draining.0);
    let other = ResolvedSettings::of(
        &tree,
        &node("regions/svealand/data_centres/vasteras/services/pressverk"),
    );
    assert_eq!(other.service.max_queued.0, 500);
    assert!(!other.service.is_draining.0);
    let explained = ResolvedSettings::explain(&tree, &node(WORKER));
    let deadline = explained
        .iter()
        .find(|line| line.key == "deadlines/default")
        .unwrap();
    assert_eq!(deadline.origin, Some(path("regions/svealand/deadlines/default")));
    assert_eq!(deadline.overridden[0].path, path("deadlines/default"));
    let body = explained.iter().find(|line| line.key == "limits/body").unwrap();
    assert_eq!(body.origin, None);
}

#[test]
fn teams_inherit_over_places() {
    let tree = tree(TREE).unwrap();
    let team = ResolvedSettings::of(&tree, &node("regions/svealand/data_centres/uppsala/teams/press")).team;
    assert_eq!((team.quota.to_string(), team.burst.0), ("50/s".to_owned(), 400));
}

#[test]
fn a_renamed_target_keeps_its_identity_under_all_names() {
    let names = TargetNames::of(&tree(TREE).unwrap());
    let identity = "worker-7".parse().unwrap();
    for name in ["worker-7", "nordic-7", "aurora-7"] {
        assert_eq!(names.identity(&name.parse().unwrap()), &identity);
    }
    assert_eq!(names.current_name(&identity).as_str(), "aurora-7");
}

#[test]
fn problems_name_line_path_value_and_what_is_allowed() {
    let wrong = [
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
    for (text, shown, at, nearest) in wrong {
        let problems = tree(text).unwrap_err();
        let problem = &problems.0[0];
        assert!(problem.to_string().contains(shown), "{problem}");
        assert_eq!(problem.path, path(at));
        if nearest.is_some() {
            assert_eq!(problem.nearest.as_deref(), nearest, "{problem}");
        }
    }
}

#[test]
fn the_whole_tree_is_checked_across_nodes() {
    let wrong = [
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
    for (text, shown) in wrong {
        let problems = tree(text).unwrap_err().to_string();
        assert!(problems.contains(shown), "{text}: {problems}");
    }
}

#[test]
fn a_written_tree_is_read_back() {
    let before = tree(TREE).unwrap();
    let text = to_yaml(&before, &path("")).unwrap();
    let after = tree(&text).unwrap();
    assert_eq!(before, after, "{text}");
    assert_eq!(before.digest(), after.digest());
}

#[test]
fn each_default_is_allowed() {
    let levels = [Level::Root, Level::Target, Level::DataCentre, Level::Team];
    for rule in levels.into_iter().flat_map(settings_at) {
        assert_eq!(
            rule.canonicalize(rule.default).as_deref(),
            Ok(rule.default),
            "{}",
            rule.key
        );
    }
}

#[test]
fn checking_what_changed_gives_the_verdict_of_checking_the_whole_tree() {
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
            let whole = validate(&next).is_ok();
            assert_eq!(
                validate_changed(&next, &touched).is_ok(),
                whole,
                "seed {seed}: {next:?}"
            );
            if whole {
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
fn a_deadline_inherited_from_another_branch_is_limited() {
    let text = "services: { s: { deadlines: { max: 1m } } }\n\
                regions: { r: { data_centres: { x: { deadlines: { default: 2m } } } } }\n";
    let tree = tree(text).unwrap();
    let view = ResolvedSettings::of(&tree, &node("regions/r/data_centres/x/services/s"));
    assert_eq!(view.service.deadline.0, Duration::from_secs(60));
}
