use std::collections::BTreeSet;

use kqr_tls::PeerIdentity;
use kqr_types::InstanceId;
use tonic::{Request, Status};

/// Checks whether the certificate of a peer is valid for the instance that the peer claims to be.
#[derive(Clone, Debug)]
pub struct PeerAuthorizer {
    control_instances: BTreeSet<InstanceId>,
}

impl PeerAuthorizer {
    /// Creates the authorizer. Only `control_instances` may vote.
    pub fn new(control_instances: BTreeSet<InstanceId>) -> Self {
        Self { control_instances }
    }

    /// Returns the identity of the peer that sent `call`.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the listener did not add the identity to the call.
    pub fn peer_identity<Body>(call: &Request<Body>) -> Result<PeerIdentity, Status> {
        let identity = call.extensions().get::<PeerIdentity>().cloned();
        identity.ok_or_else(|| Status::internal("the call carries no peer identity"))
    }

    /// Checks that `identity` may follow the settings as `instance`.
    ///
    /// # Errors
    ///
    /// Returns `permission-denied` if the certificate belongs to another instance, or if `instance` is not a
    /// valid id.
    pub fn authorize_follower(identity: &PeerIdentity, instance: &str) -> Result<(), Status> {
        let is_allowed = instance
            .parse()
            .is_ok_and(|instance| identity.can_act_as(&instance));
        if !is_allowed {
            return Err(Status::permission_denied(format!(
                "the certificate does not belong to {instance}"
            )));
        }
        Ok(())
    }

    /// Checks that `identity` may vote on the settings as `instance`.
    ///
    /// # Errors
    ///
    /// Returns `permission-denied` if `instance` is not a control instance, or if the certificate belongs to
    /// another instance.
    pub fn authorize_voter(&self, identity: &PeerIdentity, instance: &InstanceId) -> Result<(), Status> {
        if !self.control_instances.contains(instance) {
            return Err(Status::permission_denied(format!(
                "{instance} is not a control instance"
            )));
        }
        Self::authorize_follower(identity, instance.as_str())
    }
}
