//! Commands of operators against control processes.

mod daemons;

use std::fs;

use clap::Parser;
use daemons::Processes;
use kqr::{Cli, Failure, FailureKind};
use serde_json::Value;

struct Operator {
    processes: Processes,
}

impl Operator {
    async fn new() -> Self {
        let processes = Processes::start();
        processes.leader(&processes.connection("token")).await;
        Self { processes }
    }

    /// Runs `kqr` with the arguments in `command_line` and returns its JSON output.
    async fn run(&self, command_line: &str) -> Result<Value, Failure> {
        let servers: Vec<String> = self.processes.operators.iter().map(ToString::to_string).collect();
        let token = self.processes.folder.path().join("token");
        let mut arguments = vec!["kqr".to_owned(), "--server".to_owned(), servers.join(",")];
        arguments.extend(["--output", "json", "--token-file"].map(str::to_owned));
        arguments.push(token.display().to_string());
        arguments.extend(command_line.split_whitespace().map(str::to_owned));
        let text = kqr::run(Cli::try_parse_from(arguments).unwrap()).await?;
        Ok(serde_json::from_str(&text).unwrap())
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.processes.folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

const TREE: &str = "limits: { queued: 100 }\nservices: { s: { targets: { a: { drain: false } } } }\n";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_tree_is_applied_read_explained_and_rolled_back() {
    let operator = Operator::new().await;
    let file = operator.write("tree.yaml", TREE);
    let dry = operator
        .run(&format!("settings apply {file} --dry-run"))
        .await
        .unwrap();
    assert_eq!(dry["differences"].as_array().unwrap().len(), 2);
    let applied = operator.run(&format!("settings apply {file}")).await.unwrap();
    assert_eq!(applied["accepted"]["version"], 1);
    let again = operator.run(&format!("settings apply {file}")).await.unwrap();
    assert_eq!(again["accepted"], Value::Null);

    let set = operator
        .run("settings set services/s/limits/queued=7 --change-id mine")
        .await
        .unwrap();
    assert_eq!(set["version"], 2);
    let resent = operator
        .run("settings set services/s/limits/queued=7 --change-id mine")
        .await
        .unwrap();
    assert_eq!(resent, set);
    let explained = operator
        .run("settings explain services/s/limits/queued")
        .await
        .unwrap();
    assert_eq!(explained["values"][0]["origin"], "services/s/limits/queued");
    assert_eq!(explained["values"][0]["hidden"][0]["value"], "100");

    let diff = operator.run("settings diff --from 1 --to 2").await.unwrap();
    assert_eq!(diff["differences"][0]["after"], "7");
    assert_eq!(operator.run("settings rollback 1").await.unwrap()["version"], 3);
    let values = operator.run("settings get").await.unwrap();
    assert_eq!(values["version"], 3);
    assert_eq!(values["values"]["services/s/limits/queued"], Value::Null);
    let history = operator.run("settings history").await.unwrap();
    assert_eq!(history["changes"].as_array().unwrap().len(), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_have_their_kind_and_exit_code() {
    let operator = Operator::new().await;
    let file = operator.write("wrong.yaml", "limits:\n  queud: 5\n");
    let wrong = operator.run(&format!("settings apply {file}")).await.unwrap_err();
    assert_eq!((wrong.kind, wrong.exit_code()), (FailureKind::Invalid, 4));
    assert!(
        wrong.detail.contains("wrong.yaml:2") && wrong.detail.contains("limits/queued"),
        "{wrong}"
    );
    operator.run("settings set drain=true --base 0").await.unwrap();
    let beaten = operator
        .run("settings set drain=false --base 0")
        .await
        .unwrap_err();
    assert_eq!((beaten.kind, beaten.exit_code()), (FailureKind::Beaten, 3));
    let unknown = operator.run("settings get --at 9").await.unwrap_err();
    assert_eq!((unknown.kind, unknown.exit_code()), (FailureKind::Version, 5));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_are_drained_and_renamed_and_shown_with_all_names() {
    let operator = Operator::new().await;
    operator.run("drain services/s/targets/a").await.unwrap();
    operator
        .run("targets --rename a --to b --service s")
        .await
        .unwrap();
    operator
        .run("targets --rename b --to c --service s")
        .await
        .unwrap();
    let targets = operator.run("targets").await.unwrap();
    let target = &targets["targets"][0];
    assert_eq!(target["identity"], "a");
    assert_eq!(target["present_name"], "c");
    assert_eq!(target["names"], serde_json::json!(["a", "b", "c"]));
    assert_eq!(target["places"]["services/s/targets/a"], true);
    let status = operator.run("status").await.unwrap();
    assert_eq!(status["servers"].as_array().unwrap().len(), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quotas_are_set_listed_and_inherited() {
    let operator = Operator::new().await;
    let set = operator
        .run("quota set press 500/s --burst 900 --change-id mine --base 0")
        .await
        .unwrap();
    assert_eq!(set["version"], 1);
    let resent = operator
        .run("quota set press 500/s --burst 900 --change-id mine --base 0")
        .await
        .unwrap();
    assert_eq!(resent, set);
    let beaten = operator.run("quota set press 600/s --base 0").await.unwrap_err();
    assert_eq!((beaten.kind, beaten.exit_code()), (FailureKind::Beaten, 3));
    let wrong = operator.run("quota set press plenty").await.unwrap_err();
    assert_eq!((wrong.kind, wrong.exit_code()), (FailureKind::Invalid, 4));
    assert!(wrong.detail.contains("teams/press/quota"), "{wrong}");

    operator
        .run("quota set press 50/s --region svealand")
        .await
        .unwrap();
    operator.run("settings set teams/riders/burst=7").await.unwrap();
    let here = operator.run("quota get press --region svealand").await.unwrap();
    assert_eq!(here["values"][0]["value"], "50/s");
    assert_eq!(here["values"][0]["origin"], "regions/svealand/teams/press/quota");
    assert_eq!(here["values"][0]["hidden"][0]["value"], "500/s");
    assert_eq!(here["values"][1]["value"], "900");
    let all = operator.run("quota list").await.unwrap();
    assert_eq!(all["teams"].as_array().unwrap().len(), 2);
    assert_eq!(all["teams"][0]["team"], "press");
    assert_eq!(all["teams"][0]["values"][0]["value"], "500/s");
    assert_eq!(all["teams"][1]["values"][0]["origin"], Value::Null);

    operator
        .run("quota set press --unset --region svealand")
        .await
        .unwrap();
    let again = operator.run("quota get press --region svealand").await.unwrap();
    assert_eq!(again["values"][0]["value"], "500/s");
}
