//! Links between the simulated entries: one delivery at a time, which is retried until the link counts as lost.

use kqr_dispatch::{Delivery, Input, OrderId, Outbox, ReceiverClock, ReceiverTime, SiblingMessage};
use kqr_types::{Incarnation, InstanceId, Instant};

use super::{Event, LATENCY_MS, Simulation};

/// Time after which a link with undelivered messages is reported lost.
const LINK_TIMEOUT_MS: u64 = 600;
/// Timeout of a connection attempt, of the opening of a session and of a delivery.
const DELIVERY_TIMEOUT_MS: u64 = 250;
/// Delay after a failed delivery.
const RETRY_DELAY_MS: u64 = 30;
/// Size of a delivery without its messages, and of its answer, which passes the link of the receiver.
const DELIVERY_BYTES: u64 = 130;
const ANSWER_BYTES: u64 = 40;
/// Maximum number of messages in one delivery.
const MAX_BATCH_MESSAGES: usize = 256;

/// Outgoing link to one incarnation of a sibling.
#[derive(Default)]
pub(super) struct Link {
    pub(super) sibling_incarnation: Incarnation,
    pub(super) outbox: Outbox,
    /// Number of losses of the link when the current delivery started.
    losses: u64,
    is_connected: bool,
    session: Option<u64>,
    receiver_clock: ReceiverClock,
    next_message: u64,
    /// Messages being delivered, with the start of their delivery.
    delivery: Option<(Vec<SiblingMessage>, u64)>,
    /// Number of the current request; answers to earlier ones are ignored.
    request: u64,
}

/// Request to a sibling.
#[derive(Clone, Debug)]
pub(super) enum LinkRequest {
    Connect,
    Open { dropped: OrderId },
    Deliver(Delivery),
}

/// Answer to a [`LinkRequest`].
#[derive(Clone, Copy, Debug)]
pub(super) enum LinkAnswer {
    Connected,
    Opened(u64, ReceiverTime),
    Delivered(Option<ReceiverTime>),
}

/// An event of the link between `from` and `to`.
#[derive(Clone, Debug)]
pub(super) enum LinkEvent {
    Request(LinkRequest),
    Answer(LinkAnswer),
    Timeout,
    Retry,
}

impl LinkEvent {
    /// Returns whether the event concerns the sender of messages, and not their receiver.
    pub(super) const fn is_for_sender(&self) -> bool {
        !matches!(self, Self::Request(_))
    }

    /// Returns whether the kernel handles the event, even if the process is suspended.
    pub(super) const fn is_for_kernel(&self) -> bool {
        matches!(self, Self::Request(LinkRequest::Connect))
    }
}

impl Simulation {
    pub(super) fn send(&mut self, from: usize, to: &InstanceId, message: SiblingMessage) {
        let known = self.entries[from].dispatcher.siblings();
        let Some(sibling) = known.into_iter().find(|sibling| sibling.id == *to) else {
            return;
        };
        let Some(to) = self.entries.iter().position(|entry| entry.info.id == *to) else {
            return;
        };
        let link = self.entries[from].links.entry(to).or_default();
        if link.sibling_incarnation != sibling.incarnation {
            let outbox = if self.options.link_rate.is_some() {
                Outbox::with_priorities()
            } else {
                Outbox::default()
            };
            *link = Link {
                outbox,
                sibling_incarnation: sibling.incarnation,
                request: link.request + 1,
                ..Link::default()
            };
        }
        link.outbox.push(message);
        self.start_delivery(from, to);
    }

    pub(super) fn link_event(&mut self, from: usize, to: usize, number: u64, event: LinkEvent) {
        match event {
            LinkEvent::Request(request) => {
                if let Some(answer) = self.link_request(from, to, request) {
                    let is_lost = self.is_cut(to, from)
                        || (matches!(answer, LinkAnswer::Delivered(_))
                            && self.lost_answers.contains(&(from, to)));
                    if !is_lost {
                        let delay = self.sending_time(to, ANSWER_BYTES) + self.delay(to, from);
                        self.schedule_link(delay, from, to, number, LinkEvent::Answer(answer));
                    }
                }
                return;
            }
            _ if !self.entries[from].is_up => return,
            _ => {}
        }
        let now = self.now;
        let Some(link) = self.entries[from].links.get_mut(&to) else {
            return;
        };
        if link.request != number {
            return;
        }
        if link.losses != link.outbox.losses() && !matches!(event, LinkEvent::Timeout) {
            // The link was reset meanwhile.
            link.is_connected = link.is_connected && !matches!(event, LinkEvent::Retry);
            link.delivery = None;
            link.request += 1;
            self.start_delivery(from, to);
            return;
        }
        match event {
            LinkEvent::Request(_) => {}
            LinkEvent::Answer(LinkAnswer::Connected) => {
                link.is_connected = true;
                self.send_request(from, to);
            }
            LinkEvent::Answer(LinkAnswer::Opened(session, reading)) => {
                link.receiver_clock.record(Instant(now * 1000), reading);
                link.session = Some(session);
                link.next_message = 0;
                self.send_request(from, to);
            }
            LinkEvent::Answer(LinkAnswer::Delivered(Some(reading))) => {
                link.receiver_clock.record(Instant(now * 1000), reading);
                let (messages, _) = link.delivery.take().unwrap_or_default();
                link.next_message += messages.len() as u64;
                link.outbox.acknowledge_batch();
                link.request += 1;
                self.start_delivery(from, to);
            }
            LinkEvent::Answer(LinkAnswer::Delivered(None)) => self.lose_link(from, to),
            LinkEvent::Timeout => {
                link.is_connected = false;
                link.request += 1;
                let number = link.request;
                self.schedule_link(RETRY_DELAY_MS, from, to, number, LinkEvent::Retry);
            }
            LinkEvent::Retry => {
                let started = link.delivery.as_ref().map_or(now, |(_, started)| *started);
                if now < started + LINK_TIMEOUT_MS {
                    self.send_request(from, to);
                } else {
                    self.lose_link(from, to);
                }
            }
        }
    }

