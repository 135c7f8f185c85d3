//! A router's settings: who it is and where it listens.

use std::{fmt, net::SocketAddr, time::Duration};

use error_stack::Report;
use http::Uri;
use serde::{Deserialize, Deserializer, de::Error as _};
use stairvale_config::Operator;
use stairvale_control::node::Policy;
use stairvale_types::id;

/// The settings file is no YAML of this shape.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The line, from 1, where it can be told.
    pub line: Option<usize>,
    /// What is wrong, with the field's name.
    pub reason: String,
}

impl Fault {
    /// What the parser found. It can't tell the line of a value that a type refused, so that field is looked for: the
    /// first one whose value alone is refused with the same words.
    fn syntax(error: &serde_norway::Error, text: &str) -> Self {
        let reason = error.to_string();
        let refused = |line: &&(usize, &str)| {
            let without: String =
                text.lines().filter(|other| other != &line.1).map(|other| format!("{other}\n")).collect();
            let rest = serde_norway::from_str::<Settings>(&without);
            rest.is_err_and(|rest| !rest.to_string().contains(&reason))
        };
        let lines: Vec<_> = text.lines().enumerate().collect();
        let found = lines.iter().filter(|(_, line)| line.contains(": ")).find(refused);
        match (error.location(), found) {
            (Some(location), _) if location.line() > 1 => Self { line: Some(location.line()), reason },
            (_, Some((line, text))) => {
                let field = text.split(':').next().unwrap_or_default().trim();
                Self { line: Some(line + 1), reason: format!("{field}: {reason}") }
            }
            (location, None) => Self { line: location.map(|location| location.line()), reason },
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}", self.reason),
            None => f.write_str(&self.reason),
        }
    }
}

impl std::error::Error for Fault {}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Log {
    /// For people.
    #[default]
    Human,
    /// For programs.
    Json,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The largest body, in bytes.
    pub body: usize,
    /// The largest head, in bytes.
    pub head: usize,
    /// Requests that this router serves at once; more are refused.
    pub in_flight: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { body: 4 << 20, head: 32 << 10, in_flight: 20_000 }
    }
}

/// A router's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its name, unlike any other router's.
    pub router: id::Router,
    /// The availability zone it runs in.
    pub zone: id::Zone,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where other routers connect: streams by TCP, probes by UDP.
    pub peers: SocketAddr,
    /// The platform's service.
    #[serde(deserialize_with = "uri")]
    pub platform: Uri,
    /// What all routers of the fleet know; it keeps others off the peers' port.
    pub fleet_key: Secret,
    /// First peers; the platform's list names more.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Who may apply the very first configuration; without effect once there is one.
    #[serde(default)]
    pub first_operators: Vec<Operator>,
    /// How engines are chosen; all but `fleet` are there to compare with.
    #[serde(default)]
    pub policy: Policy,
    /// How log lines are written.
    #[serde(default)]
    pub log: Log,
    /// Threads that serve callers.
    #[serde(default = "two")]
    pub traffic_threads: usize,
    /// Limits on what callers send.
    #[serde(default)]
    pub limits: Limits,
    /// How long a stopping router still takes callers whom the balancer sends before it notices.
    #[serde(default = "default_grace", with = "humantime_serde")]
    pub balancer_grace: Duration,
    /// Decides all random choices; chance decides if it isn't given.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// A key that is never printed.
#[derive(Clone, Deserialize)]
pub struct Secret(String);

impl Secret {
    /// The key for a message authentication code.
    #[must_use]
    pub fn derive(&self) -> [u8; 32] {
        blake3::derive_key("stairvale 2026 peers", self.0.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

impl Settings {
    /// Reads settings.
    ///
    /// # Errors
    /// A [`Fault`] with the line and field of what is wrong.
    pub fn parse(text: &str) -> Result<Self, Report<Fault>> {
        let settings: Self = serde_norway::from_str(text).map_err(|error| Report::new(Fault::syntax(&error, text)))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Report<Fault>> {
        let ports = [self.callers, self.operators, self.peers];
        let clash = (0..ports.len()).any(|i| ports[..i].contains(&ports[i]));
        let reason = if clash {
            "callers, operators and peers: each needs an address of its own"
        } else if self.traffic_threads == 0 || self.traffic_threads > 64 {
            "traffic_threads: must be from 1 to 64"
        } else if self.limits.body == 0 || self.limits.in_flight == 0 || self.limits.head < 8 << 10 {
            "limits: body and in_flight must be above 0, head at least 8192"
        } else {
            return Ok(());
        };
        Err(Report::new(Fault { line: None, reason: reason.to_owned() }))
    }
}

fn uri<'de, D: Deserializer<'de>>(from: D) -> Result<Uri, D::Error> {
    let text = String::deserialize(from)?;
    let uri: Uri = text.parse().map_err(D::Error::custom)?;
    if uri.scheme_str() != Some("http") || uri.authority().is_none() {
        return Err(D::Error::custom("platform: an address such as http://10.0.0.2:9000 is expected"));
    }
    Ok(uri)
}

fn two() -> usize {
    2
}

fn default_grace() -> Duration {
    Duration::from_secs(2)
}
