//! HTTP on top of hyper: a server with graceful shutdown, a client with timeouts, and size-limited bodies.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod body;
mod client;
mod peer_connection;
mod peer_pool;
mod server;

pub use body::{BodyError, BodyLimits, empty_response, json_response, read_body, read_json, text_response};
pub use client::{Client, ClientError, ClientOptions};
pub use peer_connection::PeerConnection;
pub use peer_pool::PeerPool;
pub use server::{ServerOptions, serve, yield_to_connection};
