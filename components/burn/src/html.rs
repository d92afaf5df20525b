//! The report as a single HTML file that loads nothing from the network.

use std::fmt::Write as _;

use base::prelude::*;
use plotters::prelude::*;

use crate::report::{self, FAST_BURN_RATE, Row, SLOW_BURN_RATE, WINDOWS, title};
use crate::text;

const PLOT_WIDTH_PIXELS: u32 = 900;
const PLOT_HEIGHT_PIXELS: u32 = 360;
const MAX_PLOTTED_ROWS: usize = 8;
const LABEL_AREA_PIXELS: u32 = 50;

/// The error of a plot that could not be drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure;

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the burn plot could not be drawn")
    }
}

impl std::error::Error for Failure {}

/// Renders the report as HTML, with a plot of the burn rates by window.
///
/// # Errors
/// [`Failure`] if the plotting library returns an error.
pub fn render(report: &report::Report) -> Result<String, Report<Failure>> {
    let plot = plot(&report.rows)?;
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>trefoillink: service-level burn</title><style>\
         body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}\
         td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}\
         td:first-child,td:nth-child(2),th{text-align:left}</style></head><body>\
         <h1>Service-level burn</h1>",
    );
    page.push_str(&plot);
    page.push_str("<table><tr><th>service</th><th>objective</th><th>target</th>");
    page.push_str("<th>requests</th><th>budget left</th><th>alarm</th>");
    for window in WINDOWS {
        let _ = write!(page, "<th>burn {window}</th>");
    }
    page.push_str("</tr>");
    for row in &report.rows {
        write_row(&mut page, row);
    }
    let _ = write!(page, "</table><pre>{}</pre></body></html>", text::coverage(report));
    Ok(page)
}

fn write_row(page: &mut String, row: &Row) {
    let goal = title(row.goal).replace('<', "&lt;");
    let _ = write!(
        page,
        "<tr><td>{}</td><td>{goal}</td><td>{:.3}%</td><td>{}</td><td>{:.1}%</td><td>{}</td>",
        row.service,
        row.target * 100.0,
        row.count.total(),
        row.budget_left * 100.0,
        row.alarm
    );
    for burn in row.burn {
        let _ = write!(page, "<td>{burn:.2}</td>");
    }
    page.push_str("</tr>");
}

/// Plots the burn rates of the first rows as SVG.
fn plot(rows: &[Row]) -> Result<String, Report<Failure>> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, (PLOT_WIDTH_PIXELS, PLOT_HEIGHT_PIXELS))
        .into_drawing_area();
    draw(&area, rows).map_err(|error| Report::new(Failure).attach(error.to_string()))?;
    drop(area);
    Ok(svg)
}

fn draw<'a, D: DrawingBackend + 'a>(
    area: &DrawingArea<D, plotters::coord::Shift>,
    rows: &[Row],
) -> Result<(), DrawingAreaErrorKind<D::ErrorType>> {
    area.fill(&WHITE)?;
    let highest = rows.iter().flat_map(|row| row.burn).fold(FAST_BURN_RATE, f64::max);
    let minutes = WINDOWS.map(|window| window.length().as_secs_f64() / 60.0);
    let mut chart = ChartBuilder::on(area)
        .caption("burn by window (minutes); lines at the alarms", ("sans-serif", 16))
        .x_label_area_size(LABEL_AREA_PIXELS)
        .y_label_area_size(LABEL_AREA_PIXELS)
        .build_cartesian_2d(0.0..minutes[WINDOWS.len() - 1], 0.0..highest * 1.1)?;
    chart.configure_mesh().draw()?;
    for limit in [FAST_BURN_RATE, SLOW_BURN_RATE] {
        let ends = [0.0, minutes[WINDOWS.len() - 1]].map(|minute| (minute, limit));
        chart.draw_series(LineSeries::new(ends, &BLACK.mix(0.4)))?;
    }
    for (index, row) in rows.iter().take(MAX_PLOTTED_ROWS).enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = minutes.into_iter().zip(row.burn);
        let label = format!("{} {}", row.service, title(row.goal));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()
}
