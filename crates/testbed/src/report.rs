//! What is written of an experiment: raw counts, a summary, a page with plots.

use crate::experiment::{Experiment, Summary};
use crate::load::CLASSES;
use crate::stats::Estimate;
use plotters::prelude::*;
use std::path::Path;

/// A difference in words; one within its own uncertainty is called so.
pub fn sentence(first: &str, name: &str, found: &Estimate) -> String {
    let points = |share: f64| format!("{:+.1}", share * 100.0);
    match found.is_noise() {
        true => format!(
            "{name} beside {first}: {} points of service, within noise ({} to {})",
            points(found.mean),
            points(found.low),
            points(found.high)
        ),
        false => format!(
            "{name} beside {first}: {} points of service (95 % interval {} to {})",
            points(found.mean),
            points(found.low),
            points(found.high)
        ),
    }
}

/// Writes `runs.csv`, `summary.json` and `report.html` into a folder.
pub fn write(experiment: &Experiment, summary: &Summary, out: &Path) -> Result<(), String> {
    let put = |name: &str, text: String| {
        std::fs::write(out.join(name), text)
            .map_err(|e| format!("{}: {e}", out.join(name).display()))
    };
    let mut csv = String::from("variant,repeat,queries,service,search,confirm,served,refused,failed,silent,parts_a_query,p50_ms,p99_ms,broken\n");
    for run in &summary.runs {
        let [served, refused, failed, silent] = run.ends;
        csv.push_str(&format!(
            "{},{},{},{:.4},{:.4},{:.4},{served},{refused},{failed},{silent},{:.3},{:.2},{:.2},{}\n",
            run.variant,
            run.repeat,
            run.queries,
            run.service,
            run.by_class[0],
            run.by_class[1],
            run.attempts,
            run.p50,
            run.p99,
            run.broken.len()
        ));
    }
    put("runs.csv", csv)?;
    put(
        "summary.json",
        serde_json::to_string_pretty(summary).map_err(|e| e.to_string())?,
    )?;
    put("report.html", page(experiment, summary)?)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}

fn page(experiment: &Experiment, summary: &Summary) -> Result<String, String> {
    let mut html = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><h1>{0}</h1>\n",
        escape(&summary.name)
    );
    html.push_str("<table border=\"1\" cellpadding=\"4\"><tr><th>variant<th>service (95 %)<th>p50 ms<th>p99 ms<th>parts a query<th>rules broken</tr>\n");
    for variant in &experiment.variant {
        let runs: Vec<_> = summary
            .runs
            .iter()
            .filter(|run| run.variant == variant.name)
            .collect();
        let average = |pick: fn(&&crate::experiment::Run) -> f64| {
            runs.iter().map(pick).sum::<f64>() / runs.len().max(1) as f64
        };
        let Some(service) = summary.service.get(&variant.name) else {
            continue;
        };
        html.push_str(&format!(
            "<tr><td>{}<td>{:.3} ({:.3} to {:.3})<td>{:.0}<td>{:.0}<td>{:.2}<td>{}</tr>\n",
            escape(&variant.name),
            service.mean,
            service.low,
            service.high,
            average(|run| run.p50),
            average(|run| run.p99),
            average(|run| run.attempts),
            runs.iter().map(|run| run.broken.len()).sum::<usize>()
        ));
    }
    html.push_str("</table>\n");
    for (name, found) in &summary.differences {
        html.push_str(&format!(
            "<p>{}</p>\n",
            escape(&sentence(&experiment.variant[0].name, name, found))
        ));
    }
    for (class, name) in CLASSES.iter().enumerate() {
        let plot = plot(experiment, summary, class).map_err(|e| format!("a plot: {e}"))?;
        html.push_str(&format!("<h2>Service over time, {name}</h2>\n{plot}\n"));
    }
    for run in summary.runs.iter().filter(|run| !run.broken.is_empty()) {
        html.push_str(&format!(
            "<h3>Broken in {} repeat {}</h3><ul>",
            escape(&run.variant),
            run.repeat
        ));
        run.broken
            .iter()
            .take(50)
            .for_each(|broken| html.push_str(&format!("<li>{}", escape(broken))));
        html.push_str("</ul>\n");
    }
    Ok(html)
}

/// A class's mean service in each second, a line a variant; faults and changes of the roster as grey lines.
fn plot(
    experiment: &Experiment,
    summary: &Summary,
    class: usize,
) -> Result<String, Box<dyn std::error::Error>> {
    let span = experiment.load.span;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (900, 320)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(30)
            .y_label_area_size(45)
            .build_cartesian_2d(0.0..span, 0.0..1.05)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("service")
            .draw()?;
        let changes = experiment
            .variant
            .iter()
            .flat_map(|variant| &variant.roster)
            .map(|change| change.at);
        for at in experiment.fault.iter().map(|fault| fault.at).chain(changes) {
            chart.draw_series(LineSeries::new([(at, 0.0), (at, 1.05)], BLACK.mix(0.3)))?;
        }
        for (number, variant) in experiment.variant.iter().enumerate() {
            let runs: Vec<_> = summary
                .runs
                .iter()
                .filter(|run| run.variant == variant.name)
                .collect();
            let at = |second: usize| {
                let values = runs.iter().filter_map(|run| run.seconds[class].get(second));
                values.sum::<f64>() / runs.len().max(1) as f64
            };
            let colour = Palette99::pick(number).to_rgba();
            let line = (0..span.ceil() as usize).map(|second| (second as f64 + 0.5, at(second)));
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
