//! Command-line parsing.

use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use turnford_config::ObjectKind;
use turnford_policy::RoutingPolicy;

use crate::help;

/// Seed of a load run if `--seed` is absent.
const DEFAULT_SEED: u64 = 1;

/// A parsed command.
#[derive(Debug)]
pub(crate) enum Command {
    Help(&'static str),
    Version,
    Node(NodeArgs),
    /// Settings file; if absent, the platform's environment variable names it.
    Serve(Option<PathBuf>),
    Check(Vec<PathBuf>),
    Apply(ObjectArgs<Vec<PathBuf>>),
    Get(ObjectArgs<ObjectName>),
    Delete(ObjectArgs<ObjectName>),
    History(ObjectArgs<ObjectName>),
    Status(SocketAddr),
    Drain(SocketAddr),
    Demo,
    Standin(StandinArgs),
    Load(LoadArgs),
}

/// Arguments of `node`.
#[derive(Debug)]
pub(crate) struct NodeArgs {
    pub(crate) config: PathBuf,
    pub(crate) policy: RoutingPolicy,
    pub(crate) admits: bool,
}

/// Arguments of the commands on objects.
#[derive(Debug)]
pub(crate) struct ObjectArgs<T> {
    pub(crate) objects: SocketAddr,
    pub(crate) author: String,
    /// Version that the object must have; if absent, the version that the first read returns.
    pub(crate) expected: Option<u64>,
    pub(crate) subject: T,
}

/// Kind and name of one object.
#[derive(Clone, Debug)]
pub(crate) struct ObjectName {
    pub(crate) kind: ObjectKind,
    pub(crate) name: String,
}

/// Arguments of `standin`.
#[derive(Debug)]
pub(crate) struct StandinArgs {
    pub(crate) scenario: PathBuf,
    pub(crate) objects_port: u16,
    pub(crate) control_port: u16,
    pub(crate) duration: Option<Duration>,
}

/// Arguments of `load`.
#[derive(Debug)]
pub(crate) struct LoadArgs {
    pub(crate) scenario: PathBuf,
    pub(crate) nodes: Vec<SocketAddr>,
    pub(crate) control: Option<SocketAddr>,
    /// Nodes to start in this process if no addresses are given.
    pub(crate) own_nodes: usize,
    pub(crate) rate: f64,
    pub(crate) duration: Duration,
    pub(crate) deadline: Option<Duration>,
    pub(crate) seed: u64,
    pub(crate) policy: RoutingPolicy,
    pub(crate) admits: bool,
    pub(crate) burst: Option<(Duration, Duration)>,
    pub(crate) burst_factor: f64,
    pub(crate) json: Option<PathBuf>,
    pub(crate) plot: Option<PathBuf>,
}

/// All errors found in the arguments.
#[derive(Debug)]
pub(crate) struct UsageError(Vec<String>);

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\nSee 'turnford --help'.", self.0.join("\nturnford: "))
    }
}

/// Options and positional arguments of one command, with all errors found so far.
struct OptionParser {
    command: &'static str,
    named: Vec<(String, OsString)>,
    values: Vec<OsString>,
    errors: Vec<String>,
}

/// An option that a command accepts.
struct OptionSpec {
    name: &'static str,
    takes_value: bool,
}

/// Name, options and help text of each command.
const COMMANDS: &[(&str, &[OptionSpec], &str)] = &[
    (
        "node",
        &[value("config"), value("policy"), flag("no-admission")],
        help::NODE_HELP,
    ),
    ("serve", &[value("config")], help::SERVE_HELP),
    ("check", &[], help::CHECK_HELP),
    (
        "apply",
        &[value("objects"), value("author"), value("expect")],
        help::APPLY_HELP,
    ),
    ("get", &[value("objects")], help::GET_HELP),
    (
        "delete",
        &[value("objects"), value("author"), value("expect")],
        help::DELETE_HELP,
    ),
    ("history", &[value("objects")], help::HISTORY_HELP),
    ("status", &[value("node")], help::STATUS_HELP),
    ("drain", &[value("node")], help::DRAIN_HELP),
    ("demo", &[], help::DEMO_HELP),
    (
        "standin",
        &[
            value("scenario"),
            value("objects-port"),
            value("control-port"),
            value("seconds"),
        ],
        help::STANDIN_HELP,
    ),
    (
        "load",
        &[
            value("scenario"),
            value("node"),
            value("control"),
            value("own-nodes"),
            value("rate"),
            value("seconds"),
            value("deadline-ms"),
            value("seed"),
            value("policy"),
            flag("no-admission"),
            value("burst-at"),
            value("burst-seconds"),
            value("burst-factor"),
            value("json"),
            value("plot"),
        ],
        help::LOAD_HELP,
    ),
];

const fn value(name: &'static str) -> OptionSpec {
    OptionSpec {
        name,
        takes_value: true,
    }
}

