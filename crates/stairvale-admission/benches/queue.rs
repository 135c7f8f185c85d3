//! A push and a pop, by how many wait. The queue scans, which is why it is bounded.

#![allow(clippy::unwrap_used)]

use stairvale_admission::{Queue, queue::Item};
use stairvale_types::{Class, Moment, id};

fn main() {
    divan::main();
}

#[divan::bench(args = [8, 64, 512])]
fn push_and_pop(bencher: divan::Bencher, waiting: usize) {
    let mut queue = Queue::new(waiting + 1);
    let customers: Vec<id::Customer> = (0..10).map(|n| format!("customer-{n}").parse().unwrap()).collect();
    let until = Moment::from_millis(60_000);
    let item = |n: usize| Item::new(n, customers[n % 10].clone(), Class::ALL[n % 3], until);
    for number in 0..waiting {
        queue.push(Moment::ZERO, item(number)).unwrap();
    }
    let mut number = waiting;
    bencher.bench_local(|| {
        number += 1;
        queue.push(Moment::ZERO, item(number)).unwrap();
        queue.pop(Moment::ZERO).map(|item| item.value)
    });
}
