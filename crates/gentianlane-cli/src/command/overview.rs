//! `gentianlane top`: a summary of the cell.

use gentianlane::api::{Call, JobView, Reply, WorkerView};
use gentianlane::unit::Size;
use gentianlane_client::Client;
use miette::{IntoDiagnostic, Result};
use serde::Serialize;

use crate::command::show;
use crate::exit::Exit;
use crate::print;

/// The totals of a cell, as printed and as JSON.
#[derive(Debug, Serialize)]
struct Overview {
    workers: usize,
    draining: usize,
    size: Size,
    reserved: Size,
    running: usize,
    waiting: usize,
    nodes: usize,
    term: u64,
    revision: u64,
}

pub(super) fn run(client: &mut Client, json: bool) -> Result<Exit> {
    let mut replies = Vec::new();
    for call in [Call::Workers, Call::Jobs, Call::Members, Call::NoteStatus] {
        let reply = client.call(&call).into_diagnostic()?;
        if matches!(reply, Reply::Refused(_)) {
            return show(&reply, json);
        }
        replies.push(reply);
    }
    let overview = Overview::of(&replies);
    match json {
        true => print::json(&overview)?,
        false => overview.print(),
    }
    Ok(Exit::Success)
}

impl Overview {
    fn of(replies: &[Reply]) -> Self {
        let mut overview = Self {
            workers: 0,
            draining: 0,
            size: Size::default(),
            reserved: Size::default(),
            running: 0,
            waiting: 0,
            nodes: 0,
            term: 0,
            revision: 0,
        };
        for reply in replies {
            match reply {
                Reply::Workers(workers) => overview.add_workers(workers),
                Reply::Jobs(jobs) => overview.add_jobs(jobs),
                Reply::Members(members) => {
                    overview.nodes = members.len();
                    let terms = members.iter().map(|member| member.term.0);
                    overview.term = terms.max().unwrap_or_default();
                }
                Reply::NoteStatus(status) => overview.revision = status.revision.0,
                _ => {}
            }
        }
        overview
    }

    fn add_workers(&mut self, workers: &[WorkerView]) {
        self.workers = workers.len();
        self.draining = workers.iter().filter(|worker| worker.draining).count();
        self.size = workers.iter().map(|worker| worker.size).sum();
        self.reserved = workers.iter().map(|worker| worker.reserved).sum();
    }

    fn add_jobs(&mut self, jobs: &[JobView]) {
        self.waiting = jobs.iter().filter(|job| job.workers.is_empty()).count();
        self.running = jobs.len() - self.waiting;
    }

    fn print(&self) {
        let (nodes, term, revision) = (self.nodes, self.term, self.revision);
        println!("nodes     {nodes}, term {term}, revision {revision}");
        println!("workers   {}, {} draining", self.workers, self.draining);
        let (reserved, size) = (print::size(&self.reserved), print::size(&self.size));
        println!("reserved  {reserved} of {size}");
        println!(
            "jobs      {} placed, {} waiting",
            self.running, self.waiting
        );
    }
}
