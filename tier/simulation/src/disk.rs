//! A machine's disk: the files are real, what outlasts a loss of power is not.
//!
//! What was written and not synced survives a loss of power, goes missing or tears, page by page. A sync that fails
//! leaves its pages clean in the cache and old on the platter, as systems do: only bytes that are written again reach
//! the platter with a later sync.

use pointcross_tier_runtime::random;
use pointcross_tier_storage::{Device, DeviceFile, SystemDevice};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

const PAGE: u64 = 4096;
/// What is written at once: a torn page is made of sectors.
const SECTOR: usize = 512;

/// A page whose bytes in the cache are newer than those on the platter.
#[derive(Debug)]
struct StalePage {
    on_platter: Vec<u8>,
    /// Written since the last sync, failed ones included.
    is_dirty: bool,
}

#[derive(Debug, Default)]
struct State {
    is_full: bool,
    syncs_fail: bool,
    /// By a file's place in the order in which files were opened, which is the same on each run, and the page.
    stale: BTreeMap<(usize, u64), StalePage>,
    files: Vec<PathBuf>,
}

impl State {
    fn number_of(&mut self, path: &Path) -> usize {
        if let Some(number) = self.files.iter().position(|known| known == path) {
            return number;
        }
        self.files.push(path.to_owned());
        self.files.len() - 1
    }
}

/// A disk.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Arc<Mutex<State>>);

impl SimulatedDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("nobody panics while holding the lock")
    }

    /// Takes no more bytes, or takes them again.
    pub fn set_full(&self, is_full: bool) {
        self.state().is_full = is_full;
    }

    /// Lets syncs fail, or succeed again.
    pub fn set_syncs_fail(&self, fail: bool) {
        self.state().syncs_fail = fail;
    }

    /// Power is lost: pages that were not synced stay, go missing or tear; clean ones that never reached the platter are
    /// gone.
    pub fn lose_power(&self) {
        let (stale, files) = {
            let mut state = self.state();
            (std::mem::take(&mut state.stale), state.files.clone())
        };
        for ((file, page), StalePage { on_platter, is_dirty }) in stale {
            let path = &files[file];
            let Ok(mut file) = SystemDevice.open(path, std::fs::metadata(path).map_or(0, |data| data.len()))
            else {
                continue;
            };
            let cached = file.read_at(page * PAGE, PAGE as usize).unwrap_or_default();
            let left = if is_dirty { what_is_left(&cached, &on_platter) } else { on_platter };
            let _ = file.write_at(page * PAGE, &left);
        }
    }
}

fn what_is_left(cached: &[u8], on_platter: &[u8]) -> Vec<u8> {
    match random::below(3) {
        0 => cached.to_vec(),
        1 => on_platter.to_vec(),
        _ => {
            let torn_at = (random::below(PAGE / SECTOR as u64) as usize * SECTOR).min(cached.len());
            let mut torn = cached[..torn_at].to_vec();
            torn.extend_from_slice(&on_platter[torn_at.min(on_platter.len())..]);
            torn
        }
    }
}

impl Device for SimulatedDisk {
    fn open(&self, path: &Path, length: u64) -> io::Result<Box<dyn DeviceFile>> {
        let file = SystemDevice.open(path, length)?;
        let number = self.state().number_of(path);
        Ok(Box::new(SimulatedFile { disk: self.clone(), number, file }))
    }
}

#[derive(Debug)]
struct SimulatedFile {
    disk: SimulatedDisk,
    number: usize,
    file: Box<dyn DeviceFile>,
}

impl DeviceFile for SimulatedFile {
    fn read_at(&mut self, position: u64, most: usize) -> io::Result<Vec<u8>> {
        self.file.read_at(position, most)
    }

    fn write_at(&mut self, position: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        if state.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let end = position + bytes.len() as u64;
        for page in position / PAGE..end.div_ceil(PAGE) {
            let key = (self.number, page);
            if let Some(stale) = state.stale.get_mut(&key) {
                stale.is_dirty = true;
                continue;
            }
            let on_platter = self.file.read_at(page * PAGE, PAGE as usize)?;
            state.stale.insert(key, StalePage { on_platter, is_dirty: true });
        }
        self.file.write_at(position, bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.state();
        let fails = state.syncs_fail;
        let number = self.number;
        if fails {
            let own = state.stale.iter_mut().filter(|((at, _), _)| *at == number);
            own.for_each(|(_, page)| page.is_dirty = false);
            return Err(io::Error::other("the sync failed"));
        }
        state.stale.retain(|(at, _), page| *at != number || !page.is_dirty);
        Ok(())
    }
}
