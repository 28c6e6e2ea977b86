//! Tables as plain text.

use std::fmt;

/// The number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Rows of text below a heading, each column as wide as its widest cell.
#[derive(Debug)]
pub(crate) struct Table<const COLUMNS: usize> {
    rows: Vec<[String; COLUMNS]>,
}

impl<const COLUMNS: usize> Table<COLUMNS> {
    pub(crate) fn new(heading: [&str; COLUMNS]) -> Self {
        let rows = vec![heading.map(str::to_owned)];
        Self { rows }
    }

    pub(crate) fn push(&mut self, row: [String; COLUMNS]) {
        self.rows.push(row);
    }
}

impl<const COLUMNS: usize> fmt::Display for Table<COLUMNS> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut widths = [0; COLUMNS];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = cell.chars().count().max(*width);
            }
        }
        for row in &self.rows {
            let cells = row.iter().zip(widths);
            let line: String = cells
                .map(|(cell, width)| format!("{cell:<0$}", width + COLUMN_GAP))
                .collect();
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
