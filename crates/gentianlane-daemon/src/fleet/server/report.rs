//! Tells operators of the memory of connections, in the metrics and in the log.

use std::time::Duration;

use slog::{Logger, warn};

use crate::fleet::intake::{Event, Intake};
use crate::fleet::metrics::Metrics;

/// The shortest time between two lines, and between two values of a metric.
const INTERVAL: Duration = Duration::from_secs(1);

/// Sets the metrics of an account, and logs what was refused and closed.
pub(crate) async fn report_intake(intake: Intake, metrics: Metrics, log: Logger) {
    metrics.set("intake_limit_bytes", size(intake.limit()));
    loop {
        metrics.set("intake_bytes", size(intake.held()));
        let tallies = Event::ALL.map(|event| {
            let tally = intake.take_tally(event);
            if tally > 0 {
                metrics.count(event.name(), tally);
            }
            tally
        });
        if tallies.iter().any(|tally| *tally > 0) {
            let [refused, memory, number, turned_away, unread, too_long] = tallies;
            warn!(log, "crowded"; "refused" => refused, "closed_memory" => memory,
                "closed_number" => number, "turned_away" => turned_away,
                "closed_unread" => unread, "too_long" => too_long,
                "held" => intake.held(), "limit" => intake.limit());
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn size(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
