//! Links between the simulated entries.

use kqr_dispatch::{Input, SiblingMessage};
use kqr_types::{InstanceId, Instant};

use super::{Event, LATENCY_MS, LINK_TIMEOUT_MS, Simulation};

impl Simulation {
    pub(super) fn send(&mut self, from: usize, to: &InstanceId, message: SiblingMessage) {
        let Some(to) = self.entries.iter().position(|entry| entry.info.id == *to) else {
            return;
        };
        if self.entries[from]
            .blocked
            .get(&to)
            .is_some_and(|until| *until > self.now)
        {
            return;
        }
        if self.is_cut(from, to) || !self.entries[to].is_up || self.entries[to].is_suspended {
            self.entries[from].sessions_to.remove(&to);
            self.entries[from].blocked.insert(to, self.now + LINK_TIMEOUT_MS);
            let sibling = self.entries[to].info.id.clone();
            self.schedule(
                LINK_TIMEOUT_MS,
                Event::Input(from, Box::new(Input::LinkLost { sibling })),
            );
            return;
        }
        let session = match self.entries[from].sessions_to.get(&to) {
            Some(session) => *session,
            None => self.open_session(from, to),
        };
        let message = Box::new(message);
        self.schedule(
            LATENCY_MS,
            Event::Message {
                from,
                to,
                session,
                message,
            },
        );
    }

    pub(super) fn open_session(&mut self, from: usize, to: usize) -> u64 {
        let sibling = self.entries[from].info.id.clone();
        let now = Instant(self.now * 1000);
        let (session, is_next) = self.entries[to].sessions.open(now, &sibling);
        self.entries[from].sessions_to.insert(to, session);
        if is_next {
            let dropped = self.entries[from]
                .dispatcher
                .last_dropped_order(&self.entries[to].info.id);
            self.schedule(
                0,
                Event::Input(to, Box::new(Input::SessionOpened { sibling, dropped })),
            );
        }
        session
    }

    pub(super) fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut_links.contains(&(one, other)) || self.cut_links.contains(&(other, one))
    }

    pub(super) fn message(&mut self, from: usize, to: usize, session: u64, message: Box<SiblingMessage>) {
        if self.entries[to].is_suspended {
            let event = Event::Message {
                from,
                to,
                session,
                message,
            };
            self.entries[to].deferred.push(event);
            return;
        }
        let sibling = self.entries[from].info.id.clone();
        let now = Instant(self.now * 1000);
        let silence = self.options.sibling_timeout;
        let accepted = self.entries[to]
            .sessions
            .accept(now, &sibling, session, 0, 0, silence);
        if accepted.is_some() {
            let message = *message;
            self.input(
                to,
                Input::MessageReceived {
                    from: sibling,
                    message,
                },
            );
            return;
        }
        if self.entries[from].sessions_to.get(&to) == Some(&session) {
            self.entries[from].sessions_to.remove(&to);
            self.entries[from].blocked.insert(to, self.now + 2 * LATENCY_MS);
            let sibling = self.entries[to].info.id.clone();
            self.schedule(
                LATENCY_MS,
                Event::Input(from, Box::new(Input::LinkLost { sibling })),
            );
        }
    }
}
