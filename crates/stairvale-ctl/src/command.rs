//! The commands of `stairvalectl`.

use std::time::{Duration, Instant};

use error_stack::Report;
use gumdrop::Options;
use serde_json::{Value, json};
use stairvale_config::{Document, document::key_hash};

use crate::{
    client::{Client, Error},
    table,
};

/// Maximum time that `--wait` waits for a generation to be in force at every router.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between the status requests of `--wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The command to run.
#[derive(Debug, Options)]
pub enum Command {
    /// check a configuration file, without any router
    Check(File),
    /// read a key from standard input and print its hash
    HashKey(NoArguments),
    /// apply a configuration file as the complete configuration
    Apply(Apply),
    /// send no more requests to the upstreams of an availability zone
    Evacuate(Zone),
    /// send requests to the upstreams of an evacuated availability zone again
    Restore(Zone),
    /// print the configuration in force
    Get(NoArguments),
    /// print the state of the fleet as observed by the router
    Status(NoArguments),
    /// print the router's recent audit trail
    Audit(NoArguments),
    /// explain how a request or chat was routed
    Explain(Explain),
}

/// Arguments of `check`.
#[derive(Debug, Options)]
pub struct File {
    /// print this help
    help: bool,
    /// the configuration file
    #[options(free, required)]
    file: String,
}

/// Arguments of `apply`.
#[derive(Debug, Options)]
pub struct Apply {
    /// print this help
    help: bool,
    /// the configuration file
    #[options(free, required)]
    file: String,
    /// wait until the change is in force at every router
    wait: bool,
    /// the generation that the file is based on (default: the one in force)
    #[options(meta = "GENERATION")]
    base: Option<u64>,
    /// the id of the submission, to retry after an unknown outcome (default: a random id)
    #[options(meta = "ID")]
    submission: Option<String>,
}

/// Arguments of `evacuate` and `restore`.
#[derive(Debug, Options)]
pub struct Zone {
    /// print this help
    help: bool,
    /// the name of the zone
    #[options(free, required)]
    zone: String,
    /// wait until the change is in force at every router
    wait: bool,
    /// the id of the submission, to retry after an unknown outcome (default: a random id)
    #[options(meta = "ID")]
    submission: Option<String>,
}

/// Arguments of commands that only have `--help`.
#[derive(Debug, Options)]
pub struct NoArguments {
    /// print this help
    help: bool,
}

/// Arguments of `explain`.
#[derive(Debug, Options)]
pub struct Explain {
    /// print this help
    help: bool,
    /// the id in the stairvale-request header, or the id of a chat
    #[options(free, required)]
    number: String,
}

/// The result of a command in both output formats.
#[derive(Debug)]
pub struct Output {
    /// The output for `--output json`.
    pub json: Value,
    /// The output for `--output table`.
    pub table: String,
}

impl Output {
    fn new(json: Value, table: String) -> Self {
        Self { json, table }
    }
}

/// Runs a command and returns its output.
///
/// # Errors
/// Returns an [`Error`], see [`Error::exit_code`].
pub async fn run(client: &Client, command: &Command) -> Result<Output, Report<Error>> {
    match command {
        Command::Check(file) => check(&file.file),
        Command::HashKey(_) => hash_key(),
        Command::Apply(apply) => self::apply(client, apply).await,
        Command::Evacuate(zone) => evacuate(client, zone, true).await,
        Command::Restore(zone) => evacuate(client, zone, false).await,
        Command::Get(_) => get(client).await,
        Command::Status(_) => status(client).await,
        Command::Audit(_) => audit(client).await,
        Command::Explain(explain) => self::explain(client, &explain.number).await,
    }
}

fn read_document(file: &str) -> Result<String, Report<Error>> {
    let file_error = |reason: String| Report::new(Error::File { file: file.to_owned(), reason });
    let text = std::fs::read_to_string(file).map_err(|error| file_error(error.to_string()))?;
    Document::parse(&text).map_err(|error| file_error(error.current_context().to_string()))?;
    Ok(text)
}

fn check(file: &str) -> Result<Output, Report<Error>> {
    read_document(file)?;
    Ok(Output::new(json!({ "file": file, "valid": true }), format!("{file}: valid\n")))
}

fn hash_key() -> Result<Output, Report<Error>> {
    let mut key = String::new();
    let read = std::io::stdin().read_line(&mut key);
    read.map_err(|_| Report::new(Error::Usage("can't read the key from standard input")))?;
    let hash = key_hash(key.trim());
    Ok(Output::new(json!({ "key_hash": hash }), format!("{hash}\n")))
}

async fn apply(client: &Client, apply: &Apply) -> Result<Output, Report<Error>> {
    let text = read_document(&apply.file)?;
    let base = match apply.base {
        Some(base) => base,
        None => current_generation(client).await?,
    };
    let submission = submission_id(apply.submission.as_ref());
    let path = format!("/v1/config?base={base}&submission={submission}");
    let accepted = client.put(&path, text).await?;
    report_accepted(client, accepted, apply.wait, &submission).await
}

