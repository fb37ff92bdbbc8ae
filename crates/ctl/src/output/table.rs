use std::fmt;

/// A text table with headings; each column is as wide as its widest cell.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(headings: &[&str]) -> Self {
        Self { rows: vec![headings.iter().map(ToString::to_string).collect()] }
    }

    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
