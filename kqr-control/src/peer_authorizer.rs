use std::collections::BTreeSet;

use kqr_tls::PeerIdentity;
use kqr_types::InstanceId;
use tonic::{Request, Status};

/// Checks whether the other end of a connection may speak for the instance that it names.
#[derive(Clone, Debug)]
pub struct PeerAuthorizer {
    control_instances: BTreeSet<InstanceId>,
}

impl PeerAuthorizer {
    /// Creates the check; `control_instances` are the control instances.
    pub fn new(control_instances: BTreeSet<InstanceId>) -> Self {
        Self { control_instances }
    }

    /// Returns who sent `call`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener does not tell.
    pub fn peer_identity<Body>(call: &Request<Body>) -> Result<PeerIdentity, Status> {
        let identity = call.extensions().get::<PeerIdentity>().cloned();
        identity.ok_or_else(|| Status::internal("the listener does not tell who is at the other end"))
    }

    /// Checks that `identity` may follow the settings as `instance`.
    ///
    /// # Errors
    ///
    /// Returns `permission-denied` if its certificate is that of another instance.
    pub fn authorize_follower(identity: &PeerIdentity, instance: &str) -> Result<(), Status> {
        let is_allowed = instance.parse().is_ok_and(|instance| identity.may_be(&instance));
        if !is_allowed {
            return Err(Status::permission_denied(format!(
                "the certificate is not that of {instance}"
            )));
        }
        Ok(())
    }

    /// Checks that `identity` may vote on the settings as `instance`.
    ///
    /// # Errors
    ///
    /// Returns `permission-denied` if `instance` is no control instance, or the certificate is that of another one.
    pub fn authorize_voter(&self, identity: &PeerIdentity, instance: &InstanceId) -> Result<(), Status> {
        if !self.control_instances.contains(instance) {
            return Err(Status::permission_denied(format!(
                "{instance} is no control instance"
            )));
        }
        Self::authorize_follower(identity, instance.as_str())
    }
}
