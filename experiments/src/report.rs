//! A report of one rehearsal: a single HTML page with its plots inside, to be understood at a glance.

use crate::script::{Script, What};
use crate::virtual_time::{Outcome, Outcomes};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;

const SERVED: RGBColor = RGBColor(46, 125, 50);
const REFUSED: RGBColor = RGBColor(239, 140, 0);
const FAILED: RGBColor = RGBColor(198, 40, 40);
const TROUBLE: RGBColor = RGBColor(120, 120, 160);
const SIZE: (u32, u32) = (960, 300);

/// What a trouble is called in the report.
fn name(what: &What) -> String {
    match what {
        What::Die { nodes } => format!("{:.0}% of nodes die", nodes * 100.0),
        What::Silent { nodes } => format!("{:.0}% of nodes silent", nodes * 100.0),
        What::Slow { nodes, times } => format!("{:.0}% of nodes {times} times slower", nodes * 100.0),
        What::Reset { nodes, .. } => format!("{:.0}% of nodes break connections", nodes * 100.0),
        What::Surge { plan, times } => format!("{plan} at {times} times"),
        What::Hot { volumes, times } => format!("{:.0}% of volumes at {times} times", volumes * 100.0),
        What::Lead { volumes } => format!("{:.0}% of volumes change their lead", volumes * 100.0),
        What::Drain { nodes } => format!("{:.0}% of nodes drain", nodes * 100.0),
        What::Discovery => "discovery silent".to_owned(),
        What::Scheduler { number } => format!("scheduler {number} killed"),
    }
}

/// The rows of troubles below a time plot, as a drawing of their own on the same axis.
fn troubles(script: &Script) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    let rows = script.trouble.len().max(1) as u32;
    {
        let root = SVGBackend::with_string(&mut svg, (SIZE.0, 24 * rows + 10)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .set_label_area_size(LabelAreaPosition::Left, 60)
            .margin_right(20)
            .build_cartesian_2d(0.0..script.site.seconds, 0.0..f64::from(rows))?;
        for (row, trouble) in script.trouble.iter().enumerate() {
            let top = f64::from(rows) - row as f64 - 0.1;
            let end = (trouble.at_s + trouble.for_s.max(0.5)).min(script.site.seconds);
            let bar = Rectangle::new([(trouble.at_s, top - 0.75), (end, top)], TROUBLE.mix(0.45).filled());
            chart.draw_series(std::iter::once(bar))?;
            let label = Text::new(name(&trouble.what), (trouble.at_s + 0.2, top - 0.1), ("sans-serif", 13));
            chart.draw_series(std::iter::once(label))?;
        }
        root.present()?;
    }
    Ok(svg)
}

/// Bars by the second, each of parts that stand on one another in these colours.
fn stacked(seconds: &[Vec<u64>], colors: &[RGBColor], what: &str) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    let most = seconds.iter().map(|parts| parts.iter().sum::<u64>()).max().unwrap_or(1).max(1);
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .set_label_area_size(LabelAreaPosition::Left, 60)
            .set_label_area_size(LabelAreaPosition::Bottom, 30)
            .margin_right(20)
            .margin_top(10)
            .build_cartesian_2d(0.0..seconds.len().max(1) as f64, 0..most + most / 10 + 1)?;
        chart.configure_mesh().x_desc("seconds").y_desc(what).light_line_style(WHITE).draw()?;
        for (second, parts) in seconds.iter().enumerate() {
            let (from, to) = (second as f64 + 0.05, second as f64 + 0.95);
            let mut base = 0;
            for (&part, color) in parts.iter().zip(colors) {
                let bar = Rectangle::new([(from, base), (to, base + part)], color.filled());
                chart.draw_series(std::iter::once(bar))?;
                base += part;
            }
        }
        root.present()?;
    }
    Ok(svg)
}

fn over_time(seconds: &[[u32; 4]]) -> Result<String, Box<dyn Error>> {
    // Served at the bottom, then refused, then failed and lost.
    let parts = |&[served, refused, failed, lost]: &[u32; 4]| vec![served, refused, failed + lost];
    let bars: Vec<Vec<u64>> =
        seconds.iter().map(|second| parts(second).into_iter().map(u64::from).collect()).collect();
    stacked(&bars, &[SERVED, REFUSED, FAILED], "answers a second")
}

/// Jobs in each node over time: a row a node, the darker the more.
fn inflight(held: &[Vec<u32>]) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    let nodes = held.first().map_or(0, Vec::len).max(1);
    let most = held.iter().flatten().copied().max().unwrap_or(1).max(1);
    {
        let height = (10 * nodes as u32 + 50).max(120);
        let root = SVGBackend::with_string(&mut svg, (SIZE.0, height)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .set_label_area_size(LabelAreaPosition::Left, 60)
            .set_label_area_size(LabelAreaPosition::Bottom, 30)
            .margin_right(20)
            .build_cartesian_2d(0.0..held.len().max(1) as f64, 0.0..nodes as f64)?;
        chart.configure_mesh().disable_mesh().x_desc("seconds").y_desc("node").draw()?;
        for (second, jobs) in held.iter().enumerate() {
            let cells = jobs.iter().enumerate().filter(|(_, jobs)| **jobs > 0).map(|(node, &jobs)| {
                let part = f64::from(jobs) / f64::from(most);
                let (x, y) = (second as f64, node as f64);
                Rectangle::new([(x, y), (x + 1.0, y + 1.0)], BLUE.mix(part.sqrt()).filled())
            });
            chart.draw_series(cells)?;
        }
        root.present()?;
    }
    Ok(svg)
}

