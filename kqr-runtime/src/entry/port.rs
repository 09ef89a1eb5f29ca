use std::future::Future;

use kqr_dispatch::{CallFailure, PollAnswer, PollCall, StartCall, StopCall, TargetPlace, TargetTime};

/// Calls to targets, in the protocol that they speak. Each call is sent at most once.
pub trait TargetPort: Clone + Send + Sync + 'static {
    /// Starts a task. Returns the target's clock.
    fn start(
        &self,
        place: TargetPlace,
        call: StartCall,
    ) -> impl Future<Output = Result<TargetTime, CallFailure>> + Send;

    /// Stops a run. Returns the target's clock.
    fn stop(
        &self,
        place: TargetPlace,
        call: StopCall,
    ) -> impl Future<Output = Result<TargetTime, CallFailure>> + Send;

    /// Looks at the runs, and extends their lease.
    fn poll(
        &self,
        place: TargetPlace,
        call: PollCall,
    ) -> impl Future<Output = Result<PollAnswer, CallFailure>> + Send;
}
