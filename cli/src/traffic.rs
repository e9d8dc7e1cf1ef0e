//! What traffic costs one scheduler.

use clap::Args;

#[derive(Args)]
pub struct Traffic {
    /// One line of JSON
    #[arg(long)]
    json: bool,
}

impl Traffic {
    pub fn run(self) -> Result<u8, String> {
        let _ = self.json;
        Err("not built yet".into())
    }
}
