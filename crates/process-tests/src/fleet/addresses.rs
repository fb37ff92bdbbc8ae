use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports of one fleet; a process with several fleets gives each its own.
const PORTS_PER_FLEET: u16 = 500;
const FIRST_PORT: u16 = 5_000;

static FLEETS: AtomicU16 = AtomicU16::new(0);

/// Where the processes of one fleet listen.
///
/// Each test process has a loopback address of its own (all of `127.0.0.0/8` is loopback), derived
/// from its process identity, so fixed ports never meet those of another test that runs beside it.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    ip: Ipv4Addr,
    base: u16,
}

impl Addresses {
    /// Addresses that no other fleet on this machine uses.
    pub fn new() -> Self {
        let [_, high, middle, low] = process::id().to_be_bytes();
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 64 + high % 64, middle, low.max(1));
        Self { ip, base: FIRST_PORT + fleet * PORTS_PER_FLEET }
    }

    /// The Object API.
    pub fn object_api(&self) -> SocketAddr {
        self.at(0)
    }

    /// The VM list.
    pub fn vm_list(&self) -> SocketAddr {
        self.at(1)
    }

    /// The weights store.
    pub fn weights(&self) -> SocketAddr {
        self.at(2)
    }

    /// The HTTP port of an entry.
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.at(20 + number as u16)
    }

    /// The peer port of an entry (UDP).
    pub fn peer(&self, number: usize) -> SocketAddr {
        self.at(40 + number as u16)
    }

    /// The operators' port of a controller (UDP).
    pub fn operator(&self, number: usize) -> SocketAddr {
        self.at(60 + number as u16)
    }

    /// The HTTP port of a controller.
    pub fn controller(&self, number: usize) -> SocketAddr {
        self.at(80 + number as u16)
    }

    /// A plain service.
    pub fn plain(&self, number: usize) -> SocketAddr {
        self.at(100 + number as u16)
    }

    /// An engine VM.
    pub fn engine(&self, number: usize) -> SocketAddr {
        self.at(120 + number as u16)
    }

    /// The control port of an engine VM's process.
    pub fn engine_control(&self, number: usize) -> SocketAddr {
        self.at(300 + number as u16)
    }

    /// A port for whatever else a test needs.
    pub fn spare(&self, number: usize) -> SocketAddr {
        self.at(480 + number as u16)
    }

    fn at(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.base + offset)
    }
}

impl Default for Addresses {
    fn default() -> Self {
        Self::new()
    }
}
