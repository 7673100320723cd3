//! Outliers exchanged with other coordinators: own findings are published, advice of others reaches the router.

use super::Core;
use crate::messages::LocalOutliers;
use crate::pipeline::timer::Timer;
use cairnroad_types::{Event, Seconds, ServerId, Time};
use tokio::sync::watch;

/// How often own outliers are published, in seconds.
const OUTLIER_PUBLICATION_INTERVAL: Seconds = 1.0;
/// An outlier is published while its latest sign is no older than this many intervals. Where all coordinators follow
/// each other's advice nobody tries the server, so old signs must expire, or it would stay ejected forever.
const RECENT_OUTLIER_INTERVALS: f64 = 3.0;

impl Core {
    /// Publishes the outliers that own attempts reveal to `publisher` from now on.
    pub fn publish_outliers_to(&mut self, publisher: watch::Sender<LocalOutliers>) {
        self.outlier_publisher = Some(publisher);
        let first = self.clock.now() + OUTLIER_PUBLICATION_INTERVAL;
        self.timers.insert(first, Timer::OutlierPublication);
    }

    /// Publishes the recent outliers. The cluster is notified of changes, and again while there are any.
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

    /// Passes other coordinators' outliers to the router, as far as this coordinator's own list names them.
    pub(super) fn on_outlier_advice(&mut self, ids: &[String]) {
        let listed = ids.iter().filter_map(|id| self.directory.get(id));
        let servers: Vec<ServerId> = listed.map(|(server, _)| server).collect();
        if !servers.is_empty() {
            self.router.push(Event::OutlierAdvice(servers));
        }
    }
}
