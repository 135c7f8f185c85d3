//! The commands.

use std::time::{Duration, Instant};

use error_stack::Report;
use gumdrop::Options;
use serde_json::{Value, json};
use stairvale_config::{Document, document::key_hash};

use crate::{
    client::{Client, Error},
    table,
};

/// How long `apply --wait` waits.
const WAIT: Duration = Duration::from_secs(30);
/// How often it looks.
const LOOK: Duration = Duration::from_millis(100);

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    /// check a configuration file, without any router
    Check(File),
    /// print the hash of a key that is read from standard input
    HashKey(Plain),
    /// apply a configuration file as a whole
    Apply(Apply),
    /// let nothing more go to the upstreams of an availability zone
    Evacuate(Zone),
    /// use the upstreams of an availability zone again
    Restore(Zone),
    /// print the configuration in force
    Get(Plain),
    /// print the state of the fleet as one router sees it
    Status(Plain),
    /// print the router's recent audit trail
    Audit(Plain),
    /// tell why a request or chat went where it went
    Explain(Explain),
}

/// A file to check.
#[derive(Debug, Options)]
pub struct File {
    /// print this help
    help: bool,
    /// the file
    #[options(free, required)]
    file: String,
}

/// A file to apply.
#[derive(Debug, Options)]
pub struct Apply {
    /// print this help
    help: bool,
    /// the file
    #[options(free, required)]
    file: String,
    /// wait until it is in force at every router
    wait: bool,
    /// the generation that it was made from; without it, the one in force now
    #[options(meta = "GENERATION")]
    base: Option<u64>,
    /// the submission's id, to ask again after an unknown outcome
    #[options(meta = "ID")]
    submission: Option<String>,
}

/// An availability zone to evacuate or to take back into use.
#[derive(Debug, Options)]
pub struct Zone {
    /// print this help
    help: bool,
    /// the zone's name
    #[options(free, required)]
    zone: String,
    /// wait until it is in force at every router
    wait: bool,
    /// the submission's id, to ask again after an unknown outcome
    #[options(meta = "ID")]
    submission: Option<String>,
}

/// No arguments.
#[derive(Debug, Options)]
pub struct Plain {
    /// print this help
    help: bool,
}

/// A request or chat.
#[derive(Debug, Options)]
pub struct Explain {
    /// print this help
    help: bool,
    /// the number in the stairvale-request header, or a chat's number
    #[options(free, required)]
    number: String,
}

/// What a command prints: for programs and for people.
#[derive(Debug)]
pub struct Printed {
    /// For programs.
    pub json: Value,
    /// For people.
    pub table: String,
}

impl Printed {
    fn new(json: Value, table: String) -> Self {
        Self { json, table }
    }
}

