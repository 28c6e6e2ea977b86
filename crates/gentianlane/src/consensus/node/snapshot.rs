//! Snapshots: taking one, and a leader's side of sending one.

use crate::consensus::node::Node;
use crate::consensus::peer::SnapshotTransfer;
use crate::consensus::{Body, Chunk, Index, Output, Position, Snapshot};
use crate::id;
use crate::unit::Time;

/// The most bytes of a snapshot that one message carries.
const CHUNK_LIMIT: usize = 64 << 10;

/// How many entries before a snapshot's end are kept, so that a follower that
/// is a little behind needs no snapshot.
const RETAINED_ENTRIES: u64 = 1_024;

impl Node {
    /// Lets the owner's state after the entry at `index` stand in place of the
    /// log up to there.
    ///
    /// Returns false, and does nothing, if that entry isn't applied, if a newer
    /// snapshot is there, or while the present one is being sent.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) -> bool {
        let newest = self.snapshot.as_ref().map(|snapshot| snapshot.last.index);
        if index > self.applied_index || newest.is_some_and(|newest| newest >= index) {
            return false;
        }
        let Some(term) = self.log.term(index) else {
            return false;
        };
        let limit = self.setup.timing.election_timeout;
        let sending = self.peers.values().any(|peer| {
            peer.transfer.is_some() && self.latest_time.since(peer.heard_at) < limit
        });
        if sending {
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

    /// Sends the next part of the snapshot, unless one is on its way.
    pub(super) fn send_chunk(&mut self, to: id::Node, now: Time) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return false;
        };
        let Some(peer) = self.peers.get_mut(&to).filter(|peer| !peer.disk_lost) else {
            return false;
        };
        let last = snapshot.last.index;
        let current = peer.transfer.filter(|transfer| transfer.last == last);
        let again = self.setup.timing.election_timeout;
        let offset = match current {
            Some(transfer) if now.since(transfer.sent_at) < again => return false,
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

    /// A follower has a part of the snapshot and wants the next one.
    pub(super) fn handle_chunk_ack(
        &mut self,
        from: id::Node,
        last: Index,
        offset: u64,
        seq: u64,
        now: Time,
    ) {
        let again = self.setup.timing.election_timeout;
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
        // A part that isn't on its way counts as sent long ago.
        transfer.sent_at =
            Time::from_millis(now.as_millis().saturating_sub(again.as_millis()));
        self.send_chunk(from, now);
    }
}
