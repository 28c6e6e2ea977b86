//! Cases about tenants and their keys.

use std::thread;
use std::time::Duration;

use crate::cases::{Verdict, job, minion};
use crate::cluster::{Cluster, HOST};
use crate::http;

const SECOND: Duration = Duration::from_secs(1);

const KEY: &str = "key-of-the-first-tenant";

/// Sends a configuration with one tenant, which has the key.
fn configure(cluster: &Cluster, version: u64, tenant: &str) -> Result<(), String> {
    let body = format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-main\",\
         \"hostname\":\"{HOST}\",\"path_prefix\":\"/main/\",\
         \"route_type\":\"non_idempotent\",\"timeout_ms\":3000,\
         \"target_latency_ms\":1000,\"priority\":1,\"backend\":\"catalog\",\
         \"max_attempts\":4,\"stretch\":2.2}}],\"services\":[{{\"name\":\"catalog\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforces_capacity\":false,\"standby\":false}}],\"tenants\":[{{\
         \"name\":\"{tenant}\",\"api_keys\":[\"{KEY}\"],\"weight\":10,\
         \"maximum\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    );
    let limit = 10 * SECOND;
    let done = cluster
        .operate("POST", "/v1/config/replace", &body, limit)
        .is_some();
    cluster.note(&format!(
        "operator: version {version}, in which tenant {tenant} has the key, acknowledged: {done}"
    ));
    done.then_some(())
        .ok_or("a configuration wasn't acknowledged".to_owned())
}

fn consume(cluster: &Cluster, method: &str, path: &str, body: &str) -> (u16, String) {
    let headers = [
        ("Deadline-Ms", "3000".to_owned()),
        ("Credential", KEY.to_owned()),
    ];
    let front = cluster.front(1);
    let answer = http::call(front, method, HOST, path, &headers, body, 3 * SECOND);
    let (status, body) = answer.map_or((0, String::new()), |it| (it.status, it.body));
    cluster.note(&format!("consumer: {method} {path}: {status} {body}"));
    (status, body)
}

/// A tenant gets another name and keeps its key while a job of it runs.
pub fn renamed(cluster: &Cluster, trouble: bool) -> Verdict {
    configure(cluster, 1, "north")?;
    for host in 1..=3 {
        cluster.start_minion(&minion(host, 0));
    }
    if !cluster.wait_ready() {
        return Err("the entries didn't become ready".to_owned());
    }
    thread::sleep(3 * SECOND);
    let path = format!("/main/{}", cluster.new_job());
    let step = "{\"count\":2,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":20000}";
    if consume(cluster, "POST", &path, &job(step, "work=20000")).0 != 200 {
        return Err("the job wasn't accepted".to_owned());
    }
    thread::sleep(4 * SECOND);
    if consume(cluster, "GET", &path, "").0 != 200 {
        return Err("the job isn't shown".to_owned());
    }
    if trouble {
        configure(cluster, 2, "north-and-south")?;
    }
    thread::sleep(5 * SECOND);
    let (status, _) = consume(cluster, "GET", &path, "");
    let (cancelled, _) = match status {
        410 => consume(cluster, "DELETE", &path, ""),
        _ => (0, String::new()),
    };
    thread::sleep(5 * SECOND);
    Ok((status == 410).then(|| {
        format!(
            "a GET for an accepted job that nobody has cancelled was answered 410, \
             and a DELETE {cancelled}; its tasks run on"
        )
    }))
}
