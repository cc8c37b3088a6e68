//! Help texts of the commands.

/// Help of the program.
pub(crate) const HELP: &str = "\
turnford serves multi-stage model pipelines.

Usage: turnford COMMAND [OPTIONS]

Commands:
  node      run a node
  serve     run a node that serves routes of the platform's configuration
  check     check settings, templates and accounts
  apply     write templates and accounts to the platform
  get       print an object
  delete    delete an object
  history   print an object's recent changes
  status    print a node's status
  drain     start a node's planned stop
  demo      run stand-ins and nodes in this process and show requests
  standin   run stand-ins for the external systems
  load      load nodes and audit their answers

'turnford COMMAND --help' lists a command's options. Exit codes: docs/CODES.md.";

/// Help of `turnford node`.
pub(crate) const NODE_HELP: &str = "\
Usage: turnford node --config FILE [--policy NAME] [--no-admission]

Runs a node until it is drained.

  --config FILE    settings file
  --policy NAME    estimated (default), or a baseline: random, round-robin, least-in-flight
  --no-admission   start requests that can't finish in time (baseline)";

/// Help of `turnford serve`.
pub(crate) const SERVE_HELP: &str = "\
Usage: turnford serve [--config FILE]

Runs a node that serves routes of the platform's configuration, until SIGTERM or SIGINT. SIGHUP
reads the settings again.

  --config FILE    settings file (default: the file that the platform names)";

/// Help of `turnford check`.
pub(crate) const CHECK_HELP: &str = "\
Usage: turnford check FILE...

Checks settings, templates and accounts, and prints every error with its location.";

/// Help of `turnford apply`.
pub(crate) const APPLY_HELP: &str = "\
Usage: turnford apply --objects IP:PORT [--author NAME] [--expect VERSION] FILE...

Checks all files, then writes them. With --expect, takes one file and writes it only if the
object has that version (0: it must not exist).";

/// Help of `turnford get`.
pub(crate) const GET_HELP: &str = "\
Usage: turnford get --objects IP:PORT KIND NAME

Prints an object's text, and its version on standard error. KIND: template or account.";

/// Help of `turnford delete`.
pub(crate) const DELETE_HELP: &str = "\
Usage: turnford delete --objects IP:PORT [--author NAME] [--expect VERSION] KIND NAME

Deletes an object. The deletion is a version of its own.";

/// Help of `turnford history`.
pub(crate) const HISTORY_HELP: &str = "\
Usage: turnford history --objects IP:PORT KIND NAME

Prints an object's recent changes, newest first.";

/// Help of `turnford status`.
pub(crate) const STATUS_HELP: &str = "\
Usage: turnford status --node IP:PORT

Prints a node's status as JSON.";

/// Help of `turnford drain`.
pub(crate) const DRAIN_HELP: &str = "\
Usage: turnford drain --node IP:PORT

Starts a node's planned stop: it takes no new requests and exits when the running ones ended.";

/// Help of `turnford demo`.
pub(crate) const DEMO_HELP: &str = "\
Usage: turnford demo

Runs stand-ins and three nodes in this process on loopback, applies the files of both
associations, sends requests through every template and prints the answers.";

/// Help of `turnford standin`.
pub(crate) const STANDIN_HELP: &str = "\
Usage: turnford standin --scenario FILE [--objects-port PORT] [--control-port PORT] [--seconds N]

Runs stand-ins for the object API, the VM list, the weight store and all targets on loopback.";

/// Help of `turnford load`.
pub(crate) const LOAD_HELP: &str = "\
Usage: turnford load --scenario FILE [--node IP:PORT]... [--control IP:PORT] [OPTIONS]

Loads nodes at an open-loop rate and audits the answers against the targets' journal. Without
--node, stand-ins and nodes are run in this process.

  --own-nodes N        nodes to run in this process (default 3)
  --rate R             requests per second (default: the scenario's full rate)
  --seconds N          duration of the load (default 20)
  --deadline-ms N      deadline of each request
  --seed N             seed of arrivals and inputs (default 1)
  --policy NAME        estimated, random, round-robin or least-in-flight, for own nodes
  --no-admission       disable admission control, for own nodes
  --burst-at S         start of a burst of long inputs, in seconds
  --burst-seconds S    duration of the burst (default 5)
  --burst-factor F     factor on input lengths in the burst (default 8)
  --json FILE          write the report as JSON
  --plot FILE          write a plot as SVG";
