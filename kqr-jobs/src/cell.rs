use std::collections::{BTreeMap, BTreeSet};

use kqr_types::{CellMember, CellView, InstanceId, Instant, KeyDigest, MemberState};

use crate::{Member, Seal, Update, link::Link};

/// Number of members that hold the record of a job: its home and its followers.
pub(crate) const COPIES: usize = 3;

/// What a member knows of its cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Cell {
    /// This member.
    pub own: Member,
    /// The installed view.
    pub view: CellView,
    /// The installed view with each member as a full one.
    prospect: CellView,
    /// The view before, if it was complete when it was left.
    pub basis: Option<CellView>,
    /// Views under which tasks may have been started since this member was last active.
    pub open: Vec<CellView>,
    /// Streams to and from the other members of the view.
    pub links: BTreeMap<InstanceId, Link>,
    /// Seals of other full members.
    pub seals: BTreeMap<InstanceId, Seal>,
    /// Full members whose records are copied.
    pub complete: BTreeSet<InstanceId>,
    /// Positions of the streams whose acknowledgement makes the own copies complete.
    pub marks: Option<BTreeMap<InstanceId, u64>>,
    /// Whether this member may act as a home.
    pub is_active: bool,
    /// End of the lease.
    pub lease_until: Instant,
    /// Start of the history that the records cover, or `None` if they cover none.
    pub history: Option<Instant>,
}

impl Cell {
    /// Creates the state of a member that knows no cell.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            view: CellView::default(),
            prospect: CellView::default(),
            basis: None,
            open: Vec::new(),
            links: BTreeMap::new(),
            seals: BTreeMap::new(),
            complete: BTreeSet::new(),
            marks: None,
            is_active: false,
            lease_until: Instant::default(),
            history: None,
        }
    }

    /// Installs a later view and starts its streams.
    pub fn install(&mut self, view: CellView) {
        self.basis = self.is_complete().then(|| self.view.clone());
        self.view = view;
        self.prospect = self.view.clone();
        for member in &mut self.prospect.members {
            member.state = MemberState::Full;
        }
        self.open.push(self.view.clone());
        self.seals.clear();
        self.complete.clear();
        self.marks = None;
        self.is_active = false;
        self.links.clear();
        for member in &self.view.members {
            if member.id != self.own.id {
                self.links.insert(member.id.clone(), Link::default());
            }
        }
    }

    /// Returns the state of this member in its present life, or `None` if it is not part of the view.
    pub fn own_state(&self) -> Option<MemberState> {
        let member = self.view.member(&self.own.id)?;
        (member.incarnation == self.own.incarnation).then_some(member.state)
    }

    /// Returns whether this member is full in the view.
    pub fn is_full(&self) -> bool {
        self.own_state() == Some(MemberState::Full)
    }

    /// Returns whether this member may start tasks and accept jobs.
    pub fn can_act(&self, now: Instant) -> bool {
        self.is_active && now < self.lease_until
    }

    /// Returns whether each full member's records are copied.
    pub fn is_complete(&self) -> bool {
        let mut full = self.full_members().peekable();
        full.peek().is_some() && full.all(|member| self.complete.contains(&member.id))
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

    /// Returns the followers whose acknowledgement counts for `job`.
    pub fn followers(&self, job: KeyDigest) -> Vec<InstanceId> {
        let order = home_order(&self.view, job);
        let followers = order.into_iter().take(COPIES);
        followers
            .filter(|member| member.id != self.own.id)
            .map(|member| member.id.clone())
            .collect()
    }

    /// Returns the members that hold a copy of `job`, those that are not yet full included.
    pub fn copies(&self, job: KeyDigest) -> BTreeSet<InstanceId> {
        let mut copies = copies(&self.view, job);
        for member in home_order(&self.prospect, job).into_iter().take(COPIES) {
            let present = self.view.member(&member.id);
            if present.is_some_and(|present| present.state == MemberState::Syncing) {
                copies.insert(member.id.clone());
            }
        }
        copies
    }

    /// Returns whether a settled record of `job` must be sent by this member to `receiver`, which is new to it.
    pub fn is_settled_copy_due(&self, receiver: &InstanceId, job: KeyDigest) -> bool {
        let Some(basis) = &self.basis else { return true };
        let is_same_life = |member: &&CellMember| {
            self.view.member(&member.id).is_some_and(|present| {
                present.incarnation == member.incarnation && present.state == MemberState::Full
            })
        };
        let order = home_order(basis, job);
        let mut holders = order.into_iter().take(COPIES).filter(is_same_life);
        let Some(first) = holders.next() else { return true };
        let is_holder = first.id == *receiver || holders.any(|holder| holder.id == *receiver);
        !is_holder && first.id == self.own.id
    }

    /// Appends an update to the streams to `receivers`.
    pub fn push<'a, Receivers>(&mut self, receivers: Receivers, update: &Update)
    where
        Receivers: IntoIterator<Item = &'a InstanceId>,
    {
        for receiver in receivers {
            if let Some(link) = self.links.get_mut(receiver) {
                link.push(update.clone());
            }
        }
    }

    /// Returns whether the seals of all other full members have arrived.
    pub fn is_sealed(&self) -> bool {
        self.full_members()
            .all(|member| member.id == self.own.id || self.seals.contains_key(&member.id))
    }

    /// Makes this member active and works out which history the records of the cell cover; returns whether they cover
    /// none that was before.
    pub fn activate(&mut self, now: Instant) -> bool {
        let mut history = self.history;
        let mut is_lost = self.is_history_lost(&self.open);
        for seal in self.seals.values() {
            is_lost |= self.is_history_lost(&seal.open);
            if let Some(age) = seal.history {
                let since = now - age;
                history = Some(history.map_or(since, |own| own.max(since)));
            }
        }
        let history = history.filter(|_| !is_lost);
        self.history = history.or(Some(now));
        self.open = vec![self.view.clone()];
        self.is_active = true;
        history.is_none()
    }

    /// Returns whether the records of a sealed member are whole.
    fn has_history(&self, id: &InstanceId) -> bool {
        if *id == self.own.id {
            return self.history.is_some();
        }
        self.seals.get(id).is_some_and(|seal| seal.history.is_some())
    }

    /// Returns whether all copies of a job may have been lost since one of the `open` views.
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
                let is_present = self
                    .full_members()
                    .any(|present| present.id == member.id && present.incarnation == member.incarnation);
                lost += usize::from(!is_present || !self.has_history(&member.id));
            }
            if lost >= COPIES.min(full) {
                return true;
            }
        }
        false
    }
}

/// Returns the full members of `view` in the order for `job`: the home first, then the followers.
///
/// The order follows from the digest, so that the place of a job is known when only its digest is remembered.
pub fn home_order(view: &CellView, job: KeyDigest) -> Vec<&CellMember> {
    view.ranked_members(&job.to_string())
}

/// Returns the home and the followers of `job` in `view`.
fn copies(view: &CellView, job: KeyDigest) -> BTreeSet<InstanceId> {
    let order = home_order(view, job);
    order
        .into_iter()
        .take(COPIES)
        .map(|member| member.id.clone())
        .collect()
}
