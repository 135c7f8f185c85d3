//! `stairvale-router`: runs one router of the fleet.

use std::{path::PathBuf, process::ExitCode};

use gumdrop::Options;
use stairvale_router::{Settings, run, settings::LogFormat};
use tracing_subscriber::EnvFilter;

/// The exit code for an invalid command line or invalid settings.
const USAGE: u8 = 2;

#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// the settings, a YAML file
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(path) = arguments.settings else {
        return usage("--settings FILE is needed");
    };
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return usage(&format!("{}: {error}", path.display())),
    };
    let settings = match Settings::parse(&text) {
        Ok(settings) => settings,
        Err(error) => return usage(&format!("{}: {}", path.display(), error.current_context())),
    };
    init_logging(settings.log);
    match run::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error:?}");
            ExitCode::FAILURE
        }
    }
}

#[allow(clippy::print_stderr)]
fn usage(text: &str) -> ExitCode {
    eprintln!("stairvale-router: {text}");
    ExitCode::from(USAGE)
}

fn init_logging(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        LogFormat::Human => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}
