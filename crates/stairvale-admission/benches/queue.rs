//! The time of a push and a pop by the number of queued items. The queue scans its items, which is why it is bounded.

#![allow(clippy::unwrap_used)]

use stairvale_admission::{Queue, queue::Item};
use stairvale_types::{Class, Moment, id};

fn main() {
    divan::main();
}

#[divan::bench(args = [8, 64, 512])]
fn push_and_pop(bencher: divan::Bencher, queued: usize) {
    let mut queue = Queue::new(queued + 1);
    let customers: Vec<id::Customer> = (0..10).map(|n| format!("customer-{n}").parse().unwrap()).collect();
    let until = Moment::from_millis(60_000);
    let item = |n: usize| Item::new(n, customers[n % 10].clone(), Class::ALL[n % 3], until);
    for number in 0..queued {
        queue.push(Moment::ZERO, item(number)).unwrap();
    }
    let mut number = queued;
    bencher.bench_local(|| {
        number += 1;
        queue.push(Moment::ZERO, item(number)).unwrap();
        queue.pop(Moment::ZERO).map(|item| item.value)
    });
}
