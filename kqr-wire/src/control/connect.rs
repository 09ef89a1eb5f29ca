use std::{error::Error, net::SocketAddr, time::Duration};

use kqr_tls::TransportSecurity;
use kqr_types::InstanceId;
use tonic::{
    Status,
    transport::{Channel, Endpoint},
};

use super::connector::Connector;

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two pings on a watched connection.
const PING_EVERY: Duration = Duration::from_secs(5);
/// Time within which a ping must be answered.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens a plain connection to the listener at `address`.
///
/// # Errors
///
/// Fails if no connection is opened in time; nothing was sent then.
pub async fn connect(address: SocketAddr) -> Result<Channel, Status> {
    let connected = endpoint(address)?.connect().await;
    connected.map_err(|error| refused(address, &error))
}

/// Opens a connection to the instance `peer`, which listens for others at `address`.
///
/// # Errors
///
/// Fails if no connection is opened in time or the other end does not prove to be `peer`; nothing was sent then.
pub async fn connect_instance(
    security: &TransportSecurity,
    peer: &InstanceId,
    address: SocketAddr,
) -> Result<Channel, Status> {
    open(endpoint(address)?, security, peer, address).await
}

/// Opens a connection to an instance that fails once the other end has not answered a ping in time.
///
/// # Errors
///
/// Fails as [`connect_instance`] does.
pub async fn connect_instance_with_keepalive(
    security: &TransportSecurity,
    peer: &InstanceId,
    address: SocketAddr,
) -> Result<Channel, Status> {
    let endpoint = endpoint(address)?
        .http2_keep_alive_interval(PING_EVERY)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true);
    open(endpoint, security, peer, address).await
}

fn endpoint(address: SocketAddr) -> Result<Endpoint, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"));
    let endpoint = endpoint.map_err(|error| Status::invalid_argument(error.to_string()))?;
    Ok(endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true))
}

async fn open(
    endpoint: Endpoint,
    security: &TransportSecurity,
    peer: &InstanceId,
    address: SocketAddr,
) -> Result<Channel, Status> {
    let connector = Connector {
        security: security.clone(),
        peer: peer.clone(),
        address,
    };
    let connected = endpoint.connect_with_connector(connector).await;
    connected.map_err(|error| refused(address, &error))
}

/// Tells the innermost cause: the outer ones only say that the transport failed.
fn refused(address: SocketAddr, error: &dyn Error) -> Status {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    Status::unavailable(format!("connecting to {address}: {cause}"))
}
