use std::collections::{BTreeMap, BTreeSet};

use kqr_types::{CellMember, CellView, InstanceId, Instant, KeyDigest, MemberState};

use crate::{Member, Seal, Update, link::Link};

/// Number of members that hold the record of a job: its home and its followers.
pub(crate) const REPLICATION_FACTOR: usize = 3;

/// State of the cell at one member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Cell {
    /// This member.
    pub own: Member,
    /// The installed view.
    pub view: CellView,
    /// The installed view with all members promoted to full members.
    promoted_view: CellView,
    /// The previous view, if all records were replicated when it was replaced.
    pub previous_complete_view: Option<CellView>,
    /// Views under which tasks may have been started since this member was last active.
    pub open_views: Vec<CellView>,
    /// Update streams to and from the other members of the view.
    pub links: BTreeMap<InstanceId, Link>,
    /// Seals that other full members have sent in this epoch.
    pub seals: BTreeMap<InstanceId, Seal>,
    /// Full members whose records are replicated.
    pub complete_members: BTreeSet<InstanceId>,
    /// Stream positions whose acknowledgement means that this member's records are replicated.
    pub completion_positions: Option<BTreeMap<InstanceId, u64>>,
    /// Whether this member may act as a home.
    pub is_active: bool,
    /// End of this member's lease.
    pub lease_until: Instant,
    /// Start of the history that the records cover, or `None` if they cover none.
    pub history: Option<Instant>,
}

