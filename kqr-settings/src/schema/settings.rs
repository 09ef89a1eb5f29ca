use kqr_types::{ByteSize, Rate};

use super::{Level, SettingSpec, setting_spec::validate_value};
use crate::values::{Count, Flag, ResubmissionRule, TargetAliases, TimeSpan};

macro_rules! settings {
    (
        $(#[$doc:meta])* $name:ident, $levels:expr,
        $( $(#[doc = $description:literal])+ $field:ident: $value:ty = $key:literal, $default:literal, $bounds:expr; )+
    ) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $( $(#[doc = $description])+ pub $field: $value, )+
        }

        impl $name {
            /// Definitions of the settings in this group.
            pub const SPECS: &'static [SettingSpec] = &[
                $( SettingSpec {
                    key: $key,
                    levels: $levels,
                    default: $default,
                    bounds: $bounds,
                    description: concat!($($description),+),
                    validate: validate_value::<$value>,
                }, )+
            ];

            /// Parses the text that `lookup` returns for each key. A missing or invalid text yields the
            /// default.
            pub fn from_texts<'text, Lookup>(lookup: Lookup) -> Self
            where
                Lookup: Fn(&'static str) -> Option<&'text str>,
            {
                Self {
                    $( $field: parse_or_default(lookup($key), $default), )+
                }
            }
        }
    };
}

/// Kinds of nodes on the inheritance path from the root to a target.
const INHERITED: &[Level] = &[
    Level::Root,
    Level::Region,
    Level::DataCentre,
    Level::Service,
    Level::Target,
];

settings! {
    /// Settings for the requests, tasks and targets of a service, inherited from the root down to a target.
    ServiceSettings, INHERITED,
    /// Deadline of a submission or request that specifies none.
    deadline: TimeSpan = "deadlines/default", "30s", Some(("1ms", "10m"));
    /// Maximum deadline that a caller may specify.
    max_deadline: TimeSpan = "deadlines/max", "10m", Some(("1ms", "1h"));
    /// Time within which a target must begin a task after the start order was sent.
    start_within: TimeSpan = "deadlines/start", "2s", Some(("10ms", "1m"));
    /// Lease of a task, after which its target may stop it.
    task_lease: TimeSpan = "deadlines/lease", "30s", Some(("100ms", "1h"));
    /// Maximum number of tasks that wait in the queue of one entry.
    max_queued: Count = "limits/queued", "2000", Some(("0", "1000000"));
    /// Maximum size of the body of a request or answer.
    max_body: ByteSize = "limits/body", "16MiB", Some(("1KiB", "1GiB"));
    /// Maximum number of tasks that one target runs concurrently, even if it announces more slots.
    max_slots: Count = "limits/slots", "1024", Some(("1", "65536"));
    /// Maximum number of connections to one target, even if it announces more.
    max_connections: Count = "limits/connections", "1024", Some(("1", "65536"));
    /// Maximum number of attempts of a task or an idempotent request.
    max_attempts: Count = "retry/attempts", "3", Some(("1", "10"));
    /// Whether idempotent requests may be hedged.
    is_hedging_enabled: Flag = "hedge/enabled", "true", None;
    /// Minimum delay before a hedged request is sent.
    hedge_delay: TimeSpan = "hedge/after", "50ms", Some(("1ms", "1m"));
    /// Whether targets are drained: they receive no new work.
    is_draining: Flag = "drain", "false", None;
}

settings! {
    /// Settings of a single target, which are not inherited from other kinds of nodes.
    TargetSettings, &[Level::Target],
    /// Aliases that the target was given after its first name, oldest first; all of them resolve to the same
    /// identity.
    aliases: TargetAliases = "names", "", None;
}

settings! {
    /// Settings of one team, inherited from the root through the region to the data centre.
    TeamSettings, &[Level::Team],
    /// Sustained rate of task starts of the team, per second.
    quota: Rate = "quota", "1000/s", Some(("0/s", "1000000/s"));
    /// Number of task starts by which the team may exceed its quota after a period of low use.
    burst: Count = "burst", "2000", Some(("0", "10000000"));
    /// How the home of a submission's key is determined: from the key alone (unmarked), or as the data centre
    /// where the first submission arrives (marked), for callers that number their submissions of a key.
    resubmissions: ResubmissionRule = "resubmissions", "unmarked", None;
}

/// Returns the definitions of the settings that a node of `level` may contain.
pub fn settings_at(level: Level) -> impl Iterator<Item = &'static SettingSpec> {
    let groups = [ServiceSettings::SPECS, TargetSettings::SPECS, TeamSettings::SPECS];
    groups
        .into_iter()
        .flatten()
        .filter(move |spec| spec.levels.contains(&level))
}

fn parse_or_default<Value>(text: Option<&str>, default: &str) -> Value
where
    Value: std::str::FromStr + Default,
{
    if let Some(Ok(value)) = text.map(str::parse) {
        return value;
    }
    default.parse().unwrap_or_default()
}
