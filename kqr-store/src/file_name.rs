/// Name of the file that holds the [`Identity`](crate::Identity).
pub(crate) const IDENTITY: &str = "identity";

/// Name of the file that holds the [`Founding`](crate::Founding).
pub(crate) const FOUNDING: &str = "founding";

/// Suffix of a file that is being written. A rename removes the suffix when the content is synced.
pub(crate) const NEW_SUFFIX: &str = ".new";

const SNAPSHOT_PREFIX: &str = "snapshot-";
const LOG_PREFIX: &str = "log-";

/// Returns the name of the snapshot of `generation`.
pub(crate) fn snapshot(generation: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{generation}")
}

/// Returns the name of the log that follows the snapshot of `generation`.
pub(crate) fn log(generation: u64) -> String {
    format!("{LOG_PREFIX}{generation}")
}

/// Returns the generation in the name of a snapshot, or `None` for other files.
pub(crate) fn snapshot_generation(name: &str) -> Option<u64> {
    name.strip_prefix(SNAPSHOT_PREFIX)?.parse().ok()
}

/// Returns the generation in the name of a snapshot or a log, or `None` for other files.
pub(crate) fn generation(name: &str) -> Option<u64> {
    snapshot_generation(name).or_else(|| name.strip_prefix(LOG_PREFIX)?.parse().ok())
}