impl Cell {
    /// Creates the state of a member that has not installed a view.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            view: CellView::default(),
            promoted_view: CellView::default(),
            previous_complete_view: None,
            open_views: Vec::new(),
            links: BTreeMap::new(),
            seals: BTreeMap::new(),
            complete_members: BTreeSet::new(),
            completion_positions: None,
            is_active: false,
            lease_until: Instant::default(),
            history: None,
        }
    }

    /// Installs a later view and starts new streams to its members.
    pub fn install(&mut self, view: CellView) {
        self.previous_complete_view = self.is_complete().then(|| self.view.clone());
        self.view = view;
        self.promoted_view = self.view.clone();
        for member in &mut self.promoted_view.members {
            member.state = MemberState::Full;
        }
        self.open_views.push(self.view.clone());
        self.seals.clear();
        self.complete_members.clear();
        self.completion_positions = None;
        self.is_active = false;
        self.links.clear();
        for member in &self.view.members {
            if member.id != self.own.id {
                self.links.insert(member.id.clone(), Link::default());
            }
        }
    }

    /// Returns the state of this member, or `None` if its current incarnation is not part of the view.
    pub fn own_state(&self) -> Option<MemberState> {
        let member = self.view.member(&self.own.id)?;
        (member.incarnation == self.own.incarnation).then_some(member.state)
    }

    /// Returns whether this member is a full member of the view.
    pub fn is_full(&self) -> bool {
        self.own_state() == Some(MemberState::Full)
    }

    /// Returns whether this member may start tasks and accept jobs.
    pub fn can_act(&self, now: Instant) -> bool {
        self.is_active && now < self.lease_until
    }

    /// Returns whether the records of all full members are replicated.
    pub fn is_complete(&self) -> bool {
        let mut full = self.full_members().peekable();
        full.peek().is_some() && full.all(|member| self.complete_members.contains(&member.id))
    }

    /// Returns the full members of the view.
    pub fn full_members(&self) -> impl Iterator<Item = &CellMember> {
        self.view
            .members
            .iter()
            .filter(|member| member.state == MemberState::Full)
    }

    /// Returns whether `id` is the home of `job`.
    pub fn is_home(&self, id: &InstanceId, job: KeyDigest) -> bool {
        home_order(&self.view, job)
            .first()
            .is_some_and(|home| home.id == *id)
    }

    /// Returns whether this member is the home of `job`.
    pub fn is_own(&self, job: KeyDigest) -> bool {
        self.is_full() && self.is_home(&self.own.id, job)
    }

    /// Returns the followers that must acknowledge the updates of `job`.
    pub fn followers(&self, job: KeyDigest) -> Vec<InstanceId> {
        let order = home_order(&self.view, job);
        let followers = order.into_iter().take(REPLICATION_FACTOR);
        followers
            .filter(|member| member.id != self.own.id)
            .map(|member| member.id.clone())
            .collect()
    }

    /// Returns the members that hold a replica of `job`, including syncing members.
    pub fn replicas(&self, job: KeyDigest) -> BTreeSet<InstanceId> {
        let mut replicas = replicas(&self.view, job);
        for member in home_order(&self.promoted_view, job)
            .into_iter()
            .take(REPLICATION_FACTOR)
        {
            let current = self.view.member(&member.id);
            if current.is_some_and(|current| current.state == MemberState::Syncing) {
                replicas.insert(member.id.clone());
            }
        }
        replicas
    }

    /// Returns whether this member must send the settled record of `job` to `receiver`.
    ///
    /// A receiver that held a replica in the previous complete view has the record already. The first of the
    /// remaining holders sends it to the others; without a previous complete view, or if no holder remains,
    /// every member sends it.
    pub fn must_send_settled_record(&self, receiver: &InstanceId, job: KeyDigest) -> bool {
        let Some(previous_view) = &self.previous_complete_view else {
            return true;
        };
        let is_same_life = |member: &&CellMember| {
            self.view.member(&member.id).is_some_and(|current| {
                current.incarnation == member.incarnation && current.state == MemberState::Full
            })
        };
        let order = home_order(previous_view, job);
        let mut holders = order.into_iter().take(REPLICATION_FACTOR).filter(is_same_life);
        let Some(first) = holders.next() else { return true };
        let is_holder = first.id == *receiver || holders.any(|holder| holder.id == *receiver);
        !is_holder && first.id == self.own.id
    }

    /// Appends `update` to the streams to `receivers`.
    pub fn push_update<'a, Receivers>(&mut self, receivers: Receivers, update: &Update)
    where
        Receivers: IntoIterator<Item = &'a InstanceId>,
    {
        for receiver in receivers {
            if let Some(link) = self.links.get_mut(receiver) {
                link.push(update.clone());
            }
        }
    }

    /// Returns whether all other full members have sealed the earlier epochs.
    pub fn is_sealed(&self) -> bool {
        self.full_members()
            .all(|member| member.id == self.own.id || self.seals.contains_key(&member.id))
    }

    /// Makes this member active and determines the history that the records of the cell cover. Returns
    /// whether the earlier history is lost.
    pub fn activate(&mut self, now: Instant) -> bool {
        let mut history = self.history;
        let mut is_lost = self.is_history_lost(&self.open_views);
        for seal in self.seals.values() {
            is_lost |= self.is_history_lost(&seal.open);
            if let Some(age) = seal.history {
                let since = now - age;
                history = Some(history.map_or(since, |own| own.max(since)));
            }
        }
        let history = history.filter(|_| !is_lost);
        self.history = history.or(Some(now));
        self.open_views = vec![self.view.clone()];
        self.is_active = true;
        history.is_none()
    }

    /// Returns whether the records of a sealed member cover any history.
    fn has_history(&self, id: &InstanceId) -> bool {
        if *id == self.own.id {
            return self.history.is_some();
        }
        self.seals.get(id).is_some_and(|seal| seal.history.is_some())
    }

    /// Returns whether all replicas of a job may have been lost since one of the `open` views.
    fn is_history_lost(&self, open: &[CellView]) -> bool {
        for view in open {
            if view.epoch == self.view.epoch {
                continue;
            }
            let mut full = 0;
            let mut lost = 0;
            for member in &view.members {
                if member.state != MemberState::Full {
                    continue;
                }
                full += 1;
                let is_still_member = self
                    .full_members()
                    .any(|current| current.id == member.id && current.incarnation == member.incarnation);
                lost += usize::from(!is_still_member || !self.has_history(&member.id));
            }
            if lost >= REPLICATION_FACTOR.min(full) {
                return true;
            }
        }
        false
    }
}

/// Returns the full members of `view` in the order for `job`: the home first, then the followers.
///
/// The order depends only on the digest, so it is known even if only the digest of a job is retained.
pub fn home_order(view: &CellView, job: KeyDigest) -> Vec<&CellMember> {
    view.ranked_members(&job.to_string())
}

/// Returns the home and the followers of `job` in `view`.
fn replicas(view: &CellView, job: KeyDigest) -> BTreeSet<InstanceId> {
    let order = home_order(view, job);
    order
        .into_iter()
        .take(REPLICATION_FACTOR)
        .map(|member| member.id.clone())
        .collect()
}
