//! The encoding of the state in a snapshot.
//!
//! What later versions added follows the rest in turn, so that a snapshot of an
//! earlier version can be read.

use crate::collections::IndexMap;
use crate::fleet::State;
use crate::fleet::command::CodecError;
use crate::fleet::job::Id;
use crate::fleet::state::occurrences::Occurrences;
use crate::fleet::state::successor::Successors;
use crate::fleet::team::Owners;

impl State {
    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the serializer fails.
    ///
    /// # Examples
    ///
    /// ```
    /// use gentianlane::fleet::State;
    ///
    /// let state = State::default();
    /// let bytes = state.encode()?;
    /// assert_eq!(State::decode(&bytes)?, state);
    /// # Ok::<(), gentianlane::fleet::command::CodecError>(())
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        let bytes = postcard::to_allocvec(self).map_err(|_| CodecError)?;
        let bytes =
            postcard::to_extend(&self.unconfirmed, bytes).map_err(|_| CodecError)?;
        let bytes = postcard::to_extend(&self.crashes, bytes).map_err(|_| CodecError)?;
        let bytes =
            postcard::to_extend(&self.report_sequences, bytes).map_err(|_| CodecError)?;
        // A part is left out if it is empty and so are all that follow.
        let recurring = self.recurring();
        let no_recurring = recurring.is_empty();
        let no_successors = self.successors == Successors::default() && no_recurring;
        let no_withdrawn = self.withdrawn.is_empty() && no_successors;
        if self.owners == Owners::default() && no_withdrawn {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.owners, bytes).map_err(|_| CodecError)?;
        if no_withdrawn {
            return Ok(bytes);
        }
        let bytes =
            postcard::to_extend(&self.withdrawn, bytes).map_err(|_| CodecError)?;
        if no_successors {
            return Ok(bytes);
        }
        let bytes =
            postcard::to_extend(&self.successors, bytes).map_err(|_| CodecError)?;
        if no_recurring {
            return Ok(bytes);
        }
        postcard::to_extend(&recurring, bytes).map_err(|_| CodecError)
    }

    /// The progress of the jobs that isn't encoded with them.
    fn recurring(&self) -> IndexMap<Id, &Occurrences> {
        let jobs = self.jobs.iter();
        let jobs = jobs
            .filter(|(_, job)| job.is_open() && !job.is_dense() && job.has_ended_runs());
        jobs.map(|(id, job)| (*id, &job.occurrences)).collect()
    }

    /// Decodes the state from a snapshot, which an earlier version may have written.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the bytes aren't a state.
    ///
    /// # Examples
    ///
    /// ```
    /// use gentianlane::fleet::State;
    ///
    /// assert!(State::decode(b"").is_err());
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let (mut state, rest) =
            postcard::take_from_bytes::<Self>(bytes).map_err(|_| CodecError)?;
        if rest.is_empty() {
            return Ok(state);
        }
        let (unconfirmed, rest) =
            postcard::take_from_bytes(rest).map_err(|_| CodecError)?;
        state.unconfirmed = unconfirmed;
        if rest.is_empty() {
            return Ok(state);
        }
        let (crashes, rest) = postcard::take_from_bytes(rest).map_err(|_| CodecError)?;
        state.crashes = crashes;
        let (report_sequences, rest) =
            postcard::take_from_bytes(rest).map_err(|_| CodecError)?;
        state.report_sequences = report_sequences;
        if rest.is_empty() {
            return Ok(state);
        }
        let (owners, rest) = postcard::take_from_bytes(rest).map_err(|_| CodecError)?;
        state.owners = owners;
        if rest.is_empty() {
            return Ok(state);
        }
        let (withdrawn, rest) =
            postcard::take_from_bytes(rest).map_err(|_| CodecError)?;
        state.withdrawn = withdrawn;
        if rest.is_empty() {
            return Ok(state);
        }
        let (successors, rest) =
            postcard::take_from_bytes(rest).map_err(|_| CodecError)?;
        state.successors = successors;
        if rest.is_empty() {
            return Ok(state);
        }
        let recurring: IndexMap<Id, Occurrences> =
            postcard::from_bytes(rest).map_err(|_| CodecError)?;
        for (id, occurrences) in recurring {
            if let Some(job) = state.jobs.get_mut(&id) {
                job.occurrences = occurrences;
            }
        }
        Ok(state)
    }
}
