use std::fmt;

/// Kind of a node in the settings tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// The root node, which applies to the whole system.
    Root,
    /// A region.
    Region,
    /// A data centre.
    DataCentre,
    /// A service, defined for the whole system, a region or a data centre.
    Service,
    /// A target of a service.
    Target,
    /// A team, defined for the whole system, a region or a data centre.
    Team,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Root => "root",
            Self::Region => "region",
            Self::DataCentre => "data centre",
            Self::Service => "service",
            Self::Target => "target",
            Self::Team => "team",
        })
    }
}
