//! `stairvalectl`: the operators' command-line client.

use std::process::ExitCode;

use gumdrop::Options;
use stairvale_ctl::{
    client::Client,
    command::{self, Command},
    exit,
};

#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// the operators' address of a router (default: STAIRVALE_ROUTER from the environment)
    #[options(meta = "HOST:PORT")]
    router: Option<String>,
    /// a file with the operator's key (default: the key in STAIRVALE_KEY)
    #[options(meta = "FILE")]
    key_file: Option<String>,
    /// the output format: table or json
    #[options(default = "table")]
    output: String,
    #[options(command)]
    command: Option<Command>,
}

fn read_key(arguments: &Arguments) -> Option<String> {
    match &arguments.key_file {
        Some(file) => std::fs::read_to_string(file).ok().map(|key| key.trim().to_owned()),
        None => Some(std::env::var("STAIRVALE_KEY").unwrap_or_default()),
    }
}

#[tokio::main(flavor = "current_thread")]
#[allow(clippy::print_stdout)]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = &arguments.command else {
        return usage(&format!("a command is required\n{}", Arguments::command_list().unwrap_or_default()));
    };
    if !matches!(arguments.output.as_str(), "table" | "json") {
        return usage("--output must be table or json");
    }
    let router = arguments.router.clone().or_else(|| std::env::var("STAIRVALE_ROUTER").ok());
    let router = match (router, command) {
        (Some(router), _) => router,
        (None, Command::Check(_) | Command::HashKey(_)) => String::new(),
        (None, _) => return usage("--router HOST:PORT is required"),
    };
    let Some(key) = read_key(&arguments) else {
        return usage("can't read the key file");
    };
    match command::run(&Client::new(router, key), command).await {
        Ok(output) if arguments.output == "json" => println!("{}", output.json),
        Ok(output) => print!("{}", output.table),
        Err(error) => return fail(error.current_context()),
    }
    ExitCode::from(exit::OK)
}

#[allow(clippy::print_stderr)]
fn usage(text: &str) -> ExitCode {
    eprintln!("stairvalectl: {text}");
    ExitCode::from(exit::USAGE)
}

#[allow(clippy::print_stderr)]
fn fail(error: &stairvale_ctl::client::Error) -> ExitCode {
    eprintln!("stairvalectl: {error}");
    ExitCode::from(error.exit_code())
}
