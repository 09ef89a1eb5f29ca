//! HTTP on top of hyper: a server with graceful shutdown, a client with timeouts, size-limited bodies, and limits on
//! what all clients together may take.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod body;
mod client;
mod client_budget;
mod connection_ticket;
mod eviction;
mod limit_cause;
mod limits;
mod peer_connection;
mod peer_pool;
mod request_scope;
mod reservation;
mod server;
mod share;
mod tracked_body;
mod tracked_io;

pub use body::{
    BodyError, BodyLimits, empty_response, json_response, read_body, read_json, read_request_body,
    text_response,
};
pub use client::{Client, ClientError, ClientOptions};
pub use client_budget::{ClientBudget, ShareUsage};
pub use connection_ticket::ConnectionTicket;
pub use eviction::{Candidate, Exhausted, choose};
pub use limit_cause::LimitCause;
pub use limits::{
    ClientLimits, DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_BYTES, HEAD_BYTES, MachineCapacity, Service,
    ShareLimits,
};
pub use peer_connection::PeerConnection;
pub use peer_pool::PeerPool;
pub use request_scope::RequestScope;
pub use reservation::Reservation;
pub use server::{ServerOptions, refusal, serve, serve_within, yield_to_connection};
pub use share::Share;
