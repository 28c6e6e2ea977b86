//! The consumers and the operator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::adviser::Times;
use crate::http;
use crate::json::Json;
use crate::record::Record;

pub const HOST: &str = "jobs.example";

/// One route of a config: a queue.
#[derive(Debug, Clone)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub service: String,
    pub max_attempts: u32,
    /// The times of the adviser, if the queue has one.
    pub advice: Option<Times>,
}

impl Route {
    pub fn new(name: &str, prefix: &str, service: &str, max_attempts: u32) -> Self {
        Self {
            name: name.to_owned(),
            host: HOST.to_owned(),
            prefix: prefix.to_owned(),
            service: service.to_owned(),
            max_attempts,
            advice: None,
        }
    }
}

/// The body of a config.
pub fn config(version: u64, routes: &[Route], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let advice = route.advice.map(|times| {
                format!(
                    ",\"recommendation\":{{\"decision_ms\":{},\"each_ms\":{},\
                     \"validity_ms\":{}}}",
                    times.decision_ms, times.each_ms, times.validity_ms
                )
            });
            let advice = advice.unwrap_or_default();
            format!(
                "{{\"name\":\"{}\",\"hostname\":\"{}\",\"path_prefix\":\"{}\",\
                 \"route_type\":\"non_idempotent\",\"timeout_ms\":3000,\
                 \"target_latency_ms\":1000,\"priority\":1,\"backend\":\"{}\",\
                 \"max_attempts\":{},\"stretch\":2.2{advice}}}",
                route.name, route.host, route.prefix, route.service, route.max_attempts
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":64,\
                 \"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":false,\
                 \"standby\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

#[derive(Clone)]
pub struct Client {
    pub record: Arc<Record>,
    pub fronts: Vec<SocketAddr>,
    pub controls: Vec<SocketAddr>,
}

impl Client {
    /// Sends a config until it is acknowledged, to one control address after another from
    /// the `next`th on.
    pub fn replace_config(&self, body: &str, mut next: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut target = None;
        while Instant::now() < until {
            let control = target
                .take()
                .unwrap_or(self.controls[next % self.controls.len()]);
            let second = Duration::from_secs(1);
            let path = "/v1/config/replace";
            let answer = http::call(control, "POST", path, "control", "", body, second);
            match answer {
                Ok(answer) if answer.status() == 200 => return true,
                Ok(answer) if answer.status() == 307 => {
                    let location = answer.header("location").unwrap_or_default();
                    let host = location.trim_start_matches("http://");
                    target = host.split('/').next().and_then(|it| it.parse().ok());
                }
                _ => {
                    next += 1;
                    thread::sleep(Duration::from_millis(200));
                }
            }
        }
        false
    }

    /// Sends a consumer's request once; the status is zero if there is no response.
    pub fn send(
        &self,
        front: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, String) {
        let front = self.fronts[front % self.fronts.len()];
        let limit = Duration::from_millis(3_000);
        let header = "Deadline-Ms: 3000\r\n";
        let answer = http::call(front, method, path, HOST, header, body, limit);
        let (status, body) =
            answer.map_or((0, String::new()), |answer| (answer.status(), answer.body));
        let shown: String = body.chars().take(120).collect();
        self.record
            .note(format!("client: {method} {path} -> {status} {shown}"));
        (status, body)
    }

    /// Submits a job, again after a second if it gets no answer or a 5xx or 429; true if
    /// it was accepted.
    pub fn submit(&self, prefix: &str, id: &str, body: &str) -> bool {
        for attempt in 0..5 {
            let (status, _) = self.send(attempt, "POST", &format!("{prefix}{id}"), body);
            match status {
                200..=299 => return true,
                0 | 429 | 500.. => thread::sleep(Duration::from_secs(1)),
                _ => return false,
            }
        }
        false
    }

    /// A job's state as shown to its consumer.
    pub fn state(&self, prefix: &str, id: &str) -> Option<String> {
        let (status, body) = self.send(0, "GET", &format!("{prefix}{id}"), "");
        let body = (status == 200).then(|| Json::parse(&body)).flatten()?;
        body.text("state").map(str::to_owned)
    }
}
