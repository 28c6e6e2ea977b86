//! The set of voters, and quorums among them.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::id;

/// The nodes of which a majority elects leaders and commits entries.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Voters(IndexSet<id::Node>);

impl Voters {
    /// Whether the node is a voter.
    #[must_use]
    pub fn contains(&self, node: id::Node) -> bool {
        self.0.contains(&node)
    }

    /// Iterates over the voters in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = id::Node> {
        self.0.iter().copied()
    }

    /// The number of voters.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no voters.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The number of voters that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Whether `agrees` holds for a majority of the voters; false without voters.
    ///
    /// ```
    /// use gentianlane::{consensus::Voters, id::Node};
    /// let voters: Voters = [Node(1), Node(2), Node(3)].into_iter().collect();
    /// assert!(voters.has_quorum(|node| node != Node(3)));
    /// assert!(!voters.has_quorum(|node| node == Node(1)));
    /// ```
    pub fn has_quorum(&self, mut agrees: impl FnMut(id::Node) -> bool) -> bool {
        let count = self.iter().filter(|&node| agrees(node)).count();
        !self.0.is_empty() && count >= self.majority()
    }

    /// The largest value that a majority of the voters has reached or passed.
    ///
    /// `None` without voters.
    ///
    /// ```
    /// use gentianlane::{consensus::Voters, id::Node};
    /// let voters: Voters = [Node(1), Node(2), Node(3)].into_iter().collect();
    /// assert_eq!(voters.quorum_value(|node| node.0 * 10), Some(20));
    /// ```
    pub fn quorum_value<T: Ord + Copy>(
        &self,
        value: impl Fn(id::Node) -> T,
    ) -> Option<T> {
        let mut values: Vec<T> = self.iter().map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.majority() - 1).copied()
    }
}

impl FromIterator<id::Node> for Voters {
    fn from_iter<I: IntoIterator<Item = id::Node>>(nodes: I) -> Self {
        Self(nodes.into_iter().collect())
    }
}
