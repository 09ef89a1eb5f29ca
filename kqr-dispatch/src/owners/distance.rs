/// Distance of an owner from this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    /// This entry itself, which needs no message.
    Own,
    /// Another entry of the data centre.
    Near,
    /// An entry of another data centre.
    Far,
}
