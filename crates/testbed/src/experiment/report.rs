//! Writes the report of an experiment: raw counts as CSV, a summary as JSON, and an HTML page with plots.

use super::definition::{Experiment, Variant};
use super::summary::{RunResult, Summary};
use crate::error::TestbedError;
use crate::statistics::Estimate;
use crate::workload::CLASSES;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    BLACK, WHITE,
};
use std::error::Error;
use std::fmt::Write;
use std::path::Path;

const CSV_HEADER: &str = "variant,repeat,queries,service,search,confirm,served,refused,failed,\
                          silent,parts_a_query,p50_ms,p99_ms,broken\n";
const TABLE_HEADER: &str = "<table border=\"1\" cellpadding=\"4\"><tr><th>variant\
                            <th>service (95 %)<th>p50 ms<th>p99 ms<th>parts a query\
                            <th>rules broken</tr>\n";
/// Maximum number of violations that the page lists per run.
const MAX_PAGE_VIOLATIONS: usize = 50;
/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 320);
/// Upper end of a plot's service axis, just above full service.
const SERVICE_AXIS_END: f64 = 1.05;

/// Describes a difference between variants, marked as noise if its interval contains 0.
pub fn difference_sentence(first: &str, name: &str, difference: &Estimate) -> String {
    let points = |share: f64| format!("{:+.1}", share * 100.0);
    let mean = points(difference.mean);
    let low = points(difference.low);
    let high = points(difference.high);
    if difference.is_noise() {
        format!("{name} beside {first}: {mean} points of service, within noise ({low} to {high})")
    } else {
        format!("{name} beside {first}: {mean} points of service (95 % interval {low} to {high})")
    }
}

/// Writes `runs.csv`, `summary.json` and `report.html` into a folder.
///
/// # Errors
///
/// Returns an error if a file can't be written or a plot can't be drawn.
pub fn write(experiment: &Experiment, summary: &Summary, out: &Path) -> Result<(), TestbedError> {
    let write_file = |name: &str, text: String| {
        let path = out.join(name);
        std::fs::write(&path, text).map_err(TestbedError::file(&path))
    };
    write_file("runs.csv", csv(summary))?;
    write_file("summary.json", serde_json::to_string_pretty(summary)?)?;
    write_file("report.html", page(experiment, summary)?)
}

fn csv(summary: &Summary) -> String {
    let mut csv = String::from(CSV_HEADER);
    for run in &summary.runs {
        let [served, rejected, failed, unanswered] = run.endings;
        // Writing to a string can't fail, here and below.
        let _ = writeln!(
            csv,
            "{},{},{},{:.4},{:.4},{:.4},{served},{rejected},{failed},{unanswered},{:.3},{:.2},{:.2},{}",
            run.variant,
            run.repeat,
            run.queries,
            run.service,
            run.by_class[0],
            run.by_class[1],
            run.parts_per_query,
            run.p50_ms,
            run.p99_ms,
            run.violations.len()
        );
    }
    csv
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}

fn page(experiment: &Experiment, summary: &Summary) -> Result<String, TestbedError> {
    let title = escape(&summary.name);
    let mut html =
        format!("<!doctype html><meta charset=\"utf-8\"><title>{title}</title><h1>{title}</h1>\n");
    html.push_str(TABLE_HEADER);
    for variant in &experiment.variant {
        html.push_str(&table_row(summary, variant));
    }
    html.push_str("</table>\n");
    let first = &experiment.variant[0].name;
    for (name, difference) in &summary.differences {
        let sentence = difference_sentence(first, name, difference);
        let _ = writeln!(html, "<p>{}</p>", escape(&sentence));
    }
    for (class, name) in CLASSES.iter().enumerate() {
        let plot = plot(experiment, summary, class).map_err(TestbedError::Plot)?;
        let _ = writeln!(html, "<h2>Service over time, {name}</h2>\n{plot}");
    }
    for run in summary.runs.iter().filter(|run| !run.violations.is_empty()) {
        html.push_str(&violation_list(run));
    }
    Ok(html)
}

fn runs_of<'a>(summary: &'a Summary, variant: &Variant) -> Vec<&'a RunResult> {
    let runs = summary.runs.iter();
    runs.filter(|run| run.variant == variant.name).collect()
}

fn table_row(summary: &Summary, variant: &Variant) -> String {
    let Some(service) = summary.service.get(&variant.name) else {
        return String::new();
    };
    let runs = runs_of(summary, variant);
    let average = |value: fn(&RunResult) -> f64| {
        let sum: f64 = runs.iter().map(|run| value(run)).sum();
        sum / runs.len().max(1) as f64
    };
    let violations: usize = runs.iter().map(|run| run.violations.len()).sum();
    format!(
        "<tr><td>{}<td>{:.3} ({:.3} to {:.3})<td>{:.0}<td>{:.0}<td>{:.2}<td>{violations}</tr>\n",
        escape(&variant.name),
        service.mean,
        service.low,
        service.high,
        average(|run| run.p50_ms),
        average(|run| run.p99_ms),
        average(|run| run.parts_per_query),
    )
}

fn violation_list(run: &RunResult) -> String {
    let items = run.violations.iter().take(MAX_PAGE_VIOLATIONS);
    let items: String = items
        .map(|violation| format!("<li>{}", escape(violation)))
        .collect();
    format!(
        "<h3>Broken in {} repeat {}</h3><ul>{items}</ul>\n",
        escape(&run.variant),
        run.repeat
    )
}

/// Draws the mean service of a class in each second as one line per variant. Vertical grey lines mark faults and changes
/// of the endpoint list.
fn plot(
    experiment: &Experiment,
    summary: &Summary,
    class: usize,
) -> Result<String, Box<dyn Error>> {
    let span = experiment.workload.span;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(30)
            .y_label_area_size(45)
            .build_cartesian_2d(0.0..span, 0.0..SERVICE_AXIS_END)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("service")
            .draw()?;
        for at in event_times(experiment) {
            let line = [(at, 0.0), (at, SERVICE_AXIS_END)];
            chart.draw_series(LineSeries::new(line, BLACK.mix(0.3)))?;
        }
        for (index, variant) in experiment.variant.iter().enumerate() {
            let runs = runs_of(summary, variant);
            let colour = Palette99::pick(index).to_rgba();
            let seconds = 0..span.ceil() as usize;
            let line =
                seconds.map(|second| (second as f64 + 0.5, mean_service(&runs, class, second)));
            chart
                .draw_series(LineSeries::new(line, colour.stroke_width(2)))?
                .label(variant.name.clone())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn event_times(experiment: &Experiment) -> impl Iterator<Item = f64> + '_ {
    let lists = experiment
        .variant
        .iter()
        .flat_map(|variant| &variant.endpoint_lists);
    let faults = experiment.fault.iter().map(|fault| fault.at);
    faults.chain(lists.map(|list| list.at))
}

fn mean_service(runs: &[&RunResult], class: usize, second: usize) -> f64 {
    let values = runs
        .iter()
        .filter_map(|run| run.service_by_second[class].get(second));
    values.sum::<f64>() / runs.len().max(1) as f64
}