async fn evacuate(client: &Client, zone: &Zone, evacuated: bool) -> Result<Output, Report<Error>> {
    let submission = submission_id(zone.submission.as_ref());
    let path = format!("/v1/evacuations/{}?submission={submission}", zone.zone);
    let accepted = match evacuated {
        true => client.put(&path, String::new()).await?,
        false => client.delete(&path).await?,
    };
    report_accepted(client, accepted, zone.wait, &submission).await
}

fn submission_id(given: Option<&String>) -> String {
    given.cloned().unwrap_or_else(|| uuid::Uuid::new_v4().to_string())
}

/// Reports an accepted change. If `waits` is set, it first waits until the change is in force at every router.
async fn report_accepted(
    client: &Client,
    accepted: Value,
    waits: bool,
    submission: &str,
) -> Result<Output, Report<Error>> {
    let generation = accepted["generation"].as_u64().unwrap_or(0);
    if waits {
        wait_until_in_force(client, generation).await?;
    }
    let state = if waits { "in force at every router" } else { "accepted" };
    let table = format!("generation {generation} is {state} (submission {submission})\n");
    Ok(Output::new(accepted, table))
}

async fn current_generation(client: &Client) -> Result<u64, Report<Error>> {
    let status = client.get("/v1/status").await?;
    Ok(status["stats"]["generation"].as_u64().unwrap_or(0))
}

async fn wait_until_in_force(client: &Client, generation: u64) -> Result<(), Report<Error>> {
    let started = Instant::now();
    loop {
        let status = client.get("/v1/status").await?;
        let routers = status["routers"].as_array().cloned().unwrap_or_default();
        let is_behind =
            |router: &&Value| router["status"] == "alive" && router["generation"].as_u64() < Some(generation);
        let behind: Vec<_> = routers.iter().filter(is_behind).filter_map(|router| router["router"].as_str()).collect();
        if behind.is_empty() {
            return Ok(());
        }
        if started.elapsed() >= IN_FORCE_TIMEOUT {
            return Err(Report::new(Error::NotEverywhere { generation, routers: behind.join(", ") }));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn get(client: &Client) -> Result<Output, Report<Error>> {
    let config = client.get("/v1/config").await?;
    let change = &config["change"];
    let text = |value: &Value| value.as_str().unwrap_or("?").to_owned();
    let mut head = format!(
        "# generation {}, applied by {} at {} ms since 1970\n",
        change["generation"],
        text(&change["operator"]),
        change["at_ms"],
    );
    for (zone, evacuation) in config["evacuated"].as_object().into_iter().flatten() {
        let (operator, at_ms) = (text(&evacuation["operator"]), &evacuation["at_ms"]);
        head += &format!("# {zone} is evacuated, by {operator} at {at_ms} ms since 1970\n");
    }
    let table = head + config["document"].as_str().unwrap_or("");
    Ok(Output::new(config, table))
}

async fn status(client: &Client) -> Result<Output, Report<Error>> {
    let status = client.get("/v1/status").await?;
    let list = |name: &str| status[name].as_array().cloned().unwrap_or_default();
    let mut table = format!(
        "fleet as observed by router {}, at generation {}:\n\n",
        status["router"], status["stats"]["generation"]
    );
    table += &table::format_table(&list("routers"), &["router", "zone", "status", "generation"]);
    table.push('\n');
    table +=
        &table::format_table(&list("upstreams"), &["upstream", "service", "zone", "usable", "home", "outstanding"]);
    Ok(Output::new(status, table))
}

async fn audit(client: &Client) -> Result<Output, Report<Error>> {
    let audit_trail = client.get("/v1/audit").await?;
    let lines = audit_trail.as_array().into_iter().flatten().map(|entry| format!("{entry}\n"));
    let table = lines.collect();
    Ok(Output::new(audit_trail, table))
}

async fn explain(client: &Client, number: &str) -> Result<Output, Report<Error>> {
    if !number.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Report::new(Error::Usage("expected an id as in the stairvale-request header (hexadecimal)")));
    }
    let records = client.get(&format!("/v1/explain/{number}")).await?;
    let mut table = String::new();
    for record in records.as_array().into_iter().flatten() {
        let result = record["upstream"].as_str().or(record["refusal"].as_str()).unwrap_or("still waiting");
        table += &format!("{} of {} for {}: {result}\n", record["attempt"], record["customer"], record["service"]);
        for step in record["steps"].as_array().into_iter().flatten() {
            table += &format!("  {}\n", step.as_str().unwrap_or("?"));
        }
    }
    if table.is_empty() {
        table = "this router has no record of it; query the router that served it\n".to_owned();
    }
    Ok(Output::new(records, table))
}
