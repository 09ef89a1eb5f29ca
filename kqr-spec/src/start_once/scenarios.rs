//! The scenarios that are searched.

use super::{Budget, Scenario};

/// A scenario of one task without any fault.
pub const PLAIN: Scenario = Scenario {
    name: "plain",
    members: 2,
    full: 2,
    tasks: 1,
    budget: NOTHING,
    fault: None,
    is_late: false,
    is_unfenced: false,
};

/// No event but two changes of the epoch.
const NOTHING: Budget = Budget {
    submissions: 0,
    copies: 0,
    cancels: 0,
    renounces: 0,
    duplicates: 0,
    epochs: 2,
    crashes: 0,
    restarts: 0,
    expiries: 0,
    target_restarts: 0,
    failures: 0,
};

/// Takeover after a crash.
pub const TAKEOVER: Scenario = Scenario {
    name: "takeover after a crash",
    budget: Budget {
        submissions: 2,
        duplicates: 1,
        crashes: 1,
        ..NOTHING
    },
    ..PLAIN
};

/// Two crashes of three members.
pub const TAKEOVER_OF_THREE: Scenario = Scenario {
    name: "two crashes of three members",
    members: 3,
    full: 3,
    budget: Budget {
        submissions: 2,
        crashes: 2,
        ..NOTHING
    },
    ..PLAIN
};

/// Home cut off but alive, a copy at the other member.
pub const CUT_OFF: Scenario = Scenario {
    name: "home cut off but alive, a copy at the other member",
    budget: Budget {
        submissions: 1,
        copies: 1,
        expiries: 1,
        ..NOTHING
    },
    ..PLAIN
};

/// Home cut off but alive, then the other member crashes.
pub const CUT_OFF_THEN_CRASH: Scenario = Scenario {
    name: "home cut off but alive, then the other member crashes",
    budget: Budget {
        submissions: 2,
        expiries: 1,
        crashes: 1,
        ..NOTHING
    },
    ..PLAIN
};

/// A member joins, becomes the home, and the other crashes.
pub const REPAIR: Scenario = Scenario {
    name: "a member joins, becomes the home, and the other crashes",
    full: 1,
    budget: Budget {
        submissions: 2,
        crashes: 1,
        ..NOTHING
    },
    ..PLAIN
};

/// Home crashes and restarts, then the follower crashes.
pub const REPAIR_AFTER_CRASH: Scenario = Scenario {
    name: "home crashes and restarts, then the follower crashes",
    budget: Budget {
        submissions: 2,
        epochs: 4,
        crashes: 2,
        restarts: 1,
        ..NOTHING
    },
    ..PLAIN
};

/// Cancel, crash, and a resubmission.
pub const CANCEL: Scenario = Scenario {
    name: "cancel, crash, and a resubmission",
    budget: Budget {
        submissions: 2,
        cancels: 1,
        crashes: 1,
        ..NOTHING
    },
    ..PLAIN
};

/// Another data centre asks for the key, and a crash.
pub const RENOUNCED: Scenario = Scenario {
    name: "another data centre asks for the key, and a crash",
    budget: Budget {
        submissions: 1,
        copies: 1,
        renounces: 1,
        crashes: 1,
        ..NOTHING
    },
    ..PLAIN
};

/// Two tasks, one may fail, and a crash.
pub const TWO_TASKS: Scenario = Scenario {
    name: "two tasks, one may fail, and a crash",
    tasks: 2,
    budget: Budget {
        submissions: 1,
        crashes: 1,
        failures: 1,
        ..NOTHING
    },
    ..PLAIN
};

/// Target restarts and home crashes.
pub const TARGET_RESTARTS: Scenario = Scenario {
    name: "target restarts and home crashes",
    budget: Budget {
        submissions: 2,
        crashes: 1,
        target_restarts: 1,
        ..NOTHING
    },
    ..PLAIN
};

/// All records are lost.
pub const COLD_START: Scenario = Scenario {
    name: "all records are lost",
    budget: Budget {
        submissions: 2,
        crashes: 2,
        restarts: 1,
        ..NOTHING
    },
    ..PLAIN
};

/// The only member is cut off, and another one starts anew.
pub const LATE: Scenario = Scenario {
    name: "the only member is cut off, and another one starts anew",
    full: 1,
    is_late: true,
    budget: Budget {
        submissions: 1,
        copies: 1,
        epochs: 1,
        expiries: 1,
        ..NOTHING
    },
    ..PLAIN
};
