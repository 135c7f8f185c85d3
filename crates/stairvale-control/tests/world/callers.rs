//! Actions of callers and operators.

use super::*;

impl World {
    /// Sends a request to a router and returns its attempt.
    pub fn send_request(&mut self, router: &str, service: &str, chat: Option<u64>, deadline: Duration) -> id::Attempt {
        let attempt = id::Attempt(self.next_number());
        let customer = format!("customer-{}", self.rng.random_range(0..4));
        let request = Request {
            attempt,
            profile: Profile {
                service: service.parse().unwrap(),
                customer: customer.parse().unwrap(),
                weight: 1,
                class: Class::ALL[self.rng.random_range(0..3)],
                chat: chat.map(id::Chat),
                returning: chat.is_some(),
            },
            prompt: unit::Tokens(2_000),
            deadline,
            retry: false,
            avoid: Vec::new(),
        };
        self.request_states.insert(attempt, RequestState::Waiting);
        self.entry_routers.insert(attempt, router.to_owned());
        self.input_now(router, Input::Request(request));
        attempt
    }

    /// Sends a request of the rate-limited customer to a router, which lets it pass with the share that it received.
    /// Returns whether the request passed.
    pub fn send_limited_request(&mut self, router: &str) -> bool {
        let customer: id::Customer = "limited".parse().unwrap();
        let fraction = self.shares.get(&(router.to_owned(), customer.clone())).copied().unwrap_or(Fraction::ALL);
        let passed = self.rng.random_ratio(fraction.millionths(), 1_000_000);
        self.input_now(router, Input::RateLimitChecked { customer, passed });
        passed
    }

    /// Ends a request because its caller has given up.
    pub fn abandon_request(&mut self, router: &str, attempt: id::Attempt) {
        self.end_request(router, attempt);
    }

    /// Sends a request with an idempotency key to a router and returns its attempt.
    pub fn send_claim(&mut self, router: &str, key: u128) -> id::Attempt {
        let attempt = id::Attempt(self.next_number());
        // Distributes the keys evenly over the shards, as random keys are.
        let key = id::Key(key.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835));
        self.claim_keys.insert(attempt, key);
        self.input_now(router, Input::Claim { key, attempt });
        attempt
    }

    /// Delivers a frame to a router, such as a second copy that the network held back.
    pub fn deliver_frame(&mut self, router: &str, from: &str, frame: stairvale_wire::Frame) {
        self.input_now(router, Input::Frame { from: from.parse().unwrap(), frame });
    }

    /// Starts a router's planned stop.
    pub fn begin_stop(&mut self, router: &str) {
        self.routers.get_mut(router).unwrap().leaving = true;
        self.input_now(router, Input::Leave);
    }

    /// Submits a document at a router and runs the submission to its outcome.
    pub fn apply(&mut self, router: &str, text: &str, base: u64, submission: &str) -> Outcome {
        let machine = self.submission(text, base, submission);
        self.run_submission(router, machine)
    }

    /// Submits the evacuation of a zone, or its restoration, at a router and runs the submission to its outcome.
    pub fn evacuate(&mut self, router: &str, zone: &str, evacuated: bool, submission: &str) -> Outcome {
        let zone = zone.parse().unwrap();
        let intent = if evacuated { Intent::Evacuate(zone) } else { Intent::Restore(zone) };
        let machine = self.submission_of(intent, submission);
        self.run_submission(router, machine)
    }

    fn run_submission(&mut self, router: &str, mut machine: Machine) -> Outcome {
        let mut step = machine.start();
        loop {
            match step {
                Step::Done(outcome) => {
                    self.notify_accepted(router, &machine, &outcome);
                    return outcome;
                }
                Step::Call(key, action) => {
                    let answer = self.call_store(&key, action);
                    step = machine.answer(answer);
                }
            }
        }
    }

    /// Creates the submission of a document based on a generation.
    pub fn submission(&self, text: &str, base: u64, submission: &str) -> Machine {
        self.submission_of(Intent::Document { text: text.to_owned(), base: Generation(base) }, submission)
    }

    fn submission_of(&self, intent: Intent, submission: &str) -> Machine {
        Machine::new(Submission {
            id: submission.to_owned(),
            operator: "op".parse().unwrap(),
            intent,
            at_ms: self.now / 1_000,
        })
    }

    /// Passes an accepted manifest and its chunks to the router at which it was submitted.
    pub fn notify_accepted(&mut self, router: &str, machine: &Machine, outcome: &Outcome) {
        if let Outcome::Accepted(manifest) = outcome {
            let chunks = machine.chunks().to_vec();
            self.input_now(router, Input::Accepted { manifest: manifest.clone(), chunks });
        }
    }

    /// Calls the store. During a store outage the call has no effect; otherwise its answer may be lost.
    pub fn call_store(&mut self, key: &str, action: Action) -> Answer {
        if self.faults.store_outage {
            return Answer::Lost;
        }
        let answer = self.store.call(self.now, key, action);
        if self.rng.random_bool(self.faults.lost_answer_rate) { Answer::Lost } else { answer }
    }
}
