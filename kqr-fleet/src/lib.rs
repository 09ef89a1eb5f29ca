//! Replicated state of a fleet: the catalog of queues and services, and which entry owns which target.
//!
//! [`FleetState`] is the state that results from the commands of the replicated log. [`FleetNode`] is the
//! state machine of a control instance, which does no I/O: a member of the log that accepts catalogs and
//! reports of targets, and assigns targets to entries. [`FoundingNode`] agrees on the first members of the log.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod catalog;
pub mod catalog_check;
mod catalog_error;
mod catalog_part;
mod catalog_receiver;
mod catalog_version;
mod command;
mod entry_info;
mod evacuation;
mod fencing_token;
mod founding;
mod limits;
mod node;
mod packed_catalog;
mod queue;
mod record_error;
mod resources;
mod service_pool;
mod state;
mod sync;
mod target_record;
mod target_report;

pub use catalog::Catalog;
pub use catalog_error::CatalogError;
pub use catalog_part::{CatalogPart, CatalogProgress};
pub use catalog_receiver::CatalogReceiver;
pub use catalog_version::CatalogVersion;
pub use command::{Command, Handover};
pub use entry_info::EntryInfo;
pub use evacuation::Evacuation;
pub use fencing_token::FencingToken;
pub use founding::{FoundingInput, FoundingNode, FoundingOutput};
pub use limits::Limits;
pub use node::{CallId, FleetInput, FleetNode, FleetOptions, FleetOutput};
pub use packed_catalog::PackedCatalog;
pub use queue::Queue;
pub use record_error::RecordError;
pub use resources::Resources;
pub use service_pool::ServicePool;
pub use state::{FleetState, OwnedTarget, Owner};
pub use sync::{SyncReply, SyncRequest, SyncView, TargetGrant, ViewRevision};
pub use target_record::TargetRecord;
pub use target_report::{ReportReceipt, TargetReport};
