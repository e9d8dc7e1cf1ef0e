//! The start of a role: what every role of the tier needs before it serves, and why it may not get it.

use crate::environment::Environment;
use crate::network::Listener;
use pointcross_tier_protocol::settings::SettingsError;
use pointcross_tier_storage::RingError;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddrV4;

/// Why a role can't serve.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RoleError {
    /// A setting that the role needs is missing.
    #[snafu(display("{source}"))]
    Settings {
        /// The key.
        source: SettingsError,
    },
    /// The ring in the data folder can't be opened.
    #[snafu(display("{source}"))]
    Storage {
        /// The file and the reason.
        source: RingError,
    },
    /// An address can't be listened on.
    #[snafu(display("{address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The handler of the stop signal can't be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Listens on an address of this machine.
///
/// # Errors
/// [`RoleError::Listen`] with the address.
pub fn listen(environment: &Environment, address: SocketAddrV4) -> Result<Box<dyn Listener>, RoleError> {
    environment.network.listen(address).context(ListenSnafu { address })
}

/// The address that `key` of the settings gives, which `role` needs.
///
/// # Errors
/// [`RoleError::Settings`] where the key is missing.
pub fn required_address(
    address: Option<SocketAddrV4>,
    key: &'static str,
    role: &'static str,
) -> Result<SocketAddrV4, RoleError> {
    address.ok_or(SettingsError::Missing { key, role }).context(SettingsSnafu)
}