const fn flag(name: &'static str) -> OptionSpec {
    OptionSpec {
        name,
        takes_value: false,
    }
}

/// Parses the arguments that follow the program's name.
///
/// # Errors
///
/// Returns all errors of the command line at once.
pub(crate) fn parse_arguments(arguments: Vec<OsString>) -> Result<Command, UsageError> {
    let mut parser = Parser::from_args(arguments);
    let first = parser
        .next()
        .map_err(|error| UsageError(vec![error.to_string()]))?;
    let name = match first {
        None => return Err(UsageError(vec!["a command is missing".to_owned()])),
        Some(Arg::Long("help") | Arg::Short('h')) => return Ok(Command::Help(help::HELP)),
        Some(Arg::Long("version") | Arg::Short('V')) => return Ok(Command::Version),
        Some(Arg::Value(name)) => name.to_string_lossy().into_owned(),
        Some(other) => return Err(UsageError(vec![other.unexpected().to_string()])),
    };
    let known = COMMANDS.iter().find(|(known, _, _)| *known == name);
    let Some((command, options, help)) = known else {
        return Err(UsageError(vec![format!("unknown command {name:?}")]));
    };
    let mut option_parser = OptionParser {
        command,
        named: Vec::new(),
        values: Vec::new(),
        errors: Vec::new(),
    };
    if option_parser.collect(&mut parser, options) {
        return Ok(Command::Help(help));
    }
    let parsed = option_parser.parse();
    match parsed {
        Some(parsed) if option_parser.errors.is_empty() => Ok(parsed),
        _ => Err(UsageError(option_parser.errors)),
    }
}

impl OptionParser {
    /// Collects all arguments; returns true if help was requested.
    fn collect(&mut self, parser: &mut Parser, options: &[OptionSpec]) -> bool {
        loop {
            let argument = match parser.next() {
                Ok(Some(argument)) => argument,
                Ok(None) => return false,
                Err(error) => {
                    self.errors.push(error.to_string());
                    return false;
                }
            };
            match argument {
                Arg::Long("help") | Arg::Short('h') => return true,
                Arg::Value(value) => self.values.push(value),
                Arg::Long(name) => {
                    let name = name.to_owned();
                    self.collect_named(parser, options, name);
                }
                Arg::Short(name) => self.errors.push(format!("unknown option -{name}")),
            }
        }
    }

    fn collect_named(&mut self, parser: &mut Parser, options: &[OptionSpec], name: String) {
        let Some(spec) = options.iter().find(|spec| spec.name == name) else {
            self.errors
                .push(format!("{}: unknown option --{name}", self.command));
            // Consumes the value of `--unknown=value`, so that it is not reported a second time.
            let _ = parser.optional_value();
            return;
        };
        if !spec.takes_value {
            self.named.push((name, OsString::new()));
            return;
        }
        match parser.value() {
            Ok(value) => self.named.push((name, value)),
            Err(_) => self.errors.push(format!("--{name} needs a value")),
        }
    }

    fn parse(&mut self) -> Option<Command> {
        match self.command {
            "node" => self.node().map(Command::Node),
            "serve" => {
                self.reject_positionals();
                Some(Command::Serve(self.optional("config")))
            }
            "check" => self.files().map(Command::Check),
            "apply" => self.apply().map(Command::Apply),
            "get" => self.object().map(Command::Get),
            "delete" => self.object().map(Command::Delete),
            "history" => self.object().map(Command::History),
            "status" => self.node_argument().map(Command::Status),
            "drain" => self.node_argument().map(Command::Drain),
            "demo" => {
                self.reject_positionals();
                Some(Command::Demo)
            }
            "standin" => self.standin().map(Command::Standin),
            _ => self.load().map(Command::Load),
        }
    }

    fn node(&mut self) -> Option<NodeArgs> {
        self.reject_positionals();
        let config = self.required::<PathBuf>("config");
        let policy = self.policy();
        let admits = !self.has("no-admission");
        Some(NodeArgs {
            config: config?,
            policy,
            admits,
        })
    }

    fn apply(&mut self) -> Option<ObjectArgs<Vec<PathBuf>>> {
        let files = self.files();
        let expected = self.optional::<u64>("expect");
        if expected.is_some() && self.values.len() > 1 {
            self.errors.push("--expect takes one file".to_owned());
        }
        self.object_args(files)
    }

    fn object(&mut self) -> Option<ObjectArgs<ObjectName>> {
        let subject = match self.values.as_slice() {
            [kind, name] => {
                let kind_name = kind.to_string_lossy().into_owned();
                let kind = ObjectKind::NAMES
                    .iter()
                    .find(|(known, _)| *known == kind_name);
                if kind.is_none() {
                    let text = format!("unknown kind {kind_name:?}; allowed: template, account");
                    self.errors.push(text);
                }
                let name = name.to_string_lossy().into_owned();
                kind.map(|(_, kind)| ObjectName { kind: *kind, name })
            }
            _ => {
                self.errors.push("KIND and NAME are needed".to_owned());
                None
            }
        };
        self.object_args(subject)
    }

