//! A follower's side of replication.

use crate::consensus::log::Log;
use crate::consensus::node::Node;
use crate::consensus::{
    Append, Body, Chunk, Entry, IdentityStatus, Index, Output, Position, Role, Snapshot,
};
use crate::id;
use crate::unit::Time;

/// The largest snapshot that a node takes in, in bytes.
const SNAPSHOT_LIMIT: u64 = 256 << 20;

/// A snapshot of which some bytes have arrived.
#[derive(Debug, Clone)]
pub(crate) struct IncomingSnapshot {
    last: Position,
    data: Vec<u8>,
}

impl Node {
    /// Takes note that a leader spoke; false if nothing of it may be stored.
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
        let election = self.setup.timing.election_timeout;
        let due = |at: Time| now.since(at) >= election;
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

    /// Where the leader has to go on from, if entries after `prev` don't
    /// follow on what is stored.
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

    /// Stores what is new; false if it contradicts what is committed.
    fn store_entries(&mut self, entries: Vec<Entry>) -> bool {
        let known = |entry: &Entry| {
            entry.index <= self.log.base().index
                || self.log.term(entry.index) == Some(entry.term)
        };
        let skip = entries.iter().take_while(|entry| known(entry)).count();
        let fresh: Vec<Entry> = entries.into_iter().skip(skip).collect();
        let Some(first) = fresh.first() else {
            return true;
        };
        if first.index <= self.commit_index {
            return false;
        }
        self.log.truncate(first.index);
        for entry in &fresh {
            self.log.push(entry.clone());
        }
        self.outputs.push(Output::Store(fresh));
        true
    }

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

    /// Adds a part to those that have arrived; gives how many bytes there are.
    fn buffer_chunk(&mut self, chunk: &Chunk) -> u64 {
        let begun = self.incoming.take();
        let begun = begun.filter(|incoming| incoming.last == chunk.last);
        let mut incoming = begun.unwrap_or(IncomingSnapshot {
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

    /// Puts a whole snapshot in place of the log up to its end.
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

/// Whether entries follow on `prev` without a gap, their terms never falling.
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
