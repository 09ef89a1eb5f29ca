use kqr_membership::CellMessage;

/// A link between two instances, in one direction.
pub(super) type Link = (usize, usize);

/// A message under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Packet {
    pub(super) link: Link,
    pub(super) message: Box<CellMessage>,
}
