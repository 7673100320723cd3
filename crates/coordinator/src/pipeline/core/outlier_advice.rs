//! Exchange of outliers with other coordinators: publishes the outliers that this coordinator found, and passes the
//! advice of other coordinators to the router.

use super::Core;
use crate::messages::LocalOutliers;
use crate::pipeline::timer::Timer;
use cairnroad_types::{Event, Seconds, ServerId, Time};
use tokio::sync::watch;

/// Interval at which this coordinator's outliers are published, in seconds.
const OUTLIER_PUBLICATION_INTERVAL: Seconds = 1.0;
/// Number of publication intervals for which an outlier is published after it was last observed. Observations must
/// expire: if all coordinators follow each other's advice, none sends attempts to the server, and it would stay ejected
/// forever.
const RECENT_OUTLIER_INTERVALS: f64 = 3.0;

impl Core {
    /// Starts publishing the outliers found by this coordinator's own attempts to `publisher`.
    pub fn publish_outliers_to(&mut self, publisher: watch::Sender<LocalOutliers>) {
        self.outlier_publisher = Some(publisher);
        let first = self.clock.now() + OUTLIER_PUBLICATION_INTERVAL;
        self.timers.insert(first, Timer::OutlierPublication);
    }

    /// Publishes the recent outliers. The cluster is notified when the outliers change, and at every interval while
    /// there are any.
    pub(super) fn publish_outliers(&mut self, now: Time) {
        let Some(publisher) = &self.outlier_publisher else {
            return;
        };
        let period = OUTLIER_PUBLICATION_INTERVAL * RECENT_OUTLIER_INTERVALS;
        let servers = self.router.recent_outliers(now, period);
        let outliers = LocalOutliers {
            endpoint_ids: self
                .directory
                .names_of(&servers)
                .map(str::to_string)
                .collect(),
            endpoint_count: self.directory.len(),
        };
        publisher.send_if_modified(|published| {
            let notify = published.endpoint_ids != outliers.endpoint_ids
                || !outliers.endpoint_ids.is_empty();
            *published = outliers;
            notify
        });
        self.timers.insert(
            now + OUTLIER_PUBLICATION_INTERVAL,
            Timer::OutlierPublication,
        );
    }

    /// Passes outliers found by other coordinators to the router. Servers that are not in this coordinator's endpoint
    /// list are ignored.
    pub(super) fn on_outlier_advice(&mut self, ids: &[String]) {
        let listed = ids.iter().filter_map(|id| self.directory.get(id));
        let servers: Vec<ServerId> = listed.map(|(server, _)| server).collect();
        if !servers.is_empty() {
            self.router.push(Event::OutlierAdvice(servers));
        }
    }
}
