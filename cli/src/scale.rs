//! Scale runs: real schedulers beside hollow ones.

use clap::Args;

#[derive(Args)]
pub struct Scale {
    /// One line of JSON
    #[arg(long)]
    json: bool,
}

impl Scale {
    pub fn run(self) -> Result<u8, String> {
        let _ = self.json;
        Err("not built yet".into())
    }
}
