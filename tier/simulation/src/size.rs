//! How large a deployment is, and where its machines are.

use std::net::Ipv4Addr;

/// How large a deployment is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Control members.
    pub core: u8,
    /// Stores.
    pub storage: u8,
    /// Machines with a disk that may be lost at once.
    pub tolerated: usize,
}

impl Size {
    /// Three control members and three stores; one may be lost.
    pub const SMALL: Size = Size { core: 3, storage: 3, tolerated: 1 };
    /// Three control members and five stores; one may be lost.
    pub const TWO_MORE_STORES: Size = Size { core: 3, storage: 5, tolerated: 1 };
    /// Five control members and seven stores; two may be lost.
    pub const LARGE: Size = Size { core: 5, storage: 7, tolerated: 2 };
}

/// The address of the machine with this number in its class.
pub(crate) fn host(class: &str, number: u8) -> Ipv4Addr {
    let net = match class {
        "core" => 1,
        "storage" => 2,
        _ => 3,
    };
    Ipv4Addr::new(10, net, 0, number)
}

/// The address of a machine, which its name tells.
pub(crate) fn host_of(name: &str) -> Ipv4Addr {
    let (class, number) = name.rsplit_once('-').unwrap_or((name, "0"));
    host(class, number.parse().unwrap_or(0))
}
