use std::{collections::BTreeSet, time::Duration};

use kqr_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::WallClock;

/// Identity, timing and voters of an instance of a cell. All instances of a cell must have the same timing
/// and voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Options {
    /// This instance.
    pub own: InstanceId,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Incarnation of this instance's storage. Equals `incarnation` if the instance has no disk.
    pub storage: Incarnation,
    /// Weight in the placement of keys, or `None` for a witness, which votes but is not a member.
    pub weight: Option<u32>,
    /// All instances that vote. The number should be odd, if need be by adding a witness: with an even
    /// number, a voter that restarts does not regain its vote, and the cell founds a new group once most
    /// voters have restarted.
    pub voters: BTreeSet<InstanceId>,
    /// Duration of a lease, counted from the member's request.
    pub lease: Duration,
    /// Time without a renewal after which the leader suspects a member. It removes the member once its lease
    /// has ended, unless a renewal arrives before.
    pub suspicion: Duration,
    /// Time between a member's renewals.
    pub renewal: Duration,
    /// Shortest time without a leader after which a voter campaigns. The longest is twice that.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Time since its last contact with a majority within which the leader grants leases, at most
    /// [`Self::election_timeout`]. A shorter window reduces the time that the next leader must wait for them
    /// to end.
    pub grant_window: Duration,
    /// Largest deviation of a clock's rate, in thousandths.
    pub drift_per_mille: u32,
    /// Reading of the wall clock when the state machine is created.
    pub wall_clock: WallClock,
    /// Seed of the random part of the election timeouts.
    pub seed: u64,
}

/// Default time without a renewal after which a member is suspected.
const DEFAULT_SUSPICION_TIMEOUT: Duration = Duration::from_millis(500);

impl Options {
    /// Creates options with the default timing.
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
        .with_suspicion(DEFAULT_SUSPICION_TIMEOUT)
    }

    /// Returns these options with all times in their default proportions to `suspicion`.
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

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the longest time that can pass on this instance's clock while `span` passes on another's.
    pub fn with_drift_margin(&self, span: Duration) -> Duration {
        let fast = 1000 + self.drift_per_mille;
        let slow = 1000_u32.saturating_sub(self.drift_per_mille).max(1);
        span * fast / slow
    }

    /// Returns the time on this instance's clock after which a lease that another instance has already
    /// requested has ended.
    pub fn lease_wait(&self) -> Duration {
        self.with_drift_margin(self.lease)
    }

    /// Returns the time from its election after which all leases granted by earlier leaders have ended.
    ///
    /// An earlier leader granted leases only within [`Self::grant_window`] of its last contact with a
    /// majority, and no voter of that majority votes within an election timeout of that contact, nor of its
    /// entry into the group.
    pub fn election_wait(&self) -> Duration {
        self.with_drift_margin(self.grant_window + self.lease)
            .saturating_sub(self.election_timeout)
    }
}
