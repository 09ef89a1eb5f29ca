use std::{collections::BTreeSet, time::Duration};

use kqr_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::WallClock;

/// Identity, timing and voters of a cell's instance. All instances of a cell have the same timing and voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Options {
    /// This instance.
    pub own: InstanceId,
    /// Number of its present life.
    pub incarnation: Incarnation,
    /// Incarnation of its storage; that of its life if it has no disk.
    pub storage: Incarnation,
    /// Share of keys, or `None` for a witness, which votes and is no member.
    pub weight: Option<u32>,
    /// All instances that vote. An odd number, made so by a witness: of an even one no restarted voter gets its vote
    /// back, and the cell is founded anew when most have restarted.
    pub voters: BTreeSet<InstanceId>,
    /// How long a member may act after it asked for its lease.
    pub lease: Duration,
    /// Silence after which a member gets no lease any more until it is heard again.
    pub suspicion: Duration,
    /// Time between a member's renewals.
    pub renewal: Duration,
    /// Time without a leader after which a voter campaigns; up to twice that.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// How long after a majority was reached the leader grants leases, at most [`Self::election_timeout`]. The shorter
    /// it is, the sooner the next leader may be sure that they have ended.
    pub grant_window: Duration,
    /// Largest deviation of a clock's rate, in thousandths.
    pub drift_per_mille: u32,
    /// Wall clock when the machine is created.
    pub wall_clock: WallClock,
    /// Seed of the spread of election timeouts.
    pub seed: u64,
}

/// Usual silence after which a member is suspected.
const USUAL_SUSPICION: Duration = Duration::from_millis(500);

impl Options {
    /// Creates options with the usual timing.
    pub fn new<Voters>(own: InstanceId, incarnation: Incarnation, voters: Voters) -> Self
    where
        Voters: IntoIterator<Item = InstanceId>,
    {
        Self {
            own,
            incarnation,
            storage: incarnation,
            weight: Some(1),
            voters: voters.into_iter().collect(),
            lease: Duration::ZERO,
            suspicion: Duration::ZERO,
            renewal: Duration::ZERO,
            election_timeout: Duration::ZERO,
            heartbeat: Duration::ZERO,
            grant_window: Duration::ZERO,
            drift_per_mille: 10,
            wall_clock: WallClock(0),
            seed: 0,
        }
        .with_suspicion(USUAL_SUSPICION)
    }

    /// Returns these options with all times in their usual proportions to `suspicion`.
    #[must_use]
    pub fn with_suspicion(self, suspicion: Duration) -> Self {
        Self {
            lease: suspicion * 2,
            suspicion,
            renewal: suspicion * 2 / 5,
            election_timeout: suspicion,
            heartbeat: suspicion * 2 / 5,
            grant_window: suspicion * 3 / 5,
            ..self
        }
    }

    /// Returns how many voters form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns how long `span` on another instance's clock may last on the own one.
    pub fn with_drift_margin(&self, span: Duration) -> Duration {
        let fast = 1000 + self.drift_per_mille;
        let slow = 1000_u32.saturating_sub(self.drift_per_mille).max(1);
        span * fast / slow
    }

    /// Returns after which time on the own clock a lease that another instance asked for before has ended.
    pub fn lease_wait(&self) -> Duration {
        self.with_drift_margin(self.lease)
    }

    /// Returns after which time from its election a leader knows that all leases of earlier leaders have ended.
    ///
    /// An earlier leader granted within [`Self::grant_window`] of its last contact with a majority, and no voter of
    /// that majority has voted within an election timeout of that contact, nor of its entry into the group.
    pub fn election_wait(&self) -> Duration {
        self.with_drift_margin(self.grant_window + self.lease)
            .saturating_sub(self.election_timeout)
    }
}
