use std::{future::Future, time::Duration};

use kqr_dispatch::{CallFailure, PollAnswer, PollCall, StartCall, StopCall, TargetEndpoint, TargetTime};

/// Client for the protocol of the targets. Each call is sent at most once. Its timeout is extended by `link_wait`, the
/// expected wait for the link of this entry.
pub trait TargetClient: Clone + Send + Sync + 'static {
    /// Starts a task. Returns the clock of the target.
    fn start(
        &self,
        endpoint: TargetEndpoint,
        call: StartCall,
        link_wait: Duration,
    ) -> impl Future<Output = Result<TargetTime, CallFailure>> + Send;

    /// Stops a run. Returns the clock of the target.
    fn stop(
        &self,
        endpoint: TargetEndpoint,
        call: StopCall,
        link_wait: Duration,
    ) -> impl Future<Output = Result<TargetTime, CallFailure>> + Send;

    /// Reads the state of the runs and extends their lease.
    fn poll(
        &self,
        endpoint: TargetEndpoint,
        call: PollCall,
        link_wait: Duration,
    ) -> impl Future<Output = Result<PollAnswer, CallFailure>> + Send;
}
