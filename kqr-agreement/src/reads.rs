use kqr_types::Instant;

use crate::{Machine, Output, ReadMode, RequestId, leader_state::PendingRead};

impl Machine {
    /// Answers a read at once if a lease allows it, else after the next round.
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

    /// Puts out the reads whose round is answered and whose index is applied.
    pub(crate) fn finish_reads(&mut self, outputs: &mut Vec<Output>) {
        let is_alone = self.log.configuration().quorum() == 1;
        let applied = self.applied;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let answered = leader_state.rounds.quorum_round;
        let mut waiting = Vec::new();
        for read in leader_state.reads.drain(..) {
            let is_answered = is_alone || read.round <= answered;
            if !is_answered || read.index > applied {
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
