//! What the fleet needs, from slopes and targets.

use clap::Args;

#[derive(Args)]
pub struct Capacity {
    /// One line of JSON
    #[arg(long)]
    json: bool,
}

impl Capacity {
    pub fn run(self) -> Result<u8, String> {
        let _ = self.json;
        Err("not built yet".into())
    }
}