fn table(title: &str, rows: &BTreeMap<String, Outcomes>) -> String {
    let mut html = format!(
        "<table><tr><th>{title}</th><th>requests</th><th>served</th><th>refused</th><th>failed</th><th>lost</th>\
         <th>worth served</th><th>p50 ms</th><th>p99 ms</th></tr>"
    );
    for (name, o) in rows {
        let _ = write!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td><b>{:.1}%</b></td><td>{:.0}</td><td>{:.0}</td></tr>",
            escape(name),
            o.requests,
            o.served,
            o.refused,
            o.failed,
            o.lost,
            o.served_worth_share * 100.0,
            o.p50_ms,
            o.p99_ms
        );
    }
    html + "</table>"
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// How a fleet of real processes lived through a scenario, second by second.
pub struct Lived<'a> {
    /// Calls to the list service.
    pub list_calls: &'a [u64],
    /// Requests by the second they were sent in: served, refused, failed, unanswered.
    pub answers: &'a [[u32; 4]],
    /// The most requests each node held.
    pub held: &'a [Vec<u32>],
}

fn calls(list_calls: &[u64]) -> Result<String, Box<dyn Error>> {
    let bars: Vec<Vec<u64>> = list_calls.iter().map(|&calls| vec![calls]).collect();
    stacked(&bars, &[TROUBLE], "calls a second")
}

const STYLE: &str = "body{font:15px sans-serif;max-width:960px;margin:2em auto;color:#222}h2{margin-top:1.6em}\
     table{border-collapse:collapse;margin:1em 0}td,th{padding:3px 10px;text-align:right;\
     border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}.kept{color:#2e7d32}\
     .broken{color:#c62828;font-weight:bold}.key span{padding:0 .5em;color:#fff}svg{max-width:100%}";

const KEY: &str = "<p class=\"key\"><span style=\"background:#2e7d32\">served</span> \
     <span style=\"background:#ef8c00\">refused</span> <span style=\"background:#c62828\">failed or lost</span></p>";

/// The page of a fleet run: its figures, and the plots of list calls, answers and what nodes held.
///
/// # Errors
///
/// Where a plot cannot be drawn.
pub fn fleet_html(
    about: &str,
    figures: &[(String, String)],
    lived: &Lived<'_>,
) -> Result<String, Box<dyn Error>> {
    let about = escape(about);
    let rows: String = figures
        .iter()
        .map(|(key, value)| format!("<tr><td>{}</td><td>{}</td></tr>", escape(key), escape(value)))
        .collect();
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{about}</title><style>{STYLE}</style>\
         <h1>{about}</h1><h2>Answers, by the second they were asked in</h2>{KEY}{}\
         <h2>Calls to the list service</h2>{}<h2>The most requests each node held</h2>{}\
         <h2>Figures</h2><table>{rows}</table></html>\n",
        over_time(lived.answers)?,
        calls(lived.list_calls)?,
        inflight(lived.held)?,
    ))
}

/// The page.
///
/// # Errors
///
/// Where a plot cannot be drawn.
pub fn html(script: &Script, outcome: &Outcome) -> Result<String, Box<dyn Error>> {
    let rules = [
        ("writes run twice", outcome.broken.doubled_writes),
        ("sends to drained or gone nodes", outcome.broken.drained_sends),
        ("requests over a limit", outcome.broken.over_limit),
        ("cold nodes pushed over", outcome.broken.pushed_over),
        ("requests never answered", outcome.broken.unanswered),
    ];
    let rules: String = rules
        .iter()
        .map(|(rule, count)| {
            let class = if *count == 0 { "kept" } else { "broken" };
            format!("<li class=\"{class}\">{rule}: {count}</li>")
        })
        .collect();
    let title = escape(&outcome.script);
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}\
         </style><h1>{title}</h1><p>{} nodes, {} schedulers, {} requests in {:.0} s of virtual time, seed {}. \
         <b>{:.1}%</b> of the worth that was asked for was served in time.</p><ul>{rules}</ul>\
         <h2>Answers over time</h2>{KEY}{}{}<h2>By plan</h2>{}<h2>By class</h2>{}<h2>Jobs in each node</h2>{}\
         <p>Ledger {}</p></html>\n",
        outcome.nodes,
        outcome.schedulers,
        outcome.requests,
        script.site.seconds,
        outcome.seed,
        outcome.served_worth_share * 100.0,
        over_time(&outcome.seconds)?,
        troubles(script)?,
        table("plan", &outcome.plans),
        table("class", &outcome.classes),
        inflight(&outcome.inflight)?,
        outcome.ledger_hash,
    ))
}
