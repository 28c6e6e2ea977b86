//! What a node costs: memory and processor time, idle and under load.
//!
//! Prints key=value lines from `/proc`. Needs the command line's binary beside
//! the daemon's: `cargo build --release` first.
#![allow(clippy::unwrap_used, reason = "a bench ends at a fault")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::fs;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use common::{Cell, Process};
use gentianlane_client::Client;

/// How long the idle cell is watched.
const IDLE: Duration = Duration::from_secs(10);

/// How many stand-in workers the idle cells have.
const IDLE_WORKERS: [usize; 4] = [0, 12, 36, 96];

/// How many stand-in workers the cell under load has.
const WORKERS: usize = 6;

/// Requests a second, one run each.
const RATES: [u32; 4] = [10, 20, 40, 80];

/// How long each rate is kept up, in seconds.
const SECONDS: u32 = 8;

/// The kernel's clock ticks in a second, as `/proc/PID/stat` counts them.
const TICKS: f64 = 100.0;

/// Processor time that a process has used, in seconds.
fn cpu(process: &Process) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    let (_, rest) = stat.rsplit_once(") ").unwrap();
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks = |field: usize| fields[field].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS
}

/// A line of `/proc/PID/status`, in KiB or as a count.
fn status(process: &Process, name: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = text.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn print(label: &str, cell: &Cell, before: &[f64], seconds: f64, leader: usize) {
    for (node, process) in cell.nodes.iter().flatten().enumerate() {
        let share = (cpu(process) - before[node]) / seconds * 100.0;
        let part = if node == leader { "leader" } else { "follower" };
        let (rss, threads) = (status(process, "VmRSS:"), status(process, "Threads:"));
        println!(
            "{label} node=n{} part={part} cpu_percent={share:.2} rss_kib={rss} threads={threads}",
            node + 1
        );
    }
}

fn cpus(cell: &Cell) -> Vec<f64> {
    cell.nodes.iter().flatten().map(cpu).collect()
}

/// Loads the cell at a rate and prints what the load's report says.
fn load(cell: &Cell, rate: u32) -> f64 {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_gentianlaned"));
    let mut command = Command::new(binary.with_file_name("gentianlane"));
    for entry in cell.entries() {
        command.args(["--entry", &entry.to_string()]);
    }
    let (rate, seconds) = (rate.to_string(), SECONDS.to_string());
    command.args([
        "--json",
        "load",
        "--team",
        "town",
        "--work",
        "route-batch=1",
    ]);
    command.args(["--rate", &rate, "--seconds", &seconds]);
    let began = std::time::Instant::now();
    let output = command.output().unwrap();
    println!("load {}", String::from_utf8_lossy(&output.stdout).trim());
    began.elapsed().as_secs_f64()
}

/// The slope and intercept of the least-squares line.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let top: f64 = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum();
    let bottom: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    let slope = top / bottom;
    (slope, y - slope * x)
}

/// Adds up the nodes' counts of frames and bytes, until the bench ends.
fn collect() -> (String, Traffic) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let more = format!(
        r#""telemetry": {{ "metrics": "{}" }},"#,
        socket.local_addr().unwrap()
    );
    let traffic = Traffic::default();
    let sum = traffic.clone();
    thread::spawn(move || {
        let mut bytes = [0; 2_048];
        while let Ok(count) = socket.recv(&mut bytes) {
            let text = String::from_utf8_lossy(&bytes[..count]);
            let value = text
                .split([':', '|'])
                .nth(1)
                .and_then(|text| text.parse().ok());
            let value: u64 = value.unwrap_or_default();
            if text.starts_with("gentianlane.frames.sent:") {
                sum.0.fetch_add(value, Ordering::Relaxed);
            } else if text.starts_with("gentianlane.frames.bytes:") {
                sum.1.fetch_add(value, Ordering::Relaxed);
            }
        }
    });
    (more, traffic)
}

/// Frames and bytes between all nodes.
#[derive(Clone, Default)]
struct Traffic(Arc<AtomicU64>, Arc<AtomicU64>);

impl Traffic {
    fn now(&self) -> (f64, f64) {
        let read = |sum: &AtomicU64| sum.load(Ordering::Relaxed) as f64;
        (read(&self.0), read(&self.1))
    }

    /// Prints frames and bytes since `before`, for each second.
    fn print(&self, label: &str, before: (f64, f64), seconds: f64) -> (f64, f64) {
        let now = self.now();
        let frames = (now.0 - before.0) / seconds;
        let bytes = (now.1 - before.1) / seconds;
        println!("{label} frames_per_second={frames:.1} bytes_per_second={bytes:.0}");
        (frames, bytes)
    }
}

/// What an idle cell costs by its workers, each of which renews its lease.
fn idle() {
    let mut points = Vec::new();
    for workers in IDLE_WORKERS {
        let cell = Cell::start(workers);
        let (leader, before) = (cell.leader(), cpus(&cell));
        thread::sleep(IDLE);
        let label = format!("idle workers={workers}");
        let took = IDLE.as_secs_f64();
        print(&label, &cell, &before, took, leader);
        let after = cpus(&cell);
        points.push((workers as f64, (after[leader] - before[leader]) / took));
    }
    let (slope, base) = fit(&points);
    println!(
        "fit part=leader idle cpu_percent_per_worker={:.4} base_percent={:.2}",
        slope * 100.0,
        base * 100.0
    );
}

fn main() {
    idle();
    let (more, traffic) = collect();
    let cell = Cell::start_with(WORKERS, &more);
    let (leader, before) = (cell.leader(), cpus(&cell));
    let idle = traffic.now();
    thread::sleep(IDLE);
    let label = format!("idle workers={WORKERS}");
    print(&label, &cell, &before, IDLE.as_secs_f64(), leader);
    traffic.print(&label, idle, IDLE.as_secs_f64());
    let work = common::submit("image-run", "sleep=20 sorted");
    let answer = Client::new(cell.entries()).submit(&work, common::PATIENCE);
    common::check(&answer.unwrap(), &work, &["sorted"; 4]);
    let (mut points, mut frames, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for rate in RATES {
        let (before, sent) = (cpus(&cell), traffic.now());
        let took = load(&cell, rate);
        let label = format!("load rate={rate}");
        print(&label, &cell, &before, took, leader);
        let (frames_rate, bytes_rate) = traffic.print(&label, sent, took);
        let after = cpus(&cell);
        let share = (after[leader] - before[leader]) / took;
        let real_rate = f64::from(rate * SECONDS) / took;
        points.push((real_rate, share));
        frames.push((real_rate, frames_rate));
        bytes.push((real_rate, bytes_rate));
    }
    let (slope, base) = fit(&points);
    println!(
        "fit part=leader cpu_ms_per_request={:.3} base_percent={:.2}",
        slope * 1_000.0,
        base * 100.0
    );
    let (frames, bytes) = (fit(&frames).0, fit(&bytes).0);
    println!("fit frames_per_request={frames:.2} bytes_per_request={bytes:.0}");
}
