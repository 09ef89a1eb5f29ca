use kqr_types::DataCentre;
use serde::{Deserialize, Serialize};

/// Change of whether tasks are started in a data centre. Runs that have begun continue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evacuation {
    /// Nothing more is started on the targets of the data centre.
    Begin(DataCentre),
    /// Tasks are started in the data centre again.
    Finish(DataCentre),
}
