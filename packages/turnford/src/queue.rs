//! Log appender with a bounded queue and one writer thread, so that no thread blocks on a slow
//! reader of the log.

use std::fmt;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::sync_channel;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use log4rs::encode::Encode;

/// Capacity of the queue in lines: at most 4 MB with lines of up to 2 KB.
const QUEUE_LIMIT: usize = 2048;

/// Bytes of queued lines that the writer joins into one write.
const WRITE_SIZE: usize = 32 * 1024;

/// An appender that never blocks: if the queue is full, lines are dropped and counted.
pub(crate) struct QueueAppender {
    encoder: PatternEncoder,
    queue: SyncSender<Vec<u8>>,
    drops: Arc<AtomicU64>,
}

impl QueueAppender {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread can't be started.
    pub(crate) fn start(
        pattern: &str,
        output: impl Write + Send + 'static,
        drops: Arc<AtomicU64>,
    ) -> std::io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUE_LIMIT);
        let builder = std::thread::Builder::new().name("log".to_owned());
        builder.spawn(move || write_lines(&lines, output))?;
        Ok(Self {
            encoder: PatternEncoder::new(pattern),
            queue,
            drops,
        })
    }
}

impl fmt::Debug for QueueAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QueueAppender")
            .field("drops", &self.drops)
            .finish_non_exhaustive()
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        if self.queue.try_send(line.0).is_err() {
            self.drops.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut block) = lines.recv() {
        while block.len() < WRITE_SIZE {
            match lines.try_recv() {
                Ok(line) => block.extend_from_slice(&line),
                Err(_) => break,
            }
        }
        // The log itself failed, so there is nowhere to report the error.
        if output.write_all(&block).is_err() || output.flush().is_err() {
            return;
        }
    }
}
