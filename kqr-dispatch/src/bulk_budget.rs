/// Bytes of bulk messages that may be sent now. Without a rate of the link there is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BulkBudget(Option<u64>);

impl BulkBudget {
    /// Creates a budget of `bytes`.
    pub(crate) const fn limited(bytes: u64) -> Self {
        Self(Some(bytes))
    }

    /// Returns whether another message may be sent. The last one may exceed the budget.
    pub(crate) const fn has_room(self) -> bool {
        !matches!(self.0, Some(0))
    }

    /// Deducts a message, whose size is determined only if there is a limit.
    pub(crate) fn spend<Size>(&mut self, size: Size)
    where
        Size: FnOnce() -> u64,
    {
        if let Some(bytes) = &mut self.0 {
            *bytes = bytes.saturating_sub(size());
        }
    }
}
