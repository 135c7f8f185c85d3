//! Stand-ins and drivers of the review's cases. It uses the standard library only.
//!
//! `kit runner ...` is a runner of the platform as PROTOCOL describes it: an engine that streams events, or a plain service.
//! `kit CASE DIR` drives one case: it starts the store, the runners and the routers as processes, sends the requests, and
//! writes `record.txt` to DIR. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod case;
mod http;
mod runner;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match words.as_slice() {
        [_, "runner", options @ ..] => runner::run(options),
        [_, name, dir] => case::run(name, dir),
        _ => {
            eprintln!("usage: kit runner OPTIONS | kit CASE DIR");
            2
        }
    };
    std::process::exit(code);
}
