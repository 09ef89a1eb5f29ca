use std::{error::Error, net::SocketAddr, time::Duration};

use kqr_tls::TransportSecurity;
use kqr_types::InstanceId;
use tonic::{
    Status,
    transport::{Channel, Endpoint},
};

use super::connector::Connector;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between keepalive pings.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum time until a keepalive ping is answered.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens a plain connection to the listener at `address`.
///
/// # Errors
///
/// Fails if no connection is opened in time. No request has been sent then.
pub async fn connect(address: SocketAddr) -> Result<Channel, Status> {
    let connected = endpoint(address)?.connect().await;
    connected.map_err(|error| unavailable(address, &error))
}

/// Opens a connection to the instance `peer`, which listens for other instances at `address`.
///
/// # Errors
///
/// Fails if no connection is opened in time or the other end does not prove to be `peer`. No request has been sent then.
pub async fn connect_instance(
    security: &TransportSecurity,
    peer: &InstanceId,
    address: SocketAddr,
) -> Result<Channel, Status> {
    open_channel(endpoint(address)?, security, peer, address).await
}

/// Opens a connection to an instance with keepalive pings: it fails once the other end does not answer a ping in time.
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
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .keep_alive_while_idle(true);
    open_channel(endpoint, security, peer, address).await
}

fn endpoint(address: SocketAddr) -> Result<Endpoint, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"));
    let endpoint = endpoint.map_err(|error| Status::invalid_argument(error.to_string()))?;
    Ok(endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true))
}

async fn open_channel(
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
    connected.map_err(|error| unavailable(address, &error))
}

/// Returns a status with the innermost cause: the outer errors only say that the transport failed.
fn unavailable(address: SocketAddr, error: &dyn Error) -> Status {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    Status::unavailable(format!("connecting to {address}: {cause}"))
}
