use std::future::Future;

use kqr_dispatch::{CallFailure, PollAnswer, PollCall, StartCall, StopCall, TargetEndpoint, TargetTime};

/// Client for the protocol of the targets. Each call is sent at most once.
pub trait TargetClient: Clone + Send + Sync + 'static {
    /// Starts a task. Returns the clock of the target.
    fn start(
        &self,
        endpoint: TargetEndpoint,
        call: StartCall,
    ) -> impl Future<Output = Result<TargetTime, CallFailure>> + Send;

    /// Stops a run. Returns the clock of the target.
    fn stop(
        &self,
        endpoint: TargetEndpoint,
        call: StopCall,
    ) -> impl Future<Output = Result<TargetTime, CallFailure>> + Send;

    /// Reads the state of the runs and extends their lease.
    fn poll(
        &self,
        endpoint: TargetEndpoint,
        call: PollCall,
    ) -> impl Future<Output = Result<PollAnswer, CallFailure>> + Send;
}
