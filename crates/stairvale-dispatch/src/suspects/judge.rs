//! The rules by which a suspect is found to be the cause of crashes.
//!
//! A request runs at one upstream at a time. A part can run at many at once, together with other parts, most of which
//! are the same in other prompts. So further rules apply to parts:
//! - Upstreams that crash at the same time count as one crash, since a popular part runs at each of them.
//! - Whatever else can explain the same crashes goes first: the request, if it alone was sent again; of several parts,
//!   those that never were served. Parts that never were served and always came together are found together, after
//!   [`MAX_CRASHES`] and after [`MIN_OBSERVATION`], within which bystanders are usually served.
//! - A part that was served earlier needs more evidence: it must be the only one that explains all its crashes, and its
//!   own crashes count towards the crash rate.

use std::{cmp::Reverse, time::Duration};

use stairvale_types::{Moment, id};

use super::{
    CRASH_RATE_WINDOW, Cause, Crash, Kind, MAX_CRASHES, MIN_CRASHES, REPORT_DELAY, Run, SIMULTANEOUS, Suspect, Suspects,
};

/// A suspect is found to be the cause when a harmless one would meet as many crashes with this probability at most.
/// Of ten thousand requests, each sent up to three times while half of the upstreams crash for other reasons every 2 to
/// 20 seconds, none was found; the cause was found after five crashes (`tests/suspects.rs`).
const MAX_CHANCE: f64 = 1e-6;
/// Factor on the mean crash rate, since upstreams differ, and busy ones crash more often.
const CRASH_RATE_FACTOR: f64 = 4.0;
/// Crash rate per second that is assumed in addition to the observed crashes: one per hour.
const BASE_CRASHES_PER_SECOND: f64 = 1.0 / 3_600.0;
/// Lower limit of a run's time: a request that reaches a connection just after its upstream crashed fails at once.
const MIN_RUN: Duration = Duration::from_millis(250);
/// The probability at which a part is found after [`MAX_CRASHES`]. While many upstreams crash at once again and again,
/// some harmless part meets as many crashes, since requests have many parts.
const MAX_CHANCE_OF_MANY: f64 = 1e-4;
/// Number of crashes after which that probability applies to a part that was served earlier.
const MAX_CRASHES_OF_SERVED: usize = 8;
/// Time from the first crash under parts that always came together until they are found: several times that of most
/// requests.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);
/// Interval of judgements while nothing changes, which only remove old suspects.
const IDLE_INTERVAL: Duration = Duration::from_secs(10);

/// Which crashes count towards the crash rate.
#[derive(Clone, Copy)]
enum Counted {
    /// Those that the suspect doesn't explain.
    Others,
    /// All.
    All,
}

