//! Agreement among nodes whose messages are carried by hand.

use std::collections::VecDeque;

use gentianlane::agree::{Message, Node, Output, Payload, Role, Saved, Setup, Timing};
use gentianlane::id;
use gentianlane::unit::{Span, Time};

/// Nodes, the messages between them and the links that are cut.
struct Net {
    nodes: Vec<Node>,
    applied: Vec<Vec<Vec<u8>>>,
    messages: VecDeque<(id::Node, id::Node, Message)>,
    cut: Vec<id::Node>,
    now: Time,
}

impl Net {
    fn new(count: u64) -> Self {
        let now = Time::from_millis(0);
        let ids = (1..=count).map(id::Node);
        let nodes = ids.clone().map(|node| {
            let setup = Setup {
                node,
                voters: ids.clone().collect(),
                learners: Vec::new(),
                timing: Timing::default(),
                seed: node.0,
            };
            Node::new(setup, Saved::default(), now)
        });
        Self {
            nodes: nodes.collect(),
            applied: vec![Vec::new(); count as usize],
            messages: VecDeque::new(),
            cut: Vec::new(),
            now,
        }
    }

    fn run(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(Span::from_millis(10));
            for node in &mut self.nodes {
                node.tick(self.now);
            }
            self.settle();
        }
    }

    fn settle(&mut self) {
        loop {
            self.take();
            let Some((from, to, message)) = self.messages.pop_front() else {
                return;
            };
            if self.cut.contains(&from) || self.cut.contains(&to) {
                continue;
            }
            self.nodes[to.0 as usize - 1].receive(from, message, self.now);
        }
    }

    fn take(&mut self) {
        for (at, node) in self.nodes.iter_mut().enumerate() {
            for output in node.take() {
                match output {
                    Output::Send(to, message) => {
                        self.messages.push_back((node.id(), to, message));
                    }
                    Output::Apply(entries) => {
                        for entry in entries {
                            if let Payload::Command(bytes) = entry.payload {
                                self.applied[at].push(bytes);
                            }
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn leaders(&self) -> Vec<usize> {
        let leads = |at: &usize| self.nodes[*at].leads(self.now);
        (0..self.nodes.len()).filter(leads).collect()
    }
}

#[test]
fn one_of_three_leads_and_all_apply_what_it_proposes() {
    let mut net = Net::new(3);
    net.run(Span::from_secs(5));
    let leaders = net.leaders();
    assert_eq!(leaders.len(), 1);
    let now = net.now;
    net.nodes[leaders[0]]
        .propose([b"one".to_vec(), b"two".to_vec()], now)
        .unwrap();
    net.run(Span::from_secs(1));
    for applied in &net.applied {
        assert_eq!(applied, &[b"one".to_vec(), b"two".to_vec()]);
    }
}

#[test]
fn a_leader_that_is_cut_off_stops_leading_before_another_begins() {
    let mut net = Net::new(3);
    net.run(Span::from_secs(5));
    let old = net.leaders()[0];
    net.cut.push(id::Node(old as u64 + 1));
    for _ in 0..1_000 {
        net.run(Span::from_millis(10));
        assert!(net.leaders().len() <= 1);
    }
    assert_ne!(net.leaders(), [old]);
    assert_eq!(net.nodes[old].role(), Role::Leader);
    net.cut.clear();
    net.run(Span::from_secs(1));
    assert_ne!(net.nodes[old].role(), Role::Leader);
}

#[test]
fn a_node_that_comes_back_does_not_unseat_the_leader() {
    let mut net = Net::new(3);
    net.run(Span::from_secs(5));
    let leader = net.leaders()[0];
    let term = net.nodes[leader].term();
    let away = (leader + 1) % 3;
    net.cut.push(id::Node(away as u64 + 1));
    net.run(Span::from_secs(20));
    net.cut.clear();
    net.run(Span::from_secs(5));
    assert_eq!(net.leaders(), [leader]);
    assert_eq!(net.nodes[leader].term(), term);
}