/// Runs a command.
///
/// # Errors
/// An [`Error`], whose exit code tells it from others.
pub async fn run(client: &Client, command: &Command) -> Result<Printed, Report<Error>> {
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

fn read(file: &str) -> Result<String, Report<Error>> {
    let fault = |reason: String| Report::new(Error::File { file: file.to_owned(), reason });
    let text = std::fs::read_to_string(file).map_err(|error| fault(error.to_string()))?;
    Document::parse(&text).map_err(|error| fault(error.current_context().to_string()))?;
    Ok(text)
}

fn check(file: &str) -> Result<Printed, Report<Error>> {
    read(file)?;
    Ok(Printed::new(json!({ "file": file, "valid": true }), format!("{file}: valid\n")))
}

fn hash_key() -> Result<Printed, Report<Error>> {
    let mut key = String::new();
    let read = std::io::stdin().read_line(&mut key);
    read.map_err(|_| Report::new(Error::Usage("standard input can't be read")))?;
    let hash = key_hash(key.trim());
    Ok(Printed::new(json!({ "key_hash": hash }), format!("{hash}\n")))
}

async fn apply(client: &Client, apply: &Apply) -> Result<Printed, Report<Error>> {
    let text = read(&apply.file)?;
    let base = match apply.base {
        Some(base) => base,
        None => generation(client).await?,
    };
    let submission = submission_id(apply.submission.as_ref());
    let path = format!("/v1/config?base={base}&submission={submission}");
    let accepted = client.put(&path, text).await?;
    settle(client, accepted, apply.wait, &submission).await
}

async fn evacuate(client: &Client, zone: &Zone, evacuated: bool) -> Result<Printed, Report<Error>> {
    let submission = submission_id(zone.submission.as_ref());
    let path = format!("/v1/evacuations/{}?submission={submission}", zone.zone);
    let accepted = match evacuated {
        true => client.put(&path, String::new()).await?,
        false => client.delete(&path).await?,
    };
    settle(client, accepted, zone.wait, &submission).await
}

fn submission_id(given: Option<&String>) -> String {
    given.cloned().unwrap_or_else(|| uuid::Uuid::new_v4().to_string())
}

/// Tells how a change was accepted, once it is in force everywhere if that is waited for.
async fn settle(client: &Client, accepted: Value, waits: bool, submission: &str) -> Result<Printed, Report<Error>> {
    let generation = accepted["generation"].as_u64().unwrap_or(0);
    if waits {
        wait(client, generation).await?;
    }
    let place = if waits { "in force at every router" } else { "accepted" };
    let table = format!("generation {generation} is {place} (submission {submission})\n");
    Ok(Printed::new(accepted, table))
}

async fn generation(client: &Client) -> Result<u64, Report<Error>> {
    let status = client.get("/v1/status").await?;
    Ok(status["stats"]["generation"].as_u64().unwrap_or(0))
}

async fn wait(client: &Client, generation: u64) -> Result<(), Report<Error>> {
    let begun = Instant::now();
    loop {
        let status = client.get("/v1/status").await?;
        let routers = status["routers"].as_array().cloned().unwrap_or_default();
        let behind = |router: &&Value| router["status"] == "alive" && router["generation"].as_u64() < Some(generation);
        let behind: Vec<_> = routers.iter().filter(behind).filter_map(|router| router["router"].as_str()).collect();
        if behind.is_empty() {
            return Ok(());
        }
        if begun.elapsed() >= WAIT {
            return Err(Report::new(Error::NotEverywhere { generation, routers: behind.join(", ") }));
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn get(client: &Client) -> Result<Printed, Report<Error>> {
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
    Ok(Printed::new(config, table))
}

async fn status(client: &Client) -> Result<Printed, Report<Error>> {
    let status = client.get("/v1/status").await?;
    let list = |name: &str| status[name].as_array().cloned().unwrap_or_default();
    let mut table = format!("router {} sees, at generation {}:\n\n", status["router"], status["stats"]["generation"]);
    table += &table::rows(&list("routers"), &["router", "zone", "status", "generation"]);
    table.push('\n');
    table += &table::rows(&list("upstreams"), &["upstream", "service", "zone", "usable", "home", "outstanding"]);
    Ok(Printed::new(status, table))
}

async fn audit(client: &Client) -> Result<Printed, Report<Error>> {
    let trail = client.get("/v1/audit").await?;
    let lines = trail.as_array().into_iter().flatten().map(|entry| format!("{entry}\n"));
    let table = lines.collect();
    Ok(Printed::new(trail, table))
}

async fn explain(client: &Client, number: &str) -> Result<Printed, Report<Error>> {
    if !number.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Report::new(Error::Usage("a number as in the stairvale-request header is expected")));
    }
    let records = client.get(&format!("/v1/explain/{number}")).await?;
    let mut table = String::new();
    for record in records.as_array().into_iter().flatten() {
        let end = record["upstream"].as_str().or(record["refusal"].as_str()).unwrap_or("still waiting");
        table += &format!("{} of {} for {}: {end}\n", record["attempt"], record["customer"], record["service"]);
        for step in record["steps"].as_array().into_iter().flatten() {
            table += &format!("  {}\n", step.as_str().unwrap_or("?"));
        }
    }
    if table.is_empty() {
        table = "this router remembers nothing of it; ask the router that served it\n".to_owned();
    }
    Ok(Printed::new(records, table))
}
