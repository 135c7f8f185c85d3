//! `stairvale-standin`: the platform, an engine or a plain service, for tests and local measurements.

use std::process::ExitCode;

use gumdrop::Options;
use stairvale_standin::{engine, platform, service};

#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    #[options(command)]
    part: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// the platform's key-value service and list of VMs
    Platform(platform::Arguments),
    /// a model engine
    Engine(engine::Arguments),
    /// a plain service
    Service(service::Arguments),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let result = match arguments.part {
        Some(Command::Platform(arguments)) => platform::run(arguments).await,
        Some(Command::Engine(arguments)) => engine::run(arguments).await,
        Some(Command::Service(arguments)) => service::run(arguments).await,
        None => return usage(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}

#[allow(clippy::print_stderr)]
fn usage() -> ExitCode {
    eprintln!("{}", Arguments::usage());
    eprintln!("\nParts:\n{}", Arguments::command_list().unwrap_or_default());
    ExitCode::from(2)
}

#[allow(clippy::print_stderr)]
fn fail(text: &str) -> ExitCode {
    eprintln!("stairvale-standin: {text}");
    ExitCode::FAILURE
}