    fn start_delivery(&mut self, from: usize, to: usize) {
        let now = self.now;
        let Some(link) = self.entries[from].links.get_mut(&to) else {
            return;
        };
        if link.delivery.is_some() {
            return;
        }
        let messages = link.outbox.next_batch(MAX_BATCH_MESSAGES);
        if link.losses != link.outbox.losses() {
            link.losses = link.outbox.losses();
            link.session = None;
        }
        if !messages.is_empty() {
            link.delivery = Some((messages, now));
            self.send_request(from, to);
        }
    }

    fn lose_link(&mut self, from: usize, to: usize) {
        let sibling = self.entries[to].info.id.clone();
        let Some(link) = self.entries[from].links.get_mut(&to) else {
            return;
        };
        link.delivery = None;
        link.request += 1;
        self.input(from, Input::LinkLost { sibling });
        self.start_delivery(from, to);
    }

    /// Sends the next request of the current delivery.
    fn send_request(&mut self, from: usize, to: usize) {
        let (now, sibling) = (self.now, self.entries[to].info.id.clone());
        let dropped = self.entries[from].dispatcher.last_dropped_order(&sibling);
        let Some(link) = self.entries[from].links.get_mut(&to) else {
            return;
        };
        let request = match (link.session, &link.delivery) {
            _ if !link.is_connected => LinkRequest::Connect,
            (None, _) => LinkRequest::Open { dropped },
            (Some(session), Some((messages, _))) => LinkRequest::Deliver(Delivery {
                session,
                first: link.next_message,
                sent_at: link.receiver_clock.at(Instant(now * 1000)),
                messages: messages.clone(),
            }),
            (Some(_), None) => return,
        };
        link.request += 1;
        let number = link.request;
        if !self.is_cut(from, to) {
            let delay = self.transmission_time(from, &request) + self.delay(from, to);
            self.schedule_link(delay, from, to, number, LinkEvent::Request(request));
        }
        self.schedule_link(DELIVERY_TIMEOUT_MS, from, to, number, LinkEvent::Timeout);
    }

    /// Handles a request at its receiver.
    fn link_request(&mut self, from: usize, to: usize, request: LinkRequest) -> Option<LinkAnswer> {
        if !self.entries[to].is_up {
            return None;
        }
        let sibling = self.entries[from].info.id.clone();
        let now = Instant(self.now * 1000);
        match request {
            LinkRequest::Connect => Some(LinkAnswer::Connected),
            LinkRequest::Open { dropped } => {
                let (session, is_replacement) = self.entries[to].sessions.open(now, &sibling);
                if is_replacement {
                    self.input(to, Input::SessionOpened { sibling, dropped });
                }
                Some(LinkAnswer::Opened(session, ReceiverTime(now)))
            }
            LinkRequest::Deliver(delivery) => {
                let timeout = self.options.sibling_timeout;
                let sessions = &mut self.entries[to].sessions;
                let Some(duplicates) = sessions.accept(now, &sibling, &delivery, timeout) else {
                    return Some(LinkAnswer::Delivered(None));
                };
                for message in delivery.messages.into_iter().skip(duplicates as usize) {
                    let input = Input::MessageReceived {
                        from: sibling.clone(),
                        sent_at: delivery.sent_at.0,
                        message,
                    };
                    self.input(to, input);
                }
                Some(LinkAnswer::Delivered(Some(ReceiverTime(now))))
            }
        }
    }

    fn schedule_link(&mut self, millis: u64, from: usize, to: usize, number: u64, event: LinkEvent) {
        let event = Event::Link {
            from,
            to,
            number,
            event,
        };
        self.schedule(millis, event);
    }

    /// Returns the time until `from` has sent a request over its own link, behind earlier ones, if that has a rate.
    fn transmission_time(&mut self, from: usize, request: &LinkRequest) -> u64 {
        let LinkRequest::Deliver(delivery) = request else {
            return 0;
        };
        if self.link_bytes_per_ms.is_none() {
            return 0;
        }
        let bytes = DELIVERY_BYTES + bincode::serialized_size(&delivery.messages).unwrap();
        self.sending_time(from, bytes)
    }

    /// Returns the time until `from` has sent `bytes` over its own link, behind earlier ones, if that has a rate.
    pub(super) fn sending_time(&mut self, from: usize, bytes: u64) -> u64 {
        let Some(rate) = self.link_bytes_per_ms else {
            return 0;
        };
        let free_at = self.link_free_at.entry(from).or_default();
        *free_at = (*free_at).max(self.now * 1000) + bytes * 1000 / rate;
        (*free_at).div_ceil(1000) - self.now
    }

    fn delay(&self, from: usize, to: usize) -> u64 {
        self.delays.get(&(from, to)).copied().unwrap_or(LATENCY_MS)
    }

    /// Returns whether messages from `from` to `to` are lost.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut_paths.contains(&(from, to))
            || self.cut_links.contains(&(from, to))
            || self.cut_links.contains(&(to, from))
    }
}