    fn object_args<T>(&mut self, subject: Option<T>) -> Option<ObjectArgs<T>> {
        let objects = self.required("objects");
        let author = self
            .optional("author")
            .unwrap_or_else(|| "operator".to_owned());
        let expected = self.optional("expect");
        Some(ObjectArgs {
            objects: objects?,
            author,
            expected,
            subject: subject?,
        })
    }

    fn node_argument(&mut self) -> Option<SocketAddr> {
        self.reject_positionals();
        self.required("node")
    }

    fn standin(&mut self) -> Option<StandinArgs> {
        self.reject_positionals();
        let scenario = self.required("scenario");
        let objects_port = self.optional("objects-port").unwrap_or(0);
        let control_port = self.optional("control-port").unwrap_or(0);
        let duration = self.seconds("seconds");
        Some(StandinArgs {
            scenario: scenario?,
            objects_port,
            control_port,
            duration,
        })
    }

    fn load(&mut self) -> Option<LoadArgs> {
        self.reject_positionals();
        let scenario = self.required("scenario");
        let nodes: Vec<SocketAddr> = self.all("node");
        let control = self.optional("control");
        if !nodes.is_empty() && control.is_none() {
            self.errors
                .push("--node needs --control for the targets' journal".to_owned());
        }
        let own_nodes = self.optional("own-nodes").unwrap_or(3);
        let rate = self.optional("rate").unwrap_or(0.0);
        let duration = self.seconds("seconds").unwrap_or(Duration::from_secs(20));
        let deadline = self.optional("deadline-ms").map(Duration::from_millis);
        let seed = self.optional("seed").unwrap_or(DEFAULT_SEED);
        let policy = self.policy();
        let admits = !self.has("no-admission");
        let burst_duration = self
            .seconds("burst-seconds")
            .unwrap_or(Duration::from_secs(5));
        let burst = self.seconds("burst-at").map(|at| (at, burst_duration));
        let burst_factor = self.optional("burst-factor").unwrap_or(8.0);
        let json = self.optional("json");
        let plot = self.optional("plot");
        Some(LoadArgs {
            scenario: scenario?,
            nodes,
            control,
            own_nodes,
            rate,
            duration,
            deadline,
            seed,
            policy,
            admits,
            burst,
            burst_factor,
            json,
            plot,
        })
    }

    fn files(&mut self) -> Option<Vec<PathBuf>> {
        if self.values.is_empty() {
            self.errors.push("at least one FILE is needed".to_owned());
            return None;
        }
        Some(self.values.iter().map(PathBuf::from).collect())
    }

    fn policy(&mut self) -> RoutingPolicy {
        let Some(policy_name) = self.optional::<String>("policy") else {
            return RoutingPolicy::Estimated;
        };
        let found = RoutingPolicy::ALL
            .iter()
            .find(|(name, _)| *name == policy_name);
        if found.is_none() {
            let names: Vec<&str> = RoutingPolicy::ALL.iter().map(|(name, _)| *name).collect();
            let text = format!(
                "--policy: found {policy_name:?}; allowed: {}",
                names.join(", ")
            );
            self.errors.push(text);
        }
        found.map_or(RoutingPolicy::Estimated, |(_, policy)| *policy)
    }

    fn seconds(&mut self, name: &str) -> Option<Duration> {
        let seconds = self.optional::<f64>(name)?;
        let duration = Duration::try_from_secs_f64(seconds).ok();
        if duration.is_none() {
            self.errors.push(format!(
                "--{name}: found {seconds}; allowed: seconds from 0 on"
            ));
        }
        duration
    }

    fn has(&self, name: &str) -> bool {
        self.named.iter().any(|(known, _)| known == name)
    }

    fn required<T: FromStr>(&mut self, name: &str) -> Option<T>
    where
        T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        if !self.has(name) {
            self.errors
                .push(format!("{}: --{name} is missing", self.command));
            return None;
        }
        self.optional(name)
    }

    fn optional<T: FromStr>(&mut self, name: &str) -> Option<T>
    where
        T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut found = self.all(name);
        found.pop()
    }

    fn all<T: FromStr>(&mut self, name: &str) -> Vec<T>
    where
        T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut parsed = Vec::new();
        let mut errors = Vec::new();
        for (_, value) in self.named.iter().filter(|(known, _)| known == name) {
            match value.parse::<T>() {
                Ok(value) => parsed.push(value),
                Err(error) => errors.push(format!("--{name}: {error}")),
            }
        }
        for error_text in errors {
            if !self.errors.contains(&error_text) {
                self.errors.push(error_text);
            }
        }
        parsed
    }

    fn reject_positionals(&mut self) {
        for value in &self.values {
            let text = value.to_string_lossy();
            self.errors
                .push(format!("{}: unexpected argument {text:?}", self.command));
        }
    }
}
