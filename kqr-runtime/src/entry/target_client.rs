use std::future::Future;

use kqr_dispatch::{CallFailure, PollAnswer, PollCall, StartCall, StopCall, TargetEndpoint, TargetTime};

/// Calls to targets, in the protocol that they speak. Each call is sent at most once.
pub trait TargetClient: Clone + Send + Sync + 'static {
    /// Starts a task. Returns the target's clock.
    fn start(
        &self,
        place: TargetEndpoint,
        call: StartCall,
    ) -> impl Future<Output = Result<TargetTime, CallFailure>> + Send;

    /// Stops a run. Returns the target's clock.
    fn stop(
        &self,
        place: TargetEndpoint,
        call: StopCall,
    ) -> impl Future<Output = Result<TargetTime, CallFailure>> + Send;

    /// Looks at the runs, and extends their lease.
    fn poll(
        &self,
        place: TargetEndpoint,
        call: PollCall,
    ) -> impl Future<Output = Result<PollAnswer, CallFailure>> + Send;
}
