//! A router's settings: its identity, its addresses and its limits, read from a YAML file.

use std::{fmt, net::SocketAddr, time::Duration};

use error_stack::Report;
use http::Uri;
use serde::{Deserialize, Deserializer, de::Error as _};
use stairvale_config::Operator;
use stairvale_control::node::Policy;
use stairvale_types::id;

/// An error in the settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The line, counted from 1, if it could be determined.
    pub line: Option<usize>,
    /// The reason, with the field's name.
    pub reason: String,
}

impl SettingsError {
    /// Converts an error of the YAML parser. The parser doesn't report the line of a value that a type rejected, so the
    /// line is searched for: it is the first one without which the parser reports a different error.
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

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}", self.reason),
            None => f.write_str(&self.reason),
        }
    }
}

impl std::error::Error for SettingsError {}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text for people.
    #[default]
    Human,
    /// One JSON object per line, for programs.
    Json,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The maximum size of a request's body in bytes.
    pub body: usize,
    /// The maximum size of a request's head in bytes.
    pub head: usize,
    /// The maximum number of requests that this router serves at the same time; further requests are refused.
    pub in_flight: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { body: 4 << 20, head: 32 << 10, in_flight: 20_000 }
    }
}

/// A router's settings, as written in its settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The router's name, unique in the fleet.
    pub router: id::Router,
    /// The availability zone that the router runs in.
    pub zone: id::Zone,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for other routers: TCP for streams, UDP for probes.
    pub peers: SocketAddr,
    /// The HTTP address of the platform.
    #[serde(deserialize_with = "uri")]
    pub platform: Uri,
    /// The secret shared by all routers of the fleet, which authenticates traffic on the peers' port.
    pub fleet_key: Secret,
    /// Peers to contact first; further ones are discovered through the platform's list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The operators who may apply the first configuration; ignored once a configuration is in force.
    #[serde(default)]
    pub first_operators: Vec<Operator>,
    /// The policy that chooses engines; all but `fleet` exist only for comparison.
    #[serde(default)]
    pub policy: Policy,
    /// The format of log lines.
    #[serde(default)]
    pub log: LogFormat,
    /// The number of threads that serve callers.
    #[serde(default = "two")]
    pub traffic_threads: usize,
    /// The VM's memory in MB (2^20 bytes), which bounds what the router holds for its callers; by default what the system
    /// shows.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Limits on what callers send.
    #[serde(default)]
    pub limits: Limits,
    /// How long a stopping router still accepts callers, until the load balancer notices that it is not ready.
    #[serde(default = "default_grace", with = "humantime_serde")]
    pub balancer_grace: Duration,
    /// The seed of the control node's random number generator; chosen at random if not given.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// A secret key whose `Debug` output hides its value.
#[derive(Clone, Deserialize)]
pub struct Secret(String);

impl Secret {
    /// Derives the key for message authentication codes between peers.
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
    /// Parses and validates settings in YAML.
    ///
    /// # Errors
    /// A [`SettingsError`] with the field and, where possible, the line of the error.
    pub fn parse(text: &str) -> Result<Self, Report<SettingsError>> {
        let settings: Self =
            serde_norway::from_str(text).map_err(|error| Report::new(SettingsError::syntax(&error, text)))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Report<SettingsError>> {
        let ports = [self.callers, self.operators, self.peers];
        let is_duplicate = (0..ports.len()).any(|i| ports[..i].contains(&ports[i]));
        let reason = if is_duplicate {
            "callers, operators and peers: each needs an address of its own"
        } else if self.memory_mb == Some(0) {
            "memory_mb: must be above 0"
        } else if self.traffic_threads == 0 || self.traffic_threads > 64 {
            "traffic_threads: must be from 1 to 64"
        } else if self.limits.body == 0 || self.limits.in_flight == 0 || self.limits.head < 8 << 10 {
            "limits: body and in_flight must be above 0, head at least 8192"
        } else {
            return Ok(());
        };
        Err(Report::new(SettingsError { line: None, reason: reason.to_owned() }))
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
