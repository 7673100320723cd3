//! What servers take.

use cairnroad_types::Time;

/// What a warm server of size 1 answers a second at its best: what servers can do doesn't shrink because they answer
/// less in a jam.
#[derive(Default)]
pub struct Take {
    /// The best so far.
    pub best: f64,
    noted: Option<Time>,
}

impl Take {
    /// Whether it is to be noted: once a moment.
    pub fn is_due(&mut self, now: Time) -> bool {
        self.noted.replace(now) != Some(now)
    }

    /// Notes the answers and the sizes of the warm servers, over so many seconds.
    pub fn note(&mut self, servers: impl Iterator<Item = (f64, f64)>, seen: f64) {
        let (answers, size) = servers.fold((0.0, 0.0), |sum, server| (sum.0 + server.0, sum.1 + server.1));
        self.best = self.best.max(answers / seen / f64::max(size, 1.0));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_best_stays_through_a_jam_and_counts_once_a_moment() {
        let mut take = Take::default();
        let at = Time::from_secs(1.0);
        assert!(take.is_due(at) && !take.is_due(at) && take.is_due(at + 0.1));
        take.note([(30.0, 1.0), (60.0, 2.0)].into_iter(), 10.0);
        assert_eq!(take.best, 3.0);
        take.note([(1.0, 1.0)].into_iter(), 10.0);
        take.note([].into_iter(), 10.0);
        assert_eq!(take.best, 3.0);
    }
}
