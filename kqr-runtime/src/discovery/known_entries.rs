use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use kqr_fleet::EntryInfo;

use super::PORT_OFFSET;

/// Time without an exchange after which an entry may have restarted: several exchange intervals.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// Time without an exchange after which an entry counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(60);

/// The entries that exchanged state with a control instance lately.
#[derive(Debug, Default)]
pub(crate) struct KnownEntries {
    /// When each entry was last heard, by discovery address.
    heard_at: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl KnownEntries {
    /// Records an exchange with an entry.
    pub(crate) fn record(&self, entry: &EntryInfo) {
        let port = entry.siblings.port().saturating_add(PORT_OFFSET);
        let address = SocketAddr::new(entry.siblings.ip(), port);
        let mut heard_at = self.heard_at.lock().unwrap_or_else(PoisonError::into_inner);
        heard_at.insert(address, Instant::now());
    }

    /// Returns the entries that have fallen silent. After a restart they may know no control instance, and neither may
    /// their seeds.
    pub(crate) fn silent(&self) -> Vec<SocketAddr> {
        let mut heard_at = self.heard_at.lock().unwrap_or_else(PoisonError::into_inner);
        heard_at.retain(|_, at| at.elapsed() < GONE_AFTER);
        let silent = heard_at.iter().filter(|(_, at)| at.elapsed() >= SILENT_AFTER);
        silent.map(|(address, _)| *address).collect()
    }
}
