use std::{sync::Arc, time::Duration};

use kqr_fleet::{Catalog, CatalogVersion, Evacuation, ReportReceipt, TargetReport};

use kqr_types::InstanceId;

use super::{EntryDriver, TargetClient};
use crate::{ControlApi, control::ControlCallFailure, discovery::KnownControls, leader_client::LeaderClient};

/// Number of queues up to which an entry serves the catalog: it passes a link of 2 Mbit/s in a fifth of a second.
const MAX_SERVED_QUEUES: usize = 200;

/// Access to control for operators and targets that call an entry.
#[derive(Debug)]
pub struct ControlAccess<Client>
where
    Client: TargetClient,
{
    driver: Arc<EntryDriver<Client>>,
    controls: Arc<KnownControls>,
}

impl<Client> ControlAccess<Client>
where
    Client: TargetClient,
{
    pub(super) const fn new(driver: Arc<EntryDriver<Client>>, controls: Arc<KnownControls>) -> Self {
        Self { driver, controls }
    }

    fn leader(&self) -> Result<LeaderClient, ControlCallFailure> {
        let leader = self.controls.leader();
        leader
            .map(|leader| LeaderClient::new(leader, Duration::ZERO))
            .ok_or_else(ControlCallFailure::no_answer)
    }
}

impl<Client> Clone for ControlAccess<Client>
where
    Client: TargetClient,
{
    fn clone(&self) -> Self {
        Self {
            driver: Arc::clone(&self.driver),
            controls: Arc::clone(&self.controls),
        }
    }
}

impl<Client> ControlApi for ControlAccess<Client>
where
    Client: TargetClient,
{
    async fn replace_catalog(&self, catalog: Catalog) -> Result<CatalogVersion, ControlCallFailure> {
        // The catalog of an entry was committed, so it confirms itself and all lower versions.
        match self.driver.catalog() {
            Some(current) if current.version >= catalog.version => Ok(current.version),
            _ => self.leader()?.replace_catalog(catalog).await,
        }
    }

    async fn newest_catalog(&self) -> Result<Option<Arc<Catalog>>, ControlCallFailure> {
        Ok(self.leader()?.newest_catalog().await?.map(Arc::new))
    }

    async fn evacuate(&self, evacuation: Evacuation) -> Result<(), ControlCallFailure> {
        self.leader()?.evacuate(evacuation).await
    }

    fn count_refused_report(&self) {
        self.driver.count_refused_report();
    }

    fn catalog_server(&self) -> Option<InstanceId> {
        let is_long = |catalog: &Arc<Catalog>| catalog.queues.len() > MAX_SERVED_QUEUES;
        self.driver.catalog().filter(is_long)?;
        self.controls.leader()
    }

    async fn submit_target_report(&self, report: TargetReport) -> Result<ReportReceipt, ControlCallFailure> {
        self.leader()?.report(report).await
    }
}
