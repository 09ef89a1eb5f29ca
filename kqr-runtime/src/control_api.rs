use std::sync::Arc;

use kqr_fleet::{Catalog, CatalogVersion, Evacuation, ReportReceipt, TargetReport};

use kqr_types::InstanceId;

use crate::control::ControlCallFailure;

/// Calls of operators and targets, which every instance answers, by itself or through the leader.
pub trait ControlApi: Clone + Send + Sync + 'static {
    /// Replaces the catalog by a valid one. Returns the version that is in force afterwards.
    ///
    /// # Errors
    ///
    /// Fails if this instance can't confirm that the catalog was accepted.
    fn replace_catalog(
        &self,
        catalog: Catalog,
    ) -> impl Future<Output = Result<CatalogVersion, ControlCallFailure>> + Send;

    /// Returns the newest catalog, or `None` if none was ever accepted.
    ///
    /// # Errors
    ///
    /// Fails if this instance can't confirm which catalog is the newest.
    fn newest_catalog(&self)
    -> impl Future<Output = Result<Option<Arc<Catalog>>, ControlCallFailure>> + Send;

    /// Begins or finishes the evacuation of a data centre.
    ///
    /// # Errors
    ///
    /// Fails if this instance can't confirm that the change is recorded.
    fn evacuate(&self, evacuation: Evacuation)
    -> impl Future<Output = Result<(), ControlCallFailure>> + Send;

    /// Counts a report of a target that was refused because it can't be decoded or is out of range.
    fn count_refused_report(&self);

    /// Returns the instance that operators read the catalog from, or `None` if this one serves it. A long catalog
    /// fills the narrow link of an entry, behind which heartbeats would be late.
    fn catalog_server(&self) -> Option<InstanceId>;

    /// Handles the report of a target.
    ///
    /// # Errors
    ///
    /// Fails if no leader is known or reachable.
    fn submit_target_report(
        &self,
        report: TargetReport,
    ) -> impl Future<Output = Result<ReportReceipt, ControlCallFailure>> + Send;
}
