//! Rendering of a summary as one HTML page without scripts or external resources.

use std::fmt::Write;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::summary::{BurnSummary, SummaryRow};
use crate::text::to_text;
use crate::tuning::TIMELINE_POINTS;

/// The most services and classes in a plot, those with the highest burn rates first. More lines
/// could not be distinguished.
const MAX_PLOTTED: usize = 8;
/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (960, 320);
/// Minutes from one point of the timeline to the next.
const POINT_MINUTES: f64 = 5.0;
/// The smallest upper end of the axis of failed calls, as a share, so that few failures are not
/// magnified to the full height of the plot.
const MIN_AXIS_TOP: f64 = 0.01;

const STYLE: &str = "body{font-family:sans-serif;margin:2em}pre{overflow-x:auto}\
.missing{color:#a00}svg{max-width:100%;height:auto}";

/// Returns the summary as a page with a plot of the failed calls and one of the burn rates. A plot
/// that cannot be drawn is replaced by the reason.
pub fn to_html(summary: &BurnSummary) -> String {
    let mut page =
        String::from("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    let _ = writeln!(page, "<title>Service-level burn</title><style>{STYLE}</style></head><body>");
    page.push_str("<h1>Service-level burn</h1>\n");
    if !summary.missing.is_empty() {
        let names = escape(&summary.missing.join(", "));
        let _ = writeln!(page, "<p class=\"missing\">No answer from {names}</p>");
    }
    let rows = worst_rows(summary);
    for (title, plot) in [
        ("Failed calls in the last hour", plot(|svg| draw_timeline(svg, &rows))),
        ("Highest burn rate in any window", plot(|svg| draw_burn(svg, &rows))),
    ] {
        let _ = writeln!(page, "<h2>{title}</h2>\n{plot}\n{}", legend(&rows));
    }
    let _ = writeln!(page, "<h2>All services</h2>\n<pre>{}</pre>", escape(&to_text(summary)));
    page.push_str("</body></html>\n");
    page
}

fn worst_rows(summary: &BurnSummary) -> Vec<&SummaryRow> {
    let mut rows: Vec<&SummaryRow> = summary.rows.iter().collect();
    rows.sort_by(|left, right| right.worst_burn().total_cmp(&left.worst_burn()));
    rows.truncate(MAX_PLOTTED);
    rows
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn legend(rows: &[&SummaryRow]) -> String {
    let mut list = String::from("<ul>");
    for (index, row) in rows.iter().enumerate() {
        let RGBColor(red, green, blue) = colour(index);
        let name = escape(&format!("{} {}", row.service, row.class.as_str()));
        let burn = row.worst_burn();
        let _ = write!(
            list,
            "<li style=\"color:#{red:02x}{green:02x}{blue:02x}\">{name}: {burn:.1}</li>"
        );
    }
    list.push_str("</ul>");
    list
}

fn colour(index: usize) -> RGBColor {
    let (red, green, blue) = Palette99::pick(index).to_backend_color().rgb;
    RGBColor(red, green, blue)
}

type PlotResult<'a> =
    Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn plot(draw: impl FnOnce(&DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), String>) -> String {
    let mut svg = String::new();
    let drawn = {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        draw(&area).and_then(|()| area.present().map_err(|error| error.to_string()))
    };
    match drawn {
        Ok(()) => svg,
        Err(error) => format!("<p>The plot could not be drawn: {}</p>", escape(&error)),
    }
}

fn draw_timeline(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    rows: &[&SummaryRow],
) -> Result<(), String> {
    let shares = rows.iter().flat_map(|row| &row.failed_shares);
    let top = shares.copied().fold(MIN_AXIS_TOP, f64::max);
    let start = -POINT_MINUTES * TIMELINE_POINTS as f64;
    let draw = || -> PlotResult<'_> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(start..0.0, 0.0..top)?;
        chart.configure_mesh().x_desc("minutes").y_desc("share of failed calls").draw()?;
        for (index, row) in rows.iter().enumerate() {
            let points = row
                .failed_shares
                .iter()
                .enumerate()
                .map(|(point, share)| (start + POINT_MINUTES * (point as f64 + 1.0), *share));
            chart.draw_series(LineSeries::new(points, colour(index).stroke_width(2)))?;
        }
        Ok(())
    };
    draw().map_err(|error| error.to_string())
}

fn draw_burn(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    rows: &[&SummaryRow],
) -> Result<(), String> {
    let top = rows.iter().map(|row| row.worst_burn()).fold(1.0, f64::max) * 1.05;
    let draw = || -> PlotResult<'_> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..rows.len().max(1) as f64, 0.0..top)?;
        chart.configure_mesh().x_labels(0).y_desc("burn rate").draw()?;
        chart.draw_series(rows.iter().enumerate().map(|(index, row)| {
            let left = index as f64;
            let corners = [(left + 0.1, 0.0), (left + 0.9, row.worst_burn())];
            Rectangle::new(corners, colour(index).filled())
        }))?;
        Ok(())
    };
    draw().map_err(|error| error.to_string())
}
