//! `turnford check`, `apply`, `get`, `delete` and `history`.

use std::path::Path;
use std::path::PathBuf;

use turnford_config::ConfigError;
use turnford_config::ConfigObject;
use turnford_config::NodeSettings;
use turnford_config::ServeSettings;

use crate::cli::ObjectArgs;
use crate::cli::ObjectName;
use crate::exit::ExitStatus;
use crate::operator::change_object;
use crate::operator::read_envelope;
use crate::operator::ChangeOutcome;
use crate::operator::ChangeRequest;
use crate::site::tool_client;

/// A file that was read and checked.
struct CheckedFile {
    name: String,
    text: String,
    object: ConfigObject,
}

/// Checks files and prints all errors.
pub(super) fn check_files(files: &[PathBuf]) -> ExitStatus {
    let mut failed = false;
    for path in files {
        let checked = match super::read_file(path) {
            Some(text) => check_any(path, &text),
            None => Err(Vec::new()),
        };
        match checked {
            Ok(kind) => println!("{}: {kind}, valid", path.display()),
            Err(errors) => {
                failed = true;
                print_errors(&errors);
            }
        }
    }
    if failed {
        return ExitStatus::Failed;
    }
    ExitStatus::Success
}

/// Writes files to the platform; all of them are checked before the first write.
pub(super) fn apply_files(arguments: &ObjectArgs<Vec<PathBuf>>) -> ExitStatus {
    let checked: Vec<_> = arguments
        .subject
        .iter()
        .map(|path| check_object(path))
        .collect();
    if checked.iter().any(Option::is_none) {
        eprintln!("nothing was applied");
        return ExitStatus::Failed;
    }
    let objects = tool_client(arguments.objects);
    let mut status = ExitStatus::Success;
    for file in checked.into_iter().flatten() {
        let request = ChangeRequest {
            key: &file.object.key(),
            text: Some(file.text),
            author: &arguments.author,
            expected: arguments.expected,
        };
        let outcome = async_io::block_on(change_object(&objects, request));
        status = worse(status, print_outcome(&file.name, &outcome));
    }
    status
}

/// Prints an object's text.
pub(super) fn get_object(arguments: &ObjectArgs<ObjectName>) -> ExitStatus {
    let objects = tool_client(arguments.objects);
    let key = arguments.subject.kind.key(&arguments.subject.name);
    match async_io::block_on(read_envelope(&objects, &key)) {
        Ok((version, envelope)) => match envelope.text {
            Some(text) => {
                eprintln!("version {version}");
                print!("{text}");
                ExitStatus::Success
            }
            None => {
                eprintln!("{key}: no such object");
                ExitStatus::Failed
            }
        },
        Err(error) => {
            eprintln!("{key}: {error}");
            ExitStatus::Unavailable
        }
    }
}

/// Deletes an object.
pub(super) fn delete_object(arguments: &ObjectArgs<ObjectName>) -> ExitStatus {
    let objects = tool_client(arguments.objects);
    let key = arguments.subject.kind.key(&arguments.subject.name);
    let found = async_io::block_on(read_envelope(&objects, &key));
    if matches!(&found, Ok((_, envelope)) if envelope.text.is_none()) {
        eprintln!("{key}: no such object");
        return ExitStatus::Failed;
    }
    let request = ChangeRequest {
        key: &key,
        text: None,
        author: &arguments.author,
        expected: arguments.expected,
    };
    let outcome = async_io::block_on(change_object(&objects, request));
    print_outcome(&key, &outcome)
}

/// Prints an object's recent changes.
pub(super) fn show_history(arguments: &ObjectArgs<ObjectName>) -> ExitStatus {
    let objects = tool_client(arguments.objects);
    let key = arguments.subject.kind.key(&arguments.subject.name);
    match async_io::block_on(read_envelope(&objects, &key)) {
        Ok((0, _)) => {
            eprintln!("{key}: no such object");
            ExitStatus::Failed
        }
        Ok((version, envelope)) => {
            println!("{key}: version {version}");
            for change in &envelope.changes {
                println!(
                    "{} {} by {}, replaced version {}",
                    change.at, change.action, change.author, change.replaced
                );
            }
            ExitStatus::Success
        }
        Err(error) => {
            eprintln!("{key}: {error}");
            ExitStatus::Unavailable
        }
    }
}

/// Detects the kind of a file, checks it accordingly and returns the kind.
fn check_any(path: &Path, text: &str) -> Result<&'static str, Vec<ConfigError>> {
    let file = path.display().to_string();
    if ServeSettings::is_serve_settings(text) {
        return ServeSettings::parse(&file, text).map(|_| "settings of a node that serves routes");
    }
    if ConfigObject::is_node_settings(text) {
        return NodeSettings::parse(&file, text).map(|_| "settings");
    }
    match ConfigObject::parse(&file, text)? {
        ConfigObject::Template(_) => Ok("template"),
        ConfigObject::Account(_) => Ok("account"),
    }
}

fn check_object(path: &Path) -> Option<CheckedFile> {
    let text = super::read_file(path)?;
    let name = path.display().to_string();
    match ConfigObject::parse(&name, &text) {
        Ok(object) => Some(CheckedFile { name, text, object }),
        Err(errors) => {
            print_errors(&errors);
            None
        }
    }
}

fn print_errors(errors: &[ConfigError]) {
    for error in errors {
        eprintln!("{error}");
    }
}

fn print_outcome(name: &str, outcome: &ChangeOutcome) -> ExitStatus {
    let status = match outcome {
        ChangeOutcome::Accepted(_) | ChangeOutcome::Unchanged(_) => {
            println!("{name}: {outcome}");
            return ExitStatus::Success;
        }
        ChangeOutcome::Conflict { .. } => ExitStatus::Conflict,
        ChangeOutcome::Rejected(_) => ExitStatus::Unavailable,
        ChangeOutcome::Unknown => ExitStatus::Unknown,
    };
    eprintln!("{name}: {outcome}");
    status
}

fn worse(left: ExitStatus, right: ExitStatus) -> ExitStatus {
    if left as u8 >= right as u8 {
        return left;
    }
    right
}