impl Suspects {
    /// Returns the causes that were found, by the crashes so far; `upstreams` is the number of serving upstreams.
    pub fn judge(&mut self, now: Moment, upstreams: usize) -> Vec<Cause> {
        let counting_since = *self.counting_since.get_or_insert(now);
        if self.is_empty() || !self.needs_judgement && now.since(self.judged_at) < IDLE_INTERVAL {
            return Vec::new();
        }
        self.judged_at = now;
        let span = now.since(counting_since).clamp(Duration::from_secs(1), CRASH_RATE_WINDOW);
        let exposure = span.as_secs_f64() * f64::from(u32::try_from(upstreams.max(1)).unwrap_or(u32::MAX));
        let due = self.due(now);
        self.needs_judgement = self.suspects.iter().any(|(fingerprint, suspect)| self.is_open(*fingerprint, suspect));
        let found: Vec<_> = due.iter().copied().filter(|suspect| self.is_cause(now, *suspect, exposure)).collect();
        for fingerprint in due {
            if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
                suspect.judged_runs = suspect.runs.len();
            }
        }
        let causes: Vec<_> = found.iter().flat_map(|fingerprint| self.causes(*fingerprint)).collect();
        for fingerprint in &found {
            self.dismiss_crashes_of(*fingerprint, &found);
        }
        for cause in &causes {
            self.record_found(now, cause.fingerprint);
        }
        // Old crashes are removed only after the judgement, so that a router that was suspended judges by the crashes
        // that were present when the last ones were reported.
        self.remove_old(now);
        causes
    }

    /// Returns the suspects that are to be judged, those with most crashes first. A part is judged again without further
    /// crashes, since others that may explain its crashes are served meanwhile.
    fn due(&self, now: Moment) -> Vec<id::Fingerprint> {
        let is_due = |(fingerprint, suspect): &(&id::Fingerprint, &Suspect)| {
            self.is_open(**fingerprint, suspect) && now.since(suspect.last) >= REPORT_DELAY
        };
        let mut due: Vec<_> = self.suspects.iter().filter(is_due).collect();
        due.sort_by_key(|(fingerprint, suspect)| (Reverse(suspect.runs.len()), **fingerprint));
        due.into_iter().map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Whether a judgement on a suspect can change the last one on it.
    fn is_open(&self, fingerprint: id::Fingerprint, suspect: &Suspect) -> bool {
        // Most suspects have few crashes.
        if suspect.runs.len() < MIN_CRASHES && self.found.is_empty() {
            return false;
        }
        let was_found = self.was_found(fingerprint, suspect);
        let is_conclusive = was_found || suspect.distinct_crashes() >= MIN_CRASHES;
        is_conclusive && (suspect.is_new() || matches!(suspect.kind, Kind::Part(_)) && !was_found)
    }

    /// Whether a suspect may be found at the next judgement.
    pub(super) fn is_suspicious(&self, fingerprint: id::Fingerprint, suspect: &Suspect) -> bool {
        let is_bystander = matches!(suspect.kind, Kind::Part(_)) && self.served.contains(fingerprint);
        self.was_found(fingerprint, suspect) || suspect.distinct_crashes() >= MIN_CRASHES && !is_bystander
    }

    /// Whether a suspect was found before. A part that was found in the prompts of some customers counts as found if the
    /// last crash concerned one of them.
    fn was_found(&self, fingerprint: id::Fingerprint, suspect: &Suspect) -> bool {
        if self.found.is_empty() {
            return false;
        }
        let of_customer = |customer: &id::Customer| self.found.contains_key(&fingerprint.for_customer(customer));
        let customers = suspect.runs.last().into_iter().flat_map(|run| run.customers.iter().flatten());
        self.found.contains_key(&fingerprint) || customers.into_iter().any(of_customer)
    }

    /// Returns the causes that a found suspect stands for. A part is the cause in the prompts of the customers whose
    /// requests held it at each crash, and in all prompts if there is no such customer.
    fn causes(&self, fingerprint: id::Fingerprint) -> Vec<Cause> {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Vec::new();
        };
        let crashes = suspect.runs.len();
        let Kind::Part(id) = suspect.kind else {
            return vec![Cause { fingerprint, part: None, customer: None, crashes }];
        };
        let part = Some(id);
        let customers = suspect.common_customers();
        if customers.is_empty() {
            return vec![Cause { fingerprint, part, customer: None, crashes }];
        }
        let of = |customer: id::Customer| {
            let fingerprint = fingerprint.for_customer(&customer);
            Cause { fingerprint, part, customer: Some(customer), crashes }
        };
        customers.into_iter().map(of).collect()
    }

    /// Removes the crashes of a cause from the evidence against all other suspects. The parts of a request that was found
    /// remain suspects: other requests with one of them may crash upstreams as well.
    fn dismiss_crashes_of(&mut self, cause: id::Fingerprint, found: &[id::Fingerprint]) {
        let Some(suspect) = self.suspects.get(&cause) else {
            return;
        };
        let crashes: Vec<_> = suspect.runs.iter().map(|run| run.crash).collect();
        let mut except = found.to_vec();
        if let Kind::Request(parts) = &suspect.kind {
            except.extend(parts);
        }
        self.dismiss(&crashes, &except);
        self.crashes.retain(|crash| !crashes.contains(&crash.number));
    }

    // ------------------------------------------------------------------------

    /// Whether a suspect is the cause of the crashes under it; `exposure` is the time over which crashes were counted,
    /// summed over upstreams, in seconds.
    fn is_cause(&self, now: Moment, fingerprint: id::Fingerprint, exposure: f64) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return false;
        };
        if self.was_found(fingerprint, suspect) {
            return true;
        }
        match suspect.kind {
            Kind::Request(_) => self.is_request_cause(fingerprint, suspect, exposure),
            Kind::Part(_) => self.is_part_cause(now, fingerprint, suspect, exposure),
        }
    }

    fn is_request_cause(&self, fingerprint: id::Fingerprint, suspect: &Suspect, exposure: f64) -> bool {
        let is_distinct = self.rivals(fingerprint, suspect).all(|(_, rival)| matches!(rival.kind, Kind::Part(_)));
        is_distinct
            && (suspect.runs.len() >= MAX_CRASHES || self.chance(suspect, Counted::Others, exposure) <= MAX_CHANCE)
    }

    fn is_part_cause(&self, now: Moment, fingerprint: id::Fingerprint, suspect: &Suspect, exposure: f64) -> bool {
        let was_served = self.served.contains(fingerprint);
        let mut is_tied = false;
        for (other, rival) in self.rivals(fingerprint, suspect) {
            match rival.kind {
                Kind::Request(_) => return false,
                Kind::Part(_) if was_served => return false,
                // It is more likely to be a bystander.
                Kind::Part(_) if self.served.contains(other) => {}
                Kind::Part(_) if rival.runs.len() > suspect.runs.len() => return false,
                Kind::Part(_) => is_tied = true,
            }
        }
        let crashes = suspect.distinct_crashes();
        if was_served {
            let chance = self.chance(suspect, Counted::All, exposure);
            let is_often = crashes >= MAX_CRASHES_OF_SERVED && chance <= MAX_CHANCE_OF_MANY;
            return is_often || crashes >= MAX_CRASHES && chance <= MAX_CHANCE;
        }
        let chance = self.chance(suspect, Counted::Others, exposure);
        let is_often = suspect.runs.len() >= MAX_CRASHES && chance <= MAX_CHANCE_OF_MANY;
        if is_tied {
            return is_often && suspect.runs.first().is_some_and(|run| now.since(run.at) >= MIN_OBSERVATION);
        }
        is_often || chance <= MAX_CHANCE
    }

    /// Returns the other suspects that explain all crashes under this one.
    fn rivals(
        &self,
        fingerprint: id::Fingerprint,
        suspect: &Suspect,
    ) -> impl Iterator<Item = (id::Fingerprint, &Suspect)> {
        let others = self.suspects.iter().filter(move |(other, _)| **other != fingerprint);
        others.filter(|(_, other)| other.met_all(&suspect.runs)).map(|(other, suspect)| (*other, suspect))
    }

    /// Returns the probability that a harmless suspect meets the crashes that this one met.
    fn chance(&self, suspect: &Suspect, counted: Counted, exposure: f64) -> f64 {
        let own = |crash: &&Crash| suspect.runs.iter().any(|run| run.crash == crash.number);
        let explained = match counted {
            Counted::Others => self.crashes.iter().filter(own).count(),
            Counted::All => 0,
        };
        let crashes = f64::from(u32::try_from(self.crashes.len() - explained).unwrap_or(u32::MAX));
        let rate = (crashes / exposure + BASE_CRASHES_PER_SECOND) * CRASH_RATE_FACTOR;
        let chance = |run: &Run| (rate * run.ran.max(MIN_RUN).as_secs_f64()).min(1.0);
        suspect.distinct_runs().map(chance).product()
    }
}

impl Suspect {
    /// Returns the runs that count as separate crashes: all runs of a request, and of a part the first of those at the
    /// same time.
    fn distinct_runs(&self) -> impl Iterator<Item = &Run> {
        let mut last: Option<Moment> = None;
        let is_part = matches!(self.kind, Kind::Part(_));
        self.runs.iter().filter(move |run| {
            let is_distinct = !is_part || last.is_none_or(|last| run.at.since(last) >= SIMULTANEOUS);
            if is_distinct {
                last = Some(run.at);
            }
            is_distinct
        })
    }

    fn distinct_crashes(&self) -> usize {
        self.distinct_runs().count()
    }

    /// Returns the customers whose requests held the part at each crash; none if requests without a customer held it at
    /// each crash as well.
    fn common_customers(&self) -> Vec<id::Customer> {
        let Some((first, rest)) = self.runs.split_first() else {
            return Vec::new();
        };
        let is_common = |customer: &&Option<id::Customer>| rest.iter().all(|run| run.customers.contains(customer));
        let common: Vec<_> = first.customers.iter().filter(is_common).cloned().collect();
        common.into_iter().collect::<Option<Vec<_>>>().unwrap_or_default()
    }
}
