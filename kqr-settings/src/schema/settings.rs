use kqr_types::{ByteSize, Rate};

use super::{Level, SettingSpec, setting_spec::check};
use crate::values::{Count, Flag, ResubmissionRule, TargetAliases, TimeSpan};

macro_rules! rules {
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
            /// The settings of this group.
            pub const SPECS: &'static [SettingSpec] = &[
                $( SettingSpec {
                    key: $key,
                    levels: $levels,
                    default: $default,
                    bounds: $bounds,
                    description: concat!($($description),+),
                    check: check::<$value>,
                }, )+
            ];

            /// Builds the group from the text that `lookup` returns for each key. A text that is not valid counts as
            /// the default.
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

/// Levels whose values are inherited down to a target.
const INHERITED: &[Level] = &[
    Level::Root,
    Level::Region,
    Level::DataCentre,
    Level::Service,
    Level::Target,
];

rules! {
    /// Settings of requests, tasks and targets, inherited from the root down to a target.
    ServiceSettings, INHERITED,
    /// Deadline of a submission or request that names none.
    deadline: TimeSpan = "deadlines/default", "30s", Some(("1ms", "10m"));
    /// Longest deadline that a caller may name.
    max_deadline: TimeSpan = "deadlines/max", "10m", Some(("1ms", "1h"));
    /// Time within which a target must begin a task after the start was sent.
    start_within: TimeSpan = "deadlines/start", "2s", Some(("10ms", "1m"));
    /// Time after which a target may stop a task.
    task_lease: TimeSpan = "deadlines/lease", "30s", Some(("100ms", "1h"));
    /// Most tasks that wait in one entry.
    max_queued: Count = "limits/queued", "2000", Some(("0", "1000000"));
    /// Largest body of a request or answer.
    max_body: ByteSize = "limits/body", "16MiB", Some(("1KiB", "1GiB"));
    /// Most tasks that one target runs at a time, if it announces more.
    max_slots: Count = "limits/slots", "1024", Some(("1", "65536"));
    /// Most connections to one target, if it announces more.
    max_connections: Count = "limits/connections", "1024", Some(("1", "65536"));
    /// Most tries of a task or idempotent request.
    max_attempts: Count = "retry/attempts", "3", Some(("1", "10"));
    /// Whether idempotent requests may be hedged.
    is_hedging_enabled: Flag = "hedge/enabled", "true", None;
    /// Shortest wait before a hedge.
    hedge_delay: TimeSpan = "hedge/after", "50ms", Some(("1ms", "1m"));
    /// Whether no new work is sent.
    is_draining: Flag = "drain", "false", None;
}

rules! {
    /// Settings of one target only; they are not inherited from other levels.
    TargetSettings, &[Level::Target],
    /// TargetAliases that the target took after its first one, oldest first; all of them resolve to the same identity.
    aliases: TargetAliases = "names", "", None;
}

rules! {
    /// Settings of one team, inherited from the root over the region to the data centre.
    TeamSettings, &[Level::Team],
    /// Task starts a second that the team may use in the long run.
    quota: Rate = "quota", "1000/s", Some(("0/s", "1000000/s"));
    /// Task starts that the team may use beyond its quota after a quiet time.
    burst: Count = "burst", "2000", Some(("0", "10000000"));
    /// How submissions find the home of their key: by the key alone (unmarked), or where the first try arrives
    /// (marked), for callers that number their tries.
    resubmissions: ResubmissionRule = "resubmissions", "unmarked", None;
}

/// Returns the settings that a node of `level` may carry.
pub fn settings_at(level: Level) -> impl Iterator<Item = &'static SettingSpec> {
    let groups = [ServiceSettings::SPECS, TargetSettings::SPECS, TeamSettings::SPECS];
    groups
        .into_iter()
        .flatten()
        .filter(move |rule| rule.levels.contains(&level))
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
