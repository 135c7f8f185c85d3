//! `stairvale-load`: seeded load on a fleet, every answer checked.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use gumdrop::Options;
use stairvale_load::{
    drive::{self, Settings},
    plan::Shape,
    sample::Parts,
};

/// Exit code if an answer was lost, doubled or mixed, or a router's invariant broke.
const BROKEN: u8 = 1;
/// Exit code for a wrong command line.
const USAGE: u8 = 2;

#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// the routers' callers' addresses
    #[options(meta = "ADDR,…", required)]
    routers: String,
    /// the routers' operators' addresses
    #[options(meta = "ADDR,…", required)]
    operators: String,
    /// an operator's key
    #[options(required)]
    operator_key: String,
    /// the platform's address
    #[options(required)]
    platform: Option<SocketAddr>,
    /// customers' keys, the largest customer's first
    #[options(meta = "KEY,…", required)]
    keys: String,
    /// the chat service
    #[options(default = "assist-llm")]
    service: String,
    /// the plain service
    #[options(default = "points-api")]
    plain: String,
    /// how long, in seconds
    #[options(default = "10")]
    seconds: f64,
    /// chat turns a second
    #[options(default = "100")]
    rate: f64,
    /// plain calls a second
    #[options(default = "10")]
    plain_rate: f64,
    /// mean turns of a chat
    #[options(default = "6")]
    turns: f64,
    /// median gap between turns, in seconds
    #[options(default = "1")]
    gap: f64,
    /// median tokens of a first prompt
    #[options(default = "600")]
    prompt: f64,
    /// mean tokens of an answer
    #[options(default = "40")]
    answer: f64,
    /// from the middle on, the first customer asks so many times its rate
    #[options(default = "1")]
    surge: f64,
    /// what comes before this isn't measured, in seconds
    #[options(default = "2")]
    warmup: f64,
    /// decides the whole load
    #[options(default = "1")]
    seed: u64,
    /// a name for the report
    #[options(default = "steady")]
    scenario: String,
    /// the policy that the routers follow, for the report
    #[options(default = "fleet")]
    policy: String,
    /// a document to apply now and then, to see how long it takes to be in force
    #[options(meta = "FILE")]
    apply: Option<PathBuf>,
    /// where the report goes as JSON
    #[options(meta = "FILE")]
    json: Option<PathBuf>,
}

fn addresses(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',').map(|address| address.parse().ok()).collect()
}

fn settings(arguments: &Arguments) -> Option<Settings> {
    let document = match &arguments.apply {
        Some(path) => Some(std::fs::read_to_string(path).ok()?),
        None => None,
    };
    let keys: Vec<_> = arguments.keys.split(',').map(str::to_owned).collect();
    let shape = Shape {
        seconds: arguments.seconds,
        rate: arguments.rate,
        plain_rate: arguments.plain_rate,
        customers: keys.len(),
        turns: arguments.turns,
        gap: arguments.gap,
        prompt: arguments.prompt,
        answer: arguments.answer,
        surge: arguments.surge,
        ..Shape::default()
    };
    Some(Settings {
        shape,
        seed: arguments.seed,
        scenario: arguments.scenario.clone(),
        policy: arguments.policy.clone(),
        routers: addresses(&arguments.routers)?,
        parts: Parts {
            platform: arguments.platform?,
            operators: addresses(&arguments.operators)?,
            operator_key: arguments.operator_key.clone(),
        },
        keys,
        service: arguments.service.clone(),
        plain: arguments.plain.clone(),
        document,
        warmup: Duration::from_secs_f64(arguments.warmup),
    })
}

#[tokio::main]
#[allow(clippy::print_stdout, clippy::print_stderr)]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(settings) = settings(&arguments) else {
        eprintln!("stairvale-load: an address or file on the command line can't be read");
        return ExitCode::from(USAGE);
    };
    let report = drive::run(settings).await;
    print!("{report}");
    if let Some(path) = &arguments.json {
        let json = serde_json::to_string_pretty(&report).unwrap_or_default();
        if let Err(error) = std::fs::write(path, json) {
            eprintln!("stairvale-load: {}: {error}", path.display());
            return ExitCode::from(USAGE);
        }
    }
    if report.is_broken() { ExitCode::from(BROKEN) } else { ExitCode::SUCCESS }
}
