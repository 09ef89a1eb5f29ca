use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kqr_agreement::{Configuration, DurableState, Machine, Message, Options as AgreementOptions, VoterId};
use kqr_fleet::{FoundingInput, FoundingNode, FoundingOutput};
use kqr_types::{Incarnation, InstanceId, ParseError};

use super::client;
use crate::BootClock;

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between heartbeats of the leading seed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Minimum time without a leading seed before another one campaigns: several heartbeats.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after the decision for which this seed still informs the others.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Storage incarnation of the seeds, none of which takes part again after a restart.
const STORAGE: Incarnation = Incarnation(1);

/// This instance's part in the founding, if it is a seed at the first start of the system.
#[derive(Debug)]
pub(crate) struct FoundingMember {
    own: VoterId,
    node: Mutex<FoundingNode>,
}

impl FoundingMember {
    /// Starts to take part in the founding, if `own` is the discovery address of a seed.
    ///
    /// # Errors
    ///
    /// Never fails for valid addresses.
    pub(crate) fn start(own: SocketAddr, seeds: &[SocketAddr]) -> Result<Option<Arc<Self>>, ParseError> {
        if !seeds.contains(&own) {
            return Ok(None);
        }
        let mut voters = Vec::new();
        for seed in seeds {
            voters.push(voter(*seed)?);
        }
        let own = voter(own)?;
        let options = AgreementOptions {
            founding: Configuration::of_voters(voters),
            election_timeout: ELECTION_TIMEOUT,
            heartbeat: HEARTBEAT_INTERVAL,
            seed: BootClock.now().0 ^ own.instance.as_str().bytes().map(u64::from).sum::<u64>(),
            ..AgreementOptions::default()
        };
        let node = FoundingNode::new(Machine::new(own.clone(), options, DurableState::default()));
        let member = Arc::new(Self {
            own,
            node: Mutex::new(node),
        });
        tokio::spawn(Arc::clone(&member).run_ticks());
        Ok(Some(member))
    }

    /// Handles a message of another seed.
    pub(crate) fn deliver(&self, from: VoterId, message: Message) {
        self.handle(FoundingInput::Message { from, message });
    }

    /// Registers a control instance with an empty disk. Returns the founders once they are agreed.
    pub(crate) fn register(&self, instance: InstanceId, min_founders: usize) -> Option<Vec<InstanceId>> {
        self.handle(FoundingInput::Candidate {
            instance,
            min_founders,
        });
        self.lock().founders().cloned()
    }

    async fn run_ticks(self: Arc<Self>) {
        let mut decided_at = None;
        while decided_at.is_none_or(|at: std::time::Instant| at.elapsed() < LINGER_TIME) {
            self.handle(FoundingInput::Tick);
            if decided_at.is_none() && self.lock().founders().is_some() {
                decided_at = Some(std::time::Instant::now());
            }
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    fn handle(&self, input: FoundingInput) {
        let mut outputs = Vec::new();
        self.lock().handle(BootClock.now(), input, &mut outputs);
        for output in outputs {
            match output {
                FoundingOutput::Send { to, message } => {
                    tokio::spawn(client::deliver(self.own.clone(), to, message));
                }
                FoundingOutput::Decided(founders) => {
                    let founders: Vec<String> = founders.iter().map(ToString::to_string).collect();
                    kqr_telemetry::log_decision("founders-agreed", &[("founders", founders.join(" "))]);
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, FoundingNode> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn voter(address: SocketAddr) -> Result<VoterId, ParseError> {
    Ok(VoterId::new(address.to_string().parse()?, STORAGE))
}
