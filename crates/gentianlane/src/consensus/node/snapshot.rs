//! Snapshots: compacting the log, and sending snapshots to followers.

use crate::consensus::node::Node;
use crate::consensus::peer::SnapshotTransfer;
use crate::consensus::{Body, Chunk, Index, Output, Position, Snapshot};
use crate::id;
use crate::unit::Time;

/// How many bytes of a snapshot one message carries at most.
const CHUNK_LIMIT: usize = 64 << 10;

/// How many entries before a snapshot's end stay in memory, so that a follower
/// that is slightly behind needs no snapshot.
const RETAINED_ENTRIES: u64 = 1_024;

impl Node {
    /// Replaces the log up to `index` by a snapshot: `data` is the application's
    /// encoded state after the entry at `index`.
    ///
    /// Returns false, and does nothing, if that entry isn't applied or no longer
    /// in memory, if there is a snapshot at least as new, or while the current
    /// snapshot is being sent to a responsive peer.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) -> bool {
        let newest = self.snapshot.as_ref().map(|snapshot| snapshot.last.index);
        if index > self.applied_index || newest.is_some_and(|newest| newest >= index) {
            return false;
        }
        let Some(term) = self.log.term(index) else {
            return false;
        };
        let timeout = self.setup.timing.election_timeout;
        let is_sending = self.peers.values().any(|peer| {
            peer.transfer.is_some() && self.latest_time.since(peer.heard_at) < timeout
        });
        if is_sending {
            return false;
        }
        let snapshot = Snapshot {
            last: Position { index, term },
            voters: self.log.voters_at(index).clone(),
            data,
        };
        self.log
            .compact(Index(index.0.saturating_sub(RETAINED_ENTRIES)));
        self.outputs.push(Output::Snapshot(snapshot.clone()));
        self.snapshot = Some(snapshot);
        true
    }

    /// Sends the next chunk of the snapshot; false if there is none to send or
    /// one is in flight. An unacknowledged chunk is sent again after an election
    /// timeout.
    pub(super) fn send_chunk(&mut self, to: id::Node, now: Time) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return false;
        };
        let Some(peer) = self.peers.get_mut(&to).filter(|peer| !peer.disk_lost) else {
            return false;
        };
        let last = snapshot.last.index;
        let current = peer.transfer.filter(|transfer| transfer.last == last);
        let timeout = self.setup.timing.election_timeout;
        let offset = match current {
            Some(transfer) if now.since(transfer.sent_at) < timeout => return false,
            Some(transfer) => transfer.offset,
            None => 0,
        };
        peer.transfer = Some(SnapshotTransfer {
            last,
            offset,
            sent_at: now,
        });
        self.last_seq += 1;
        peer.record_sent(self.last_seq, peer.next_index, 0, now);
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let rest = snapshot.data.get(start..).unwrap_or_default();
        let data = rest[..rest.len().min(CHUNK_LIMIT)].to_vec();
        let chunk = Chunk {
            last: snapshot.last,
            voters: snapshot.voters.clone(),
            total: snapshot.data.len() as u64,
            offset,
            data,
            seq: self.last_seq,
        };
        self.send(to, Body::Chunk(chunk));
        true
    }

    /// Sends the next chunk after a follower has acknowledged the previous one.
    pub(super) fn handle_chunk_ack(
        &mut self,
        from: id::Node,
        last: Index,
        offset: u64,
        seq: u64,
        now: Time,
    ) {
        let timeout = self.setup.timing.election_timeout;
        let Some(peer) = self.record_ack(from, seq, now) else {
            return;
        };
        let Some(transfer) = &mut peer.transfer else {
            return;
        };
        if transfer.last != last || transfer.offset == offset {
            return;
        }
        transfer.offset = offset;
        // No chunk is in flight now: backdate it so that the next one is sent.
        transfer.sent_at =
            Time::from_millis(now.as_millis().saturating_sub(timeout.as_millis()));
        self.send_chunk(from, now);
    }
}
