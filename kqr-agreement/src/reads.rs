use kqr_types::Instant;

use crate::{Machine, Output, ReadMode, RequestId, leader_state::PendingRead};

impl Machine {
    /// Answers a read immediately under a lease, or else once a majority has acknowledged the next round.
    pub(crate) fn read(&mut self, now: Instant, request: RequestId, outputs: &mut Vec<Output>) {
        let is_leased = self.options.reads == ReadMode::Lease && self.holds_lease(now);
        let index = self.commit;
        let Some(leader_state) = &mut self.leader_state else {
            let leader = self.leader.clone();
            outputs.push(Output::ReadFailed { request, leader });
            return;
        };
        if is_leased {
            outputs.push(Output::ReadReady { request, index });
            return;
        }
        leader_state.reads.push(PendingRead {
            request,
            round: leader_state.rounds.latest + 1,
            index: index.max(leader_state.first_index),
        });
        self.broadcast(now, outputs);
        self.finish_reads(outputs);
    }

    /// Completes the reads whose round is acknowledged and whose index is applied.
    pub(crate) fn finish_reads(&mut self, outputs: &mut Vec<Output>) {
        let is_single_voter = self.is_single_voter();
        let applied = self.applied;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let acknowledged = leader_state.rounds.quorum_round;
        let mut waiting = Vec::new();
        for read in leader_state.reads.drain(..) {
            let is_acknowledged = is_single_voter || read.round <= acknowledged;
            if !is_acknowledged || read.index > applied {
                waiting.push(read);
                continue;
            }
            outputs.push(Output::ReadReady {
                request: read.request,
                index: read.index,
            });
        }
        leader_state.reads = waiting;
    }
}
