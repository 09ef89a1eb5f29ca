//! Scheduling logic of an entry: jobs of callers, tasks on owned targets, and orders from sibling entries.
//!
//! [`Dispatcher`] is a state machine that performs no I/O. The entry that receives a job coordinates it: it
//! sends an order for each task to the owner of a target. Only the owner starts and stops tasks on a target,
//! under a fencing token, and extends the lease of its runs. A task that may still be running is not ordered
//! again until the target has listed its end, the start was refused, or the lease has expired.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod bulk_budget;
mod contact;
mod data_place;
mod decision;
mod delivery;
mod dispatcher;
mod expected_wait;
mod input;
mod job_end;
mod job_limits;
mod job_request;
mod jobs;
mod link;
mod link_rate;
mod link_usage;
mod load_report;
mod load_shedding;
mod load_update;
mod locality;
mod lost_run;
mod message_size;
mod opened_session;
mod options;
mod order_id;
mod outbox;
mod output;
mod own_load;
mod owned;
mod owners;
mod queue_order;
mod queued_work;
mod received_orders;
mod receiver_clock;
mod receiver_time;
mod relations;
mod run_end;
mod run_order;
mod sessions;
mod sibling_message;
mod siblings;
mod step_spec;
mod suitability;
mod survey;
mod target_answer;
mod target_call;
mod target_losses;
mod target_time;
mod task_id;
mod traffic;

pub use data_place::DataPlace;
pub use decision::Decision;
pub use delivery::Delivery;
pub use dispatcher::Dispatcher;
pub use input::Input;
pub use job_end::{GiveUp, JobEnd, RefusalCause};
pub use job_limits::{JobLimits, JobPart};
pub use job_request::JobRequest;
pub use link::Link;
pub use link_rate::LinkRate;
pub use link_usage::LinkUsage;
pub use load_report::TargetLoad;
pub use load_shedding::LoadShedding;
pub use load_update::{LoadChange, LoadTargets, LoadUpdate};
pub use lost_run::LostRun;
pub use message_size::encoded_bytes;
pub use opened_session::OpenedSession;
pub use options::Options;
pub use order_id::OrderId;
pub use outbox::Outbox;
pub use output::Output;
pub use queue_order::QueueOrder;
pub use queued_work::QueuedWork;
pub use receiver_clock::ReceiverClock;
pub use receiver_time::ReceiverTime;
pub use run_end::{NotRun, RunEnd};
pub use run_order::RunOrder;
pub use sessions::Sessions;
pub use sibling_message::SiblingMessage;
pub use step_spec::StepSpec;
pub use target_answer::{CallFailure, EndKind, EndedRun, PollAnswer, Refusal, RunProgress};
pub use target_call::{CallId, PollCall, StartCall, StopCall, TargetCall, TargetEndpoint};
pub use target_time::TargetTime;
pub use task_id::{RunId, TaskId};
pub use traffic::Traffic;
