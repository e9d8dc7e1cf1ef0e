//! What the fleet needs at its targets, from the measured slopes, beside its budgets.

use super::files::read_text;
use clap::{Args, Subcommand};
use pointcross_capacity::{Capacity as CapacityModel, page, slopes};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::Write as _;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct Capacity {
    #[command(subcommand)]
    command: Option<Command>,
    /// One line of JSON
    #[arg(long)]
    json: bool,
    /// How the rows stand without a mechanism, such as `configuration`; may be given several times
    #[arg(long, value_name = "MECHANISM")]
    without: Vec<String>,
    /// Make this page's tables anew; its words stay
    #[arg(long, value_name = "PAGE", conflicts_with = "without")]
    write: Option<PathBuf>,
    /// The folder of targets.toml, fits.toml, slopes.toml, rows.toml and points/
    #[arg(long, default_value = "docs/capacity", global = true)]
    folder: PathBuf,
}

#[derive(Subcommand)]
enum Command {
    /// Work the slopes out from the points, and write slopes.toml
    Fit,
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    fs::write(path, text).map_err(|error| format!("{}: cannot be written: {error}", path.display()))
}

/// The points' files by name.
fn points(folder: &Path) -> Result<BTreeMap<String, String>, String> {
    let bad = |error| format!("{}: cannot be read: {error}", folder.display());
    let mut files = BTreeMap::new();
    for entry in fs::read_dir(folder).map_err(bad)? {
        let path = entry.map_err(bad)?.path();
        if path.extension().is_some_and(|extension| extension == "jsonl")
            && let Some(name) = path.file_name()
        {
            files.insert(name.to_string_lossy().into_owned(), read_text(&path)?);
        }
    }
    Ok(files)
}

impl Capacity {
    pub fn run(self) -> Result<u8, String> {
        let file = |name: &str| read_text(&self.folder.join(name));
        if let Some(Command::Fit) = self.command {
            let fitted = slopes::worked_out(&file("fits.toml")?, &points(&self.folder.join("points"))?)?;
            write(&self.folder.join("slopes.toml"), &slopes::text(&fitted))?;
            let measured = fitted.values().filter(|slope| slope.runs() > 0).count();
            println!("{measured} of {} fits measured", fitted.len());
            return Ok(0);
        }
        let (targets, fits) = (file("targets.toml")?, file("fits.toml")?);
        let worked = CapacityModel::read(&targets, &fits, &file("slopes.toml")?, &file("rows.toml")?)?;
        if let Some(path) = &self.write {
            let named = |error| format!("{}: {error}", path.display());
            write(path, &page::made(&worked, &read_text(path)?).map_err(named)?)?;
        }
        let rows = worked.rows(&self.without)?;
        if self.json {
            println!("{}", json!({ "without": self.without, "rows": rows }));
            return Ok(0);
        }
        let mut table = String::new();
        for row in rows {
            let figure = |figure: Option<f64>| figure.map_or("-".into(), page::number);
            let basis = serde_json::to_string(&row.basis).map_err(|error| error.to_string())?;
            let _ = writeln!(
                table,
                "margin {:>8}  need {:>14}  budget {:>14} {:<4}  {:<13} {}",
                figure(row.margin),
                figure(row.need),
                figure(row.budget),
                row.unit,
                basis.trim_matches('"'),
                row.title()
            );
        }
        // A reader that closes the pipe early, such as `head`, is no error.
        let _ = std::io::stdout().write_all(table.as_bytes());
        Ok(0)
    }
}
