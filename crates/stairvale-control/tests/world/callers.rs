//! What callers and operators do.

use super::*;

impl World {
    /// A request comes in at a router.
    pub fn request(&mut self, router: &str, service: &str, chat: Option<u64>, deadline: Duration) -> id::Attempt {
        let attempt = id::Attempt(self.number());
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
        self.fates.insert(attempt, Fate::Asking);
        self.entries.insert(attempt, router.to_owned());
        self.input_now(router, Input::Request(request));
        attempt
    }

    /// A request of the customer that has a rate comes in at a router, which lets it pass by what it was told.
    pub fn ask_limited(&mut self, router: &str) -> bool {
        let customer: id::Customer = "limited".parse().unwrap();
        let fraction = self.shares.get(&(router.to_owned(), customer.clone())).copied().unwrap_or(Fraction::ALL);
        let passed = self.rng.random_ratio(fraction.millionths(), 1_000_000);
        self.input_now(router, Input::Asked { customer, passed });
        passed
    }

    /// A caller gives up.
    pub fn give_up(&mut self, router: &str, attempt: id::Attempt) {
        self.finish(router, attempt);
    }

    /// A request with an idempotency key comes in at a router.
    pub fn claim(&mut self, router: &str, key: u128) -> id::Attempt {
        let attempt = id::Attempt(self.number());
        // Spread over shards as real keys are.
        let key = id::Key(key.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835));
        self.claim_keys.insert(attempt, key);
        self.input_now(router, Input::Claim { key, attempt });
        attempt
    }

    /// A frame comes in once more, as if the network had kept a copy.
    pub fn frame(&mut self, router: &str, from: &str, frame: stairvale_wire::Frame) {
        self.input_now(router, Input::Frame { from: from.parse().unwrap(), frame });
    }

    /// A router is told to stop as planned.
    pub fn leave(&mut self, router: &str) {
        self.routers.get_mut(router).unwrap().leaving = true;
        self.input_now(router, Input::Leave);
    }

    /// An operator submits a document at a router and waits for the end.
    pub fn apply(&mut self, router: &str, text: &str, base: u64, submission: &str) -> Outcome {
        let machine = self.submission(text, base, submission);
        self.submit(router, machine)
    }

    /// An operator evacuates a zone at a router, or takes it back, and waits for the end.
    pub fn evacuate(&mut self, router: &str, zone: &str, evacuated: bool, submission: &str) -> Outcome {
        let zone = zone.parse().unwrap();
        let intent = if evacuated { Intent::Evacuate(zone) } else { Intent::Restore(zone) };
        let machine = self.intend(intent, submission);
        self.submit(router, machine)
    }

    fn submit(&mut self, router: &str, mut machine: Machine) -> Outcome {
        let mut step = machine.start();
        loop {
            match step {
                Step::Done(outcome) => {
                    self.accepted(router, &machine, &outcome);
                    return outcome;
                }
                Step::Call(key, action) => {
                    let answer = self.store_call(&key, action);
                    step = machine.answer(answer);
                }
            }
        }
    }

    pub fn submission(&self, text: &str, base: u64, submission: &str) -> Machine {
        self.intend(Intent::Document { text: text.to_owned(), base: Generation(base) }, submission)
    }

    fn intend(&self, intent: Intent, submission: &str) -> Machine {
        Machine::new(Submission {
            id: submission.to_owned(),
            operator: "op".parse().unwrap(),
            intent,
            at_ms: self.now / 1_000,
        })
    }

    pub fn accepted(&mut self, router: &str, machine: &Machine, outcome: &Outcome) {
        if let Outcome::Accepted(manifest) = outcome {
            let chunks = machine.chunks().to_vec();
            self.input_now(router, Input::Accepted { manifest: manifest.clone(), chunks });
        }
    }

    pub fn store_call(&mut self, key: &str, action: Action) -> Answer {
        if self.faults.store_down {
            return Answer::Lost;
        }
        let answer = self.store.call(self.now, key, action);
        if self.rng.random_bool(self.faults.lost_answers) { Answer::Lost } else { answer }
    }
}
