//! Output formatting: aligned tables and JSON.

use std::fmt::Write as _;

use serde::Serialize;

/// A text table with a heading row and left-aligned columns.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading row and no other rows.
    ///
    /// ```
    /// use bamboowind::output::Table;
    ///
    /// let mut table = Table::new(&["target", "state"]);
    /// table.push(["catalogo-1", "accepting"]);
    /// assert_eq!(table.render(), "target      state\ncatalogo-1  accepting\n");
    /// ```
    #[must_use]
    pub fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(ToString::to_string).collect();
        Self {
            rows: vec![heading],
        }
    }

    /// Appends a row.
    pub fn push<T: ToString>(&mut self, row: impl IntoIterator<Item = T>) {
        self.rows
            .push(row.into_iter().map(|cell| cell.to_string()).collect());
    }

    /// Formats the table as text, one line per row.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.column_width(column);
                // Writing to a string cannot fail.
                let _ = write!(line, "{cell:<width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn column_width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    }
}

/// Formats a value as indented JSON with a trailing newline.
///
/// A value that cannot be serialized gives an empty line.
#[must_use]
pub fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}
