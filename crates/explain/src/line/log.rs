use std::io::{self, BufRead};

use crate::LogLine;

/// The lines of all nodes, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// The lines.
    pub lines: Vec<LogLine>,
    /// Lines that no gateway wrote, or that cannot be read.
    pub unread: usize,
}

impl Log {
    /// Reads every line of a source.
    ///
    /// # Errors
    ///
    /// The source cannot be read.
    pub fn read(source: impl BufRead) -> io::Result<Self> {
        let mut log = Self::default();
        for text in source.lines() {
            match LogLine::parse(&text?) {
                Some(line) => log.lines.push(line),
                None => log.unread += 1,
            }
        }
        log.lines.sort_by_key(|line| line.at_ms);
        Ok(log)
    }

    /// When the first line was written, in milliseconds since 1970.
    pub fn start_ms(&self) -> u64 {
        self.lines.first().map_or(0, |line| line.at_ms)
    }
}
