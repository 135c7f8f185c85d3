//! Cost of computing a request's fingerprint.

use divan::{Bencher, black_box};
use stairvale_serve::fingerprint;

fn main() {
    divan::main();
}

/// A request with a body of the given number of bytes.
#[divan::bench(args = [0, 600, 4_700, 18_000])]
fn body(bencher: Bencher<'_, '_>, bytes: usize) {
    let (head, ()) = http::Request::post("/reviews/7?full=1").body(()).unwrap_or_default().into_parts();
    let customer = "customer-7".parse().ok();
    let body = vec![b'x'; bytes];
    bencher.bench_local(|| fingerprint::of(black_box(&head), customer.as_ref(), black_box(&body)));
}
