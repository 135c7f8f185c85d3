//! Plain-text tables for the terminal.

use serde_json::Value;

/// Formats JSON objects as a table with a header, one row for each object; missing values are shown as `-`.
#[must_use]
pub fn format_table(rows: &[Value], columns: &[&str]) -> String {
    let cell = |row: &Value, column: &str| match &row[column] {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let width = |column: &str| {
        let cells = rows.iter().map(|row| cell(row, column).chars().count());
        cells.chain(std::iter::once(column.len())).max().unwrap_or(0)
    };
    let line = |cells: Vec<String>| {
        let padded = cells.iter().zip(columns).map(|(cell, column)| format!("{cell:<width$}", width = width(column)));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    let head = line(columns.iter().map(|column| column.to_uppercase()).collect());
    let body = rows.iter().map(|row| line(columns.iter().map(|column| cell(row, column)).collect()));
    std::iter::once(head).chain(body).collect()
}
