/// Name of the file that holds the identity.
pub(crate) const IDENTITY: &str = "identity";

/// Name of the file that tells with which other folders a system was founded.
pub(crate) const FOUNDING: &str = "founding";

/// Ending of a file that is being written.
pub(crate) const NEW: &str = ".new";

const SNAPSHOT: &str = "snapshot-";
const LOG: &str = "log-";

/// Returns the name of the snapshot of `generation`.
pub(crate) fn snapshot(generation: u64) -> String {
    format!("{SNAPSHOT}{generation}")
}

/// Returns the name of the log that follows the snapshot of `generation`.
pub(crate) fn log(generation: u64) -> String {
    format!("{LOG}{generation}")
}

/// Returns the generation of a snapshot's name.
pub(crate) fn snapshot_generation(name: &str) -> Option<u64> {
    name.strip_prefix(SNAPSHOT)?.parse().ok()
}

/// Returns the generation of a snapshot's or a log's name.
pub(crate) fn generation(name: &str) -> Option<u64> {
    snapshot_generation(name).or_else(|| name.strip_prefix(LOG)?.parse().ok())
}
