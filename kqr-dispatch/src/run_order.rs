use std::{sync::Arc, time::Duration};

use kqr_fleet::Resources;
use kqr_types::{ServiceName, TargetId};
use serde::{Deserialize, Serialize};

use crate::{OrderId, RunId};

/// Order of a coordinator to the owner of a target: run a task once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunOrder {
    /// Number of the order.
    #[serde(rename = "ticket")]
    pub id: OrderId,
    /// The run.
    pub run: RunId,
    /// Service whose targets may run it.
    pub service: ServiceName,
    /// What the task is told.
    pub spec: Arc<str>,
    /// What the task takes of a target.
    pub needs: Resources,
    /// Rough run time; zero if it is not known.
    pub estimate: Duration,
    /// Label that the target must have.
    pub label: Option<String>,
    /// Rack that holds the data.
    #[serde(rename = "near")]
    pub data_rack: Option<String>,
    /// Most tasks of the step on one target.
    pub max_per_target: Option<u32>,
    /// Rank; 0 comes first.
    pub priority: u32,
    /// Time that is left for a start to make sense.
    pub time_left: Duration,
    /// Time that is left for the run to end on time, if it takes as long as estimated.
    pub on_time_left: Duration,
    /// Target that the coordinator expects to have room.
    #[serde(rename = "preferred")]
    pub preferred_target: Option<TargetId>,
    /// Targets on which an earlier run of the task ended badly.
    #[serde(rename = "avoid")]
    pub avoided_targets: Vec<TargetId>,
    /// Runs of the task that have failed.
    pub failures: u32,
}
