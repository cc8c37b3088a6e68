//! Set-up of `log4rs`.

use std::path::Path;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::append::file::FileAppender;
use log4rs::append::Append;
use log4rs::config::Appender;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::Config;
use turnford_config::LogLevel;
use turnford_config::LogSettings;

use crate::queue::QueueAppender;

/// Format of a log line: time, level, module, message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";

/// Starts logging to the file of the settings, or to standard error.
///
/// # Errors
///
/// Returns a message if the file can't be opened or a logger is already installed.
pub(crate) fn start_logging(settings: &LogSettings) -> Result<(), String> {
    let appender = make_appender(settings.file.as_deref())?;
    init_logging(settings.level, appender)
}

/// Starts logging to standard output through a bounded queue; `drops` counts the lines that are
/// dropped while the queue is full.
///
/// # Errors
///
/// Returns a message if the writer thread can't be started or a logger is already installed.
pub(crate) fn start_queue_logging(
    settings: &LogSettings,
    drops: Arc<AtomicU64>,
) -> Result<(), String> {
    let appender = QueueAppender::start(PATTERN, std::io::stdout(), drops);
    let appender = appender.map_err(|error| format!("log writer: {error}"))?;
    init_logging(settings.level, Box::new(appender))
}

fn init_logging(level: LogLevel, appender: Box<dyn Append>) -> Result<(), String> {
    let level = match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let appender = Appender::builder().build("out", appender);
    let root = Root::builder().appender("out").build(level);
    let config = Config::builder().appender(appender).build(root);
    let config = config.map_err(|error| error.to_string())?;
    log4rs::init_config(config).map_err(|error| error.to_string())?;
    Ok(())
}

fn make_appender(file: Option<&Path>) -> Result<Box<dyn Append>, String> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let Some(file) = file else {
        let console = ConsoleAppender::builder().target(Target::Stderr);
        return Ok(Box::new(console.encoder(encoder).build()));
    };
    let appender = FileAppender::builder().encoder(encoder).build(file);
    let appender = appender.map_err(|error| format!("log file {}: {error}", file.display()))?;
    Ok(Box::new(appender))
}
