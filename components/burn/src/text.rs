//! The report as text for a terminal.

use comfy_table::{Table, presets};

use crate::report::{Report, WINDOWS, title};

const MICROS_PER_MS: f64 = 1_000.0;

/// Renders the report as a table, followed by the lines of [`coverage`].
pub fn render(report: &Report) -> String {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY);
    let mut header = ["service", "objective", "target", "requests", "budget left", "alarm"]
        .map(str::to_owned)
        .to_vec();
    header.extend(WINDOWS.map(|window| format!("burn {window}")));
    header.extend(["p50 ms", "p99 ms"].map(str::to_owned));
    table.set_header(header);
    for row in &report.rows {
        let mut cells = vec![
            row.service.to_string(),
            title(row.goal),
            format!("{:.3}%", row.target * 100.0),
            row.count.total().to_string(),
            format!("{:.1}%", row.budget_left * 100.0),
            row.alarm.to_string(),
        ];
        cells.extend(row.burn.map(|burn| format!("{burn:.2}")));
        let ms = |micros: u64| format!("{:.2}", micros as f64 / MICROS_PER_MS);
        cells.extend([ms(row.p50_micros), ms(row.p99_micros)]);
        table.add_row(cells);
    }
    format!("{table}\n{}", coverage(report))
}

/// Lines that state how many entries and how much time the counts cover, and which
/// entries are missing.
pub fn coverage(report: &Report) -> String {
    let counted = format!(
        "{} entries counted; each has counted for at least {} s of the 30 days\n",
        report.sources.len(),
        report.covered_s()
    );
    let missing = report
        .missing
        .iter()
        .map(|name| format!("missing: {name} gave no page, its requests are not counted\n"));
    std::iter::once(counted).chain(missing).collect()
}
