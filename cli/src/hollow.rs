//! Many hollow schedulers in one process.

use clap::Args;

#[derive(Args)]
pub struct Hollow {
    /// One line of JSON
    #[arg(long)]
    json: bool,
}

impl Hollow {
    pub fn run(self) -> Result<u8, String> {
        let _ = self.json;
        Err("not built yet".into())
    }
}
