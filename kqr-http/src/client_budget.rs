use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::{
    Candidate, ClientLimits, ConnectionTicket, Exhausted, LimitCause, Share, eviction, limits::HEAD_BYTES,
};

/// Size in bytes above which a body may use only three quarters of its share, so that the rest is left for ordinary requests.
const LARGE_BODY_BYTES: usize = 16 << 10;

/// Connections of a process, and the memory that their requests hold.
///
/// Clones share the same state.
#[derive(Clone, Debug)]
pub struct ClientBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limits: ClientLimits,
    table: Mutex<Table>,
    /// Permit to decode a large body, which takes several times its size.
    decoding: Arc<Semaphore>,
}

#[derive(Debug, Default)]
struct Table {
    next_id: u64,
    connections: BTreeMap<u64, Connection>,
    usage: [ShareUsage; Share::ALL.len()],
    /// Number of limited connections and requests that was logged last.
    logged: u64,
}

/// Usage of one share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareUsage {
    /// Open connections.
    pub connections: usize,
    /// Bytes of unparsed heads, bodies and open requests.
    pub held_bytes: usize,
    /// Number of connections and requests that were limited, by cause.
    pub limited: [u64; LimitCause::ALL.len()],
}

#[derive(Debug)]
struct Connection {
    share: Share,
    progressed_at: Instant,
    head_begun_at: Option<Instant>,
    /// Bytes received since the last head was parsed.
    unparsed_bytes: usize,
    /// Bytes of bodies and open requests.
    reserved_bytes: usize,
    /// Requests whose head was parsed and which have not been answered.
    open_requests: usize,
    /// Open requests whose body is being read.
    unread_bodies: usize,
    /// Whether the connection carries several requests at a time, so that bytes outside of requests are not those of a head.
    is_multiplexed: bool,
    /// Whether an answer is being sent and the client does not take it.
    is_write_blocked: bool,
    /// Closes the connection.
    close: CancellationToken,
    /// Ends the reading of the bodies that are open now.
    stop_bodies: CancellationToken,
    /// Number of times that the memory was given up. Reservations of an earlier epoch no longer count.
    epoch: u64,
}

impl Connection {
    const fn held_bytes(&self) -> usize {
        self.unparsed_bytes + self.reserved_bytes
    }

    fn candidate(&self, id: u64) -> Candidate {
        Candidate {
            id,
            held_bytes: self.held_bytes(),
            progressed_at: self.progressed_at,
            is_protected: self.open_requests > self.unread_bodies
                || self.is_write_blocked
                || self.close.is_cancelled(),
        }
    }

    /// Ends the reading of the bodies and returns the bytes that were held.
    fn give_up_memory(&mut self) -> usize {
        std::mem::take(&mut self.stop_bodies).cancel();
        self.epoch += 1;
        std::mem::take(&mut self.unparsed_bytes) + std::mem::take(&mut self.reserved_bytes)
    }
}

