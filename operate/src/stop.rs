//! The order to stop (SIGTERM): what is done when, so that nothing that was taken is lost.
//!
//! Clients go on sending on every connection that stays open until the program is killed, and new connections keep
//! coming for a while. So idle connections are closed, then nobody is accepted any more, then those who stand in the
//! middle of a request are refused, and the program ends once all is answered.

use cairnroad::Time;

/// When idle connections are closed. New connections keep coming for up to 0.4 s, and clients use the ones they have.
const CLOSE_IDLE: f64 = 0.5;
/// When nobody is accepted any more, at the earliest and at the latest. Those who go on coming must not hold the end up:
/// the program is killed, and what is unanswered then is lost.
const EARLIEST_DEAF: f64 = 0.9;
const LATEST_DEAF: f64 = 1.2;
/// For how long no request may have come before that.
const QUIET: f64 = 0.4;
/// For how long after that the rest of a request that has begun to come is waited for. What comes in pieces comes
/// within this, and a request that comes much later could not be answered before the kill.
const HALF_SENT: f64 = 0.3;
/// How long a refused one is given to read its refusal, at least.
const LAST_WORDS: f64 = 0.05;
/// The kill comes no sooner than the longest deadline, counted as this where it is longer, and this after the order.
const LONGEST_COUNTED: f64 = 3.0;
const KILLED_AFTER: f64 = 0.7;
/// Answers leave this long before the kill: the way to the client and a busy processor take time.
const KILL_MARGIN: f64 = 0.1;

/// What the program does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Everybody is served and told that the connection ends.
    Serving,
    /// Idle connections are closed, too.
    Closing,
    /// Nobody is accepted any more.
    Deaf,
    /// What has come in part is refused.
    Refusing,
    /// The program ends.
    Over,
}

/// What it goes by.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// When the last request came.
    pub last_asked: Time,
    /// Connections that stand in the middle of a request.
    pub coming_in: usize,
    /// Requests that came and aren't answered.
    pub serving: usize,
}

/// One order to stop, from its moment on.
#[derive(Debug)]
pub struct Stop {
    ordered: Time,
    step: Step,
    since: Time,
    longest: f64,
}

impl Stop {
    /// The order came now; `longest` is the longest deadline of all classes, in seconds.
    pub fn new(now: Time, longest: f64) -> Stop {
        Stop { ordered: now, step: Step::Serving, since: now, longest }
    }

    /// The moment by which every request has to have its final answer.
    pub fn answered_by(&self) -> Time {
        self.ordered + (self.longest.min(LONGEST_COUNTED) + KILLED_AFTER - KILL_MARGIN)
    }

    /// What is done now. It only goes forward.
    pub fn step(&mut self, now: Time, seen: Seen) -> Step {
        let (age, for_so_long) = (now - self.ordered, now - self.since);
        let quiet = now - seen.last_asked >= QUIET;
        let next = match self.step {
            Step::Serving if age >= CLOSE_IDLE => Step::Closing,
            Step::Closing if age >= LATEST_DEAF || (age >= EARLIEST_DEAF && quiet) => Step::Deaf,
            Step::Deaf if seen.coming_in == 0 || for_so_long >= HALF_SENT => Step::Refusing,
            Step::Refusing if seen.serving == 0 && for_so_long >= LAST_WORDS => Step::Over,
            step => step,
        };
        if next != self.step {
            (self.step, self.since) = (next, now);
        }
        self.step
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The moments of all steps, in milliseconds after the order, where `seen` tells what is seen then.
    fn moments(seen: impl Fn(f64) -> Seen) -> Vec<(Step, i64)> {
        let start = Time::from_secs(100.0);
        let mut stop = Stop::new(start, 2.5);
        let mut moments = vec![(Step::Serving, 0)];
        for tick in 0..1000 {
            let now = start + f64::from(tick) * 0.005;
            let step = stop.step(now, seen(now - start));
            if step != moments[moments.len() - 1].0 {
                moments.push((step, ((now - start) * 1e3).round() as i64));
            }
        }
        moments
    }

    #[test]
    fn a_quiet_program_ends_within_a_second() {
        let all = moments(|_| Seen::default());
        let expected = [
            (Step::Serving, 0),
            (Step::Closing, 500),
            (Step::Deaf, 900),
            (Step::Refusing, 905),
            (Step::Over, 955),
        ];
        assert_eq!(all, expected);
    }

    /// Guards against clients who never cease to come, or to send, and so hold the end up until the kill.
    #[test]
    fn nobody_who_goes_on_coming_holds_the_end_up() {
        let now = |age: f64| Time::from_secs(100.0 + age);
        let all = moments(|age| Seen { last_asked: now(age), coming_in: 3, serving: usize::from(age < 1.9) });
        let expected = [
            (Step::Serving, 0),
            (Step::Closing, 500),
            (Step::Deaf, 1200),
            (Step::Refusing, 1500),
            (Step::Over, 1900),
        ];
        assert_eq!(all, expected);
    }

    #[test]
    fn the_rest_of_a_request_is_waited_for() {
        let all = moments(|age| Seen { coming_in: usize::from(age < 1.1), ..Seen::default() });
        assert_eq!(all[3], (Step::Refusing, 1100));
    }

    /// Guards against a request that comes late in the stop and would be answered only after the kill.
    #[test]
    fn all_is_answered_before_the_kill() {
        let start = Time::from_secs(100.0);
        assert_eq!(Stop::new(start, 2.5).answered_by() - start, 3.1);
        assert_eq!(Stop::new(start, 9.0).answered_by() - start, 3.6);
    }
}
