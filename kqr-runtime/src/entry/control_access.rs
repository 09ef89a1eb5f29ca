use std::{sync::Arc, time::Duration};

use kqr_fleet::{Catalog, CatalogVersion, ReportReceipt, TargetReport};

use super::{EntryDriver, TargetClient};
use crate::{ControlApi, control::ControlCallFailure, discovery::KnownControls, leader_client::LeaderClient};

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

    fn count_refused_report(&self) {
        self.driver.count_refused_report();
    }

    async fn submit_target_report(&self, report: TargetReport) -> Result<ReportReceipt, ControlCallFailure> {
        self.leader()?.report(report).await
    }
}
