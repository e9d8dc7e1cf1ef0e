//! The page's tables, and their places in it.

use crate::rows::{Basis, Capacity, Kind, Part, Row};
use crate::slopes::Measured;
use std::fmt::Write;

const OPENS: &str = "<!-- made by lab capacity: ";
const OPENED: &str = " -->";
const ENDS: &str = "<!-- end -->";

/// A figure as a reader wants it: whole from 100 on, with commas; three digits below.
pub fn number(x: f64) -> String {
    if x == 0.0 {
        return "0".into();
    }
    if x.abs() < 99.95 {
        let decimals = (2 - x.abs().log10().floor() as i32).clamp(0, 9) as usize;
        let text = format!("{x:.decimals$}");
        return if text.contains('.') {
            text.trim_end_matches('0').trim_end_matches('.').into()
        } else {
            text
        };
    }
    let whole = format!("{:.0}", x.abs());
    let mut text = String::from(if x < 0.0 { "-" } else { "" });
    for (index, digit) in whole.chars().enumerate() {
        if index > 0 && (whole.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

fn with_error(value: Option<f64>, error: Option<f64>, unit: &str) -> String {
    let Some(value) = value else { return "–".into() };
    let error = error.map(|error| format!(" ± {}", number(error))).unwrap_or_default();
    format!("{}{error} {unit}", number(value)).trim_end().to_owned()
}

fn margin(row: &Row) -> String {
    match row.margin {
        Some(margin) if margin < 1.0 => format!("**{}**", number(margin)),
        Some(margin) => number(margin),
        None => "–".into(),
    }
}

/// On what a figure stands, in a cell.
fn ground(part: &Part) -> String {
    let fits: Vec<String> = part
        .grounds
        .iter()
        .map(|ground| {
            let beyond = if ground.extrapolated > 1.0 {
                format!(", extrapolated {} times", number(ground.extrapolated))
            } else {
                String::new()
            };
            format!("`{}` ({} runs{beyond})", ground.fit, ground.runs)
        })
        .collect();
    let named =
        |names: &[String]| names.iter().map(|name| format!("`{name}`")).collect::<Vec<_>>().join(", ");
    match part.basis {
        Basis::Measured => format!("measured: {}", fits.join(", ")),
        Basis::NotMeasured => format!("not measured: {}", named(&part.missing)),
        Basis::Assumed => format!("assumed: {}", named(&part.assumed)),
        Basis::Reckoned => {
            let mut text = format!("reckoned: `{}`", part.formula);
            if !fits.is_empty() {
                let _ = write!(text, "; measured {}", fits.join(", "));
            }
            if !part.assumed.is_empty() {
                let _ = write!(text, "; assumed {}", named(&part.assumed));
            }
            text
        }
    }
}

fn budget(row: &Row) -> String {
    let Some(part) = &row.budget_part else { return "none stated".into() };
    let figure = with_error(part.need, part.error, &row.unit);
    match part.basis {
        Basis::NotMeasured => ground(part),
        _ if !part.grounds.is_empty() => format!("{figure}, {}", ground(part)),
        _ if !part.assumed.is_empty() => format!("{figure} (assumed)"),
        _ => figure,
    }
}

fn one_line(row: &Row, first: &str) -> String {
    let stands = match &row.terms[..] {
        _ if row.cannot => "cannot be met".into(),
        [term] => ground(term),
        terms => {
            let assumed: Vec<_> =
                terms.iter().flat_map(|term| &term.assumed).map(|name| format!("`{name}`")).collect();
            let assumed =
                if assumed.is_empty() { String::new() } else { format!("; assumed {}", assumed.join(", ")) };
            format!("sum of {} terms, {}{assumed}", terms.len(), basis(row.basis))
        }
    };
    let note = if row.note.is_empty() { String::new() } else { format!(". {}", row.note) };
    format!(
        "| {first} | {} | {} | {} | {stands}{note} | {} |\n",
        with_error(row.need, row.error, &row.unit),
        budget(row),
        margin(row),
        row.mechanism
    )
}

fn basis(basis: Basis) -> &'static str {
    match basis {
        Basis::Measured => "measured",
        Basis::Reckoned => "reckoned",
        Basis::Assumed => "assumed",
        Basis::NotMeasured => "not measured",
    }
}

const HEAD: &str = "| what | need at the target | budget | margin | on what it stands | carried by |\n| --- | --- | --- | --- | --- | --- |\n";

/// Rows of one group, each sum with its terms before it.
fn rows(rows: &[&Row]) -> String {
    let mut text = String::from(HEAD);
    for row in rows {
        if row.terms.len() > 1 {
            for term in &row.terms {
                let need = with_error(term.need, term.error, &row.unit);
                let _ = writeln!(text, "| – {} | {need} | | | {} | |", term.words, ground(term));
            }
        }
        text.push_str(&one_line(row, &format!("{}: {}", row.role, row.resource)));
    }
    text
}

fn stated(capacity: &Capacity, kinds: &[Kind]) -> String {
    let mut text = String::from("| name | figure | words |\n| --- | --- | --- |\n");
    for (name, stated) in capacity.targets.iter().filter(|(_, stated)| kinds.contains(&stated.kind)) {
        let part = capacity.part(name, name).ok();
        let formula = match stated.formula() {
            formula if formula.parse::<f64>().is_ok() => String::new(),
            formula => format!(" (`{formula}`)"),
        };
        let value = with_error(part.and_then(|part| part.need), None, &stated.unit);
        let _ = writeln!(text, "| `{name}` | {value}{formula} | {} |", stated.words);
    }
    text
}

fn slopes(capacity: &Capacity) -> String {
    let mut text = String::from(
        "| fit | of | slope | at nought | residual | R² | sizes (runs) | straight to | curvature | command |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (name, slope) in &capacity.slopes {
        let fit = &slope.fit;
        let of = match &fit.x {
            Some(x) => format!("`{}` over `{x}`, {}", fit.y, fit.unit),
            None => format!("`{}`, {}", fit.y, fit.unit),
        };
        let cells = match &slope.measured {
            Measured::Nothing(why) => format!("not measured: {why} | | | | | | "),
            Measured::One { value, error, runs } => {
                let error = if *error > 0.0 { Some(*error) } else { None };
                format!("{} | | | | {runs} runs | | ", with_error(Some(*value), error, ""))
            }
            Measured::Line(line) => {
                let sizes: Vec<String> =
                    line.sizes.iter().map(|size| format!("{} ({})", number(size.x), size.runs)).collect();
                let off: Vec<String> = line.off.iter().map(|&x| number(x)).collect();
                let straight = match (line.straight_to, line.spread) {
                    (_, None) => "not known: one run a size".into(),
                    (Some(to), _) if off.is_empty() => number(to),
                    (Some(to), _) => format!("{}; off: {}", number(to), off.join(", ")),
                    (None, _) if off.is_empty() => "not known: two sizes".into(),
                    (None, _) => format!("nowhere; off: {}", off.join(", ")),
                };
                format!(
                    "{} | {} | {} | {:.3} | {} | {straight} | {}",
                    with_error(Some(line.slope), Some(line.slope_error), ""),
                    with_error(Some(line.intercept), Some(line.intercept_error), ""),
                    number(line.residual),
                    line.r2,
                    sizes.join(", "),
                    line.curvature.map_or("–".into(), |(c, error)| with_error(Some(c), Some(error), "")),
                )
            }
        };
        let _ = writeln!(text, "| `{name}` | {of} | {cells} | `{}` |", fit.command);
    }
    text
}

fn smallest(rows: &[Row], count: usize) -> String {
    let mut text = String::from(HEAD);
    for row in rows.iter().filter(|row| row.margin.is_some()).take(count) {
        text.push_str(&one_line(row, &row.title()));
    }
    text
}

/// The table of a name: `targets`, `assumed`, `program`, `reckoned`, `slopes`, `smallest`, `without MECHANISM`, or a group of rows.
///
/// # Errors
/// No such table, or what is wrong with its rows.
pub fn table(capacity: &Capacity, name: &str) -> Result<String, String> {
    match name {
        "targets" => return Ok(stated(capacity, &[Kind::Target, Kind::Budget])),
        "assumed" => return Ok(stated(capacity, &[Kind::Assumed])),
        "program" => return Ok(stated(capacity, &[Kind::Program])),
        "reckoned" => return Ok(stated(capacity, &[Kind::Reckoned])),
        "slopes" => return Ok(slopes(capacity)),
        "smallest" => return Ok(smallest(&capacity.rows(&[])?, 10)),
        _ => {}
    }
    if let Some(mechanism) = name.strip_prefix("without ") {
        return Ok(smallest(&capacity.rows(&[mechanism.to_owned()])?, 10));
    }
    let all = capacity.rows(&[])?;
    let mut group: Vec<&Row> = all.iter().filter(|row| row.group == name).collect();
    group.sort_by_key(|row| row.place);
    if group.is_empty() {
        return Err(format!("{name}: no such table and no such group of rows"));
    }
    Ok(rows(&group))
}

/// The page with its tables made anew; what stands between the markers alone changes.
///
/// # Errors
/// A marker without an end, a table that is not there, or a group of rows that the page does not show.
pub fn made(capacity: &Capacity, page: &str) -> Result<String, String> {
    let mut text = String::new();
    let mut shown = Vec::new();
    let mut lines = page.lines();
    while let Some(line) = lines.next() {
        let _ = writeln!(text, "{line}");
        let Some(name) = line.strip_prefix(OPENS).and_then(|rest| rest.strip_suffix(OPENED)) else {
            continue;
        };
        if !lines.any(|line| line == ENDS) {
            return Err(format!("{name}: no {ENDS} after it"));
        }
        let _ = write!(text, "\n{}\n{ENDS}\n", table(capacity, name)?);
        shown.push(name.to_owned());
    }
    match capacity.groups().into_iter().find(|group| !shown.contains(group)) {
        Some(group) => Err(format!("{group}: the page does not show this group of rows")),
        None => Ok(text),
    }
}
