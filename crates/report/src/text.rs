//! Rendering of a summary as aligned text and as JSON.

use std::fmt::Write;

use base::prelude::*;

use crate::summary::{BurnSummary, SummaryRow, WindowBurn};
use crate::tuning::WINDOWS;

/// Returns the name of a window, such as `5m`.
pub(crate) fn window_name(window: ClockSpan) -> String {
    let seconds = window.as_millis() / 1000;
    match seconds {
        0..60 => format!("{seconds}s"),
        60..3600 => format!("{}m", seconds / 60),
        _ => format!("{}h", seconds / 3600),
    }
}

/// Returns the summary as aligned columns: a line for each service and class with the calls of the
/// last hour, the burn rates of availability and latency in each window, the budget left, and
/// latency percentiles.
pub fn to_text(summary: &BurnSummary) -> String {
    let mut lines = vec![header()];
    lines.extend(summary.rows.iter().map(row_cells));
    let mut text = vm_line(summary);
    let columns = lines[0].len();
    let widths: Vec<usize> = (0..columns)
        .map(|column| lines.iter().map(|cells| cells[column].len()).max().unwrap_or(0))
        .collect();
    for cells in &lines {
        let mut line = String::new();
        for (column, cell) in cells.iter().enumerate() {
            let width = widths[column];
            // Names are aligned to the left, numbers to the right.
            let padded =
                if column < 2 { format!("{cell:<width$}") } else { format!("{cell:>width$}") };
            line.push_str(&padded);
            line.push_str("  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

fn vm_line(summary: &BurnSummary) -> String {
    let asked = summary.answered.len() + summary.missing.len();
    let mut text = format!("{} of {asked} VMs answered", summary.answered.len());
    if !summary.missing.is_empty() {
        let _ = write!(text, "; no answer from {}", summary.missing.join(", "));
    }
    if summary.dropped > 0 {
        let _ = write!(text, "; {} calls were not kept", summary.dropped);
    }
    text.push_str("\nburn rates are availability/latency; 1.0 spends exactly the error budget\n\n");
    text
}

fn header() -> Vec<String> {
    let mut cells = vec!["service".to_owned(), "class".to_owned(), "calls 1h".to_owned()];
    cells.extend(WINDOWS.iter().map(|window| format!("burn {}", window_name(*window))));
    cells.extend(["left 6h", "p50 ms", "p99 ms", "p99.9 ms"].map(str::to_owned));
    cells
}

fn row_cells(row: &SummaryRow) -> Vec<String> {
    let hour = row.windows.get(crate::tuning::ONE_HOUR).map_or(0, |burn| burn.counts.total);
    let mut cells = vec![row.service.to_string(), row.class.as_str().to_owned(), hour.to_string()];
    cells.extend(
        (0..WINDOWS.len()).map(|index| row.windows.get(index).map_or_else(no_calls, burn_cell)),
    );
    cells.push(format!("{:.0}%", row.budget_left * 100.0));
    for value in [row.p50_ms, row.p99_ms, row.p999_ms] {
        cells.push(format!("{value:.2}"));
    }
    cells
}

fn no_calls() -> String {
    "-".to_owned()
}

fn burn_cell(burn: &WindowBurn) -> String {
    if burn.counts.total == 0 {
        return no_calls();
    }
    format!("{:.1}/{:.1}", burn.availability, burn.latency)
}

/// Returns the summary as JSON.
///
/// # Errors
///
/// Returns the error of `serde_json`, which does not occur: the summary has no maps with keys other
/// than text.
pub fn to_json(summary: &BurnSummary) -> Result<String, serde_json::Error> {
    serde_json::to_string_pretty(summary)
}