impl ClientBudget {
    /// Creates the budget of a process.
    pub fn new(limits: ClientLimits) -> Self {
        let shared = Shared {
            limits,
            table: Mutex::default(),
            decoding: Arc::new(Semaphore::new(1)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &ClientLimits {
        &self.shared.limits
    }

    /// Returns the usage of a share.
    pub fn usage(&self, share: Share) -> ShareUsage {
        self.lock().usage[share as usize]
    }

    /// Waits until no other large body is being decoded. The permit is held while the decoded value is in use.
    pub async fn wait_to_decode(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.shared.decoding).acquire_owned().await.ok()
    }

    /// Takes a connection of `share`, for which another one may be closed. Returns `None` if all others are in use.
    pub fn admit(&self, share: Share) -> Option<ConnectionTicket> {
        let limit = self.shared.limits.share(share).connections;
        let mut table = self.lock();
        while table.usage[share as usize].connections >= limit {
            let Some(victim) = table.choose(share, Exhausted::Connections) else {
                table.count(share, LimitCause::ConnectionRefused);
                return None;
            };
            table.close(victim, LimitCause::ConnectionReplaced);
        }
        let id = table.next_id;
        table.next_id += 1;
        let close = CancellationToken::new();
        table.usage[share as usize].connections += 1;
        let connection = Connection {
            share,
            progressed_at: Instant::now(),
            head_begun_at: None,
            unparsed_bytes: 0,
            reserved_bytes: 0,
            open_requests: 0,
            unread_bodies: 0,
            is_multiplexed: false,
            is_write_blocked: false,
            close: close.clone(),
            stop_bodies: CancellationToken::new(),
            epoch: 0,
        };
        table.connections.insert(id, connection);
        Some(ConnectionTicket::new(self.clone(), id, close))
    }

    /// Closes the connections that are over a time limit, and logs what was limited since the last call.
    pub fn sweep(&self) {
        let limits = &self.shared.limits;
        let now = Instant::now();
        let mut table = self.lock();
        let mut overdue = Vec::new();
        for (id, connection) in &table.connections {
            let is_older = |at: Instant, limit| now.saturating_duration_since(at) > limit;
            if connection.close.is_cancelled() {
                continue;
            }
            if connection
                .head_begun_at
                .is_some_and(|at| is_older(at, limits.head_time))
            {
                overdue.push((*id, LimitCause::HeadTime));
            } else if (connection.open_requests == 0 || connection.is_write_blocked)
                && is_older(connection.progressed_at, limits.idle_time)
            {
                overdue.push((*id, LimitCause::IdleTime));
            }
        }
        for (id, cause) in overdue {
            table.close(id, cause);
        }
        table.log();
    }

    pub(crate) fn record_multiplexed(&self, id: u64) {
        if let Some(connection) = self.lock().connections.get_mut(&id) {
            connection.is_multiplexed = true;
        }
    }

    pub(crate) fn record_read(&self, id: u64, bytes: usize) {
        let mut table = self.lock();
        let Some(connection) = table.connections.get_mut(&id) else {
            return;
        };
        let now = Instant::now();
        connection.progressed_at = now;
        if connection.open_requests > 0 || connection.is_multiplexed {
            return;
        }
        connection.head_begun_at.get_or_insert(now);
        let added = bytes.min(HEAD_BYTES - connection.unparsed_bytes);
        connection.unparsed_bytes += added;
        let share = connection.share;
        let limit = self.shared.limits.share(share).held_bytes;
        table.usage[share as usize].held_bytes += added;
        while table.usage[share as usize].held_bytes > limit {
            let Some(victim) = table.choose(share, Exhausted::Memory) else {
                break;
            };
            table.give_up(victim, LimitCause::MemoryReclaimed);
        }
    }

    pub(crate) fn record_write(&self, id: u64, is_blocked: bool) {
        let mut table = self.lock();
        let Some(connection) = table.connections.get_mut(&id) else {
            return;
        };
        if !is_blocked {
            connection.progressed_at = Instant::now();
        }
        connection.is_write_blocked = is_blocked;
    }

    /// Records that the head of a request was parsed.
    pub(crate) fn begin_request(&self, id: u64) {
        let mut table = self.lock();
        let Some(connection) = table.connections.get_mut(&id) else {
            return;
        };
        let parsed = std::mem::take(&mut connection.unparsed_bytes);
        connection.head_begun_at = None;
        connection.open_requests += 1;
        let share = connection.share;
        table.usage[share as usize].held_bytes -= parsed;
    }

    pub(crate) fn end_request(&self, id: u64) {
        let mut table = self.lock();
        let Some(connection) = table.connections.get_mut(&id) else {
            return;
        };
        connection.open_requests -= 1;
        connection.progressed_at = Instant::now();
    }

    /// Records that a body is being read. Returns what ends the reading.
    pub(crate) fn begin_body(&self, id: u64) -> CancellationToken {
        let mut table = self.lock();
        let Some(connection) = table.connections.get_mut(&id) else {
            return CancellationToken::new();
        };
        connection.unread_bodies += 1;
        connection.stop_bodies.clone()
    }

    pub(crate) fn end_body(&self, id: u64) {
        if let Some(connection) = self.lock().connections.get_mut(&id) {
            connection.unread_bodies -= 1;
        }
    }

    /// Returns the epoch of reservations that are made now.
    pub(crate) fn epoch(&self, id: u64) -> u64 {
        let table = self.lock();
        table
            .connections
            .get(&id)
            .map_or(0, |connection| connection.epoch)
    }

    /// Reserves `bytes` for a request that holds `total` bytes then. Others may be given up for it. Returns whether there is room.
    pub(crate) fn reserve(&self, id: u64, epoch: u64, bytes: usize, total: usize) -> bool {
        let mut table = self.lock();
        let connection = table.connections.get(&id);
        let Some(connection) = connection.filter(|connection| connection.epoch == epoch) else {
            return false;
        };
        let share = connection.share;
        let limit = self.shared.limits.share(share).held_bytes;
        let limit = if total > LARGE_BODY_BYTES {
            limit / 4 * 3
        } else {
            limit
        };
        while table.usage[share as usize].held_bytes.saturating_add(bytes) > limit {
            let victim = table.choose_other_than(id, share);
            let Some(victim) = victim else {
                table.count(share, LimitCause::RequestRefused);
                return false;
            };
            table.give_up(victim, LimitCause::MemoryReclaimed);
        }
        table.usage[share as usize].held_bytes += bytes;
        if let Some(connection) = table.connections.get_mut(&id) {
            connection.reserved_bytes += bytes;
        }
        true
    }

    pub(crate) fn release(&self, id: u64, epoch: u64, bytes: usize) {
        let mut table = self.lock();
        let connection = table.connections.get_mut(&id);
        let Some(connection) = connection.filter(|connection| connection.epoch == epoch) else {
            return;
        };
        connection.reserved_bytes -= bytes;
        let share = connection.share;
        table.usage[share as usize].held_bytes -= bytes;
    }

    pub(crate) fn remove(&self, id: u64) {
        let mut table = self.lock();
        let Some(connection) = table.connections.remove(&id) else {
            return;
        };
        let usage = &mut table.usage[connection.share as usize];
        usage.held_bytes -= connection.held_bytes();
        if !connection.close.is_cancelled() {
            usage.connections -= 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.shared.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    fn choose(&self, share: Share, exhausted: Exhausted) -> Option<u64> {
        let connections = self.connections.iter();
        let candidates = connections.filter(|(_, connection)| connection.share == share);
        eviction::choose(
            exhausted,
            candidates.map(|(id, connection)| connection.candidate(*id)),
        )
    }

    /// Chooses a connection to give up for the memory of `own`.
    fn choose_other_than(&self, own: u64, share: Share) -> Option<u64> {
        let connections = self.connections.iter();
        let candidates = connections.filter(|(id, connection)| connection.share == share && **id != own);
        let candidates = candidates.map(|(id, connection)| connection.candidate(*id));
        eviction::choose(Exhausted::Memory, candidates)
    }

    /// Gives up the bodies of a connection, whose requests are then refused, or closes it if it has no open request.
    fn give_up(&mut self, id: u64, cause: LimitCause) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.open_requests == 0 {
            self.close(id, cause);
            return;
        }
        let released = connection.give_up_memory();
        let share = connection.share;
        self.usage[share as usize].held_bytes -= released;
        self.count(share, cause);
    }

    /// Closes a connection, which no longer counts.
    fn close(&mut self, id: u64, cause: LimitCause) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.close.cancel();
        let released = connection.give_up_memory();
        let share = connection.share;
        let usage = &mut self.usage[share as usize];
        usage.held_bytes -= released;
        usage.connections -= 1;
        self.count(share, cause);
    }

    fn count(&mut self, share: Share, cause: LimitCause) {
        self.usage[share as usize].limited[cause as usize] += 1;
    }

    /// Logs the totals if they have changed.
    fn log(&mut self) {
        let limited = self.usage.iter().flat_map(|usage| usage.limited).sum();
        if limited == self.logged {
            return;
        }
        self.logged = limited;
        for share in Share::ALL {
            let usage = self.usage[share as usize];
            log::warn!(
                "clients were limited ({}): {} connections, {} bytes held, totals by cause {:?}",
                share.as_str(),
                usage.connections,
                usage.held_bytes,
                LimitCause::ALL.map(|cause| (cause.as_str(), usage.limited[cause as usize]))
            );
        }
    }
}
