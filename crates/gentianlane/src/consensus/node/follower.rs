//! Replication on a follower: storing entries and installing snapshots.

use crate::consensus::log::Log;
use crate::consensus::node::Node;
use crate::consensus::{
    Append, Body, Chunk, Entry, IdentityStatus, Index, Output, Position, Role, Snapshot,
};
use crate::id;
use crate::unit::Time;

/// The largest snapshot that a node accepts, in bytes.
const SNAPSHOT_LIMIT: u64 = 256 << 20;

/// A partly received snapshot.
#[derive(Debug, Clone)]
pub(crate) struct IncomingSnapshot {
    last: Position,
    data: Vec<u8>,
}

impl Node {
    /// Records a message from the leader of the current term; false if its
    /// content must not be stored.
    ///
    /// Announces the node to the leader at intervals, and asks it to verify an
    /// unverified identity.
    fn record_leader_contact(&mut self, from: id::Node, now: Time) -> bool {
        if self.role == Role::Leader {
            return false;
        }
        if self.role != Role::Follower(Some(from)) {
            self.become_follower(Some(from), now);
        }
        self.leader_heard_at = now;
        self.no_leader_seen = false;
        self.reset_election_timer(now);
        let interval = self.setup.timing.election_timeout;
        let due = |at: Time| now.since(at) >= interval;
        if self.announced_at.is_none_or(due) {
            self.announced_at = Some(now);
            self.send(from, Body::Announce(self.attributes.clone()));
        }
        if self.identity_status == IdentityStatus::Unverified {
            self.send(
                from,
                Body::VerifyIdentity {
                    incarnation: self.incarnation,
                },
            );
            return false;
        }
        true
    }

    /// Stores the leader's entries, advances the commit index, and replies.
    ///
    /// Malformed entries and those that contradict committed ones get no reply.
    pub(super) fn handle_append(&mut self, from: id::Node, append: Append, now: Time) {
        if !self.record_leader_contact(from, now) {
            return;
        }
        let Append {
            prev,
            entries,
            commit_index,
            seq,
        } = append;
        if !is_contiguous(prev, &entries) {
            return;
        }
        if let Some(next_index) = self.next_index_hint(prev) {
            return self.send(from, Body::AppendReject { next_index, seq });
        }
        let newest = Index(prev.index.0 + entries.len() as u64);
        if !self.store_entries(entries) {
            return;
        }
        self.commit_index = self.commit_index.max(commit_index.min(newest));
        self.apply_committed();
        let match_index = newest.max(self.commit_index);
        self.send(from, Body::AppendAck { match_index, seq });
    }

    /// The index from which the leader should send next, or `None` if the log
    /// matches the leader's at `prev`.
    ///
    /// Skips all entries of a conflicting term at once, but no committed ones.
    fn next_index_hint(&self, prev: Position) -> Option<Index> {
        if prev.index <= self.commit_index {
            return None;
        }
        match self.log.term(prev.index) {
            Some(term) if term == prev.term => None,
            Some(_) => Some(
                self.log
                    .first_of_term(prev.index)
                    .max(self.commit_index.next()),
            ),
            None => Some(self.log.last().index.next()),
        }
    }

    /// Stores the entries that are new and drops those that conflict; false,
    /// without effect, if a committed entry would be dropped.
    fn store_entries(&mut self, entries: Vec<Entry>) -> bool {
        let is_stored = |entry: &Entry| {
            entry.index <= self.log.base().index
                || self.log.term(entry.index) == Some(entry.term)
        };
        let skip = entries.iter().take_while(|entry| is_stored(entry)).count();
        let new_entries: Vec<Entry> = entries.into_iter().skip(skip).collect();
        let Some(first) = new_entries.first() else {
            return true;
        };
        if first.index <= self.commit_index {
            return false;
        }
        self.log.truncate(first.index);
        for entry in &new_entries {
            self.log.push(entry.clone());
        }
        self.outputs.push(Output::Store(new_entries));
        true
    }

    /// Collects a chunk of a snapshot, and installs the snapshot once complete.
    pub(super) fn handle_chunk(&mut self, from: id::Node, chunk: Chunk, now: Time) {
        if !self.record_leader_contact(from, now) || chunk.total > SNAPSHOT_LIMIT {
            return;
        }
        let seq = chunk.seq;
        if chunk.last.index <= self.commit_index {
            self.incoming = None;
            let match_index = self.commit_index;
            return self.send(from, Body::AppendAck { match_index, seq });
        }
        let last = chunk.last.index;
        let offset = self.buffer_chunk(&chunk);
        if offset < chunk.total {
            return self.send(from, Body::ChunkAck { last, offset, seq });
        }
        self.install_snapshot(chunk);
        self.send(
            from,
            Body::AppendAck {
                match_index: last,
                seq,
            },
        );
    }

    /// Appends a chunk that follows on the bytes received so far; returns the
    /// number of bytes received. A chunk of another snapshot starts over.
    fn buffer_chunk(&mut self, chunk: &Chunk) -> u64 {
        let partial = self.incoming.take();
        let partial = partial.filter(|incoming| incoming.last == chunk.last);
        let mut incoming = partial.unwrap_or(IncomingSnapshot {
            last: chunk.last,
            data: Vec::new(),
        });
        let fits = incoming.data.len() as u64 == chunk.offset;
        if fits && chunk.offset + chunk.data.len() as u64 <= chunk.total {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let offset = incoming.data.len() as u64;
        self.incoming = Some(incoming);
        offset
    }

    /// Replaces the log up to the snapshot's last entry by the snapshot. Later
    /// entries are kept if the log contains that entry.
    fn install_snapshot(&mut self, chunk: Chunk) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let last = chunk.last;
        let snapshot = Snapshot {
            last,
            voters: chunk.voters,
            data: incoming.data,
        };
        if self.log.term(last.index) == Some(last.term) {
            self.log.compact(last.index);
        } else {
            self.log = Log::new(last, snapshot.voters.clone(), Vec::new());
        }
        self.commit_index = last.index;
        self.applied_index = last.index;
        self.outputs.push(Output::Snapshot(snapshot.clone()));
        self.outputs.push(Output::Restore(snapshot.data.clone()));
        self.snapshot = Some(snapshot);
    }
}

/// Whether the entries follow on `prev` without a gap and their terms never
/// decrease.
fn is_contiguous(prev: Position, entries: &[Entry]) -> bool {
    let mut last = prev;
    entries.iter().all(|entry| {
        let follows = entry.index == last.index.next() && entry.term >= last.term;
        last = Position {
            index: entry.index,
            term: entry.term,
        };
        follows
    })
}
