//! Checks across settings: contradictions are faults, unwise choices of voters
//! are warnings.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use gentianlane::id;

use crate::process::settings::read::{Located, Reader};
use crate::process::settings::{Peer, Settings};

/// Checks that nodes and addresses are unique and that each node has a failure
/// domain and usable addresses.
pub(super) fn nodes(reader: &mut Reader<'_>, nodes: &[Located<Peer>]) {
    let mut seen = HashSet::new();
    let mut addresses = HashMap::new();
    for Located { value: peer, at } in nodes {
        if !seen.insert(peer.node) {
            reader.report(*at, format!("{} is named twice", peer.node));
        }
        if peer.domain.as_str().is_empty() {
            reader.report(*at, format!("{} has no failure domain", peer.node));
        }
        for address in [peer.http, peer.peer, peer.rpc] {
            if let Some(fault) = unreachable(address) {
                reader.report(*at, fault);
            }
            if let Some(other) = addresses.insert(address, peer.node) {
                reader.report(*at, format!("{address} is already used by {other}"));
            }
        }
    }
}

fn unreachable(address: SocketAddr) -> Option<String> {
    let no_host = address.ip().is_unspecified();
    let unusable = no_host || address.port() == 0;
    unusable.then(|| format!("{address} can't be reached by other nodes"))
}

/// Checks that the node is listed, that a voter has a data folder, and that there
/// is a voter.
pub(super) fn own_node(
    reader: &mut Reader<'_>,
    node: &Located<id::Node>,
    has_data: bool,
    nodes: &[Located<Peer>],
) {
    let own = nodes.iter().find(|peer| peer.value.node == node.value);
    match own {
        None => reader.report(node.at, format!("{} isn't among the nodes", node.value)),
        Some(own) if own.value.voter && !has_data => {
            let message = format!("{} is a voter and needs a `data` folder", node.value);
            reader.report(own.at, message);
        }
        Some(_) => {}
    }
    if !nodes.iter().any(|peer| peer.value.voter) {
        reader.report(node.at, "none of the nodes is a voter");
    }
}

/// Warnings about valid settings that tolerate fewer failures than they could.
pub(super) fn warnings(settings: &Settings) -> Vec<String> {
    let voters: Vec<&Peer> = settings.nodes.iter().filter(|peer| peer.voter).collect();
    let domain_of = |peer: &Peer| (peer.region.clone(), peer.domain.clone());
    let all_domains: HashSet<_> = settings.nodes.iter().map(domain_of).collect();
    let voter_domains: HashSet<_> = voters.iter().map(|peer| domain_of(peer)).collect();
    let mut warnings = Vec::new();
    if voters.len().is_multiple_of(2) {
        let count = voters.len();
        let message = format!(
            "{count} voters tolerate no more failures than {}",
            count - 1
        );
        warnings.push(message);
    }
    if voters.len() > 1 && voter_domains.len() == 1 && all_domains.len() > 1 {
        warnings.push("all voters are in one failure domain of several".to_owned());
    }
    if voter_domains.len() < voters.len()
        && voter_domains.len() < all_domains.len()
        && voter_domains.len() > 1
    {
        let message = "voters share a failure domain while another domain has none";
        warnings.push(message.to_owned());
    }
    warnings
}
