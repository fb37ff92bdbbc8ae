use std::io::{self, BufRead};

use crate::LogLine;

/// The log lines of all nodes, sorted by time.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// The lines.
    pub lines: Vec<LogLine>,
    /// Number of lines that are not valid gateway log lines.
    pub skipped: usize,
}

impl Log {
    /// Reads all lines of a source.
    ///
    /// # Errors
    ///
    /// Returns an error if the source cannot be read.
    pub fn read(source: impl BufRead) -> io::Result<Self> {
        let mut log = Self::default();
        for text in source.lines() {
            match LogLine::parse(&text?) {
                Some(line) => log.lines.push(line),
                None => log.skipped += 1,
            }
        }
        log.lines.sort_by_key(|line| line.at_ms);
        Ok(log)
    }

    /// Returns the time of the first line, in Unix milliseconds.
    pub fn start_ms(&self) -> u64 {
        self.lines.first().map_or(0, |line| line.at_ms)
    }
}
