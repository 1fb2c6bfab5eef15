//! The few system calls that the standard library does not offer.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;
use std::os::raw::{c_int, c_ulong, c_void};
use std::os::unix::process::CommandExt;
use std::process::Command;

pub const SIGTERM: c_int = 15;

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOCK_CLOEXEC: c_int = 0o2_000_000;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: c_ulong = 9;

#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    node: [u8; 4],
    rest: [u8; 8],
}

extern "C" {
    fn kill(process: c_int, signal: c_int) -> c_int;
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
    fn connect(socket: c_int, address: *const Address, length: u32) -> c_int;
    fn prctl(option: c_int, value: c_ulong) -> c_int;
}

/// Sends a signal to a process that this one started.
pub fn signal(process: u32, signal: c_int) {
    // SAFETY: takes two numbers and touches no memory.
    unsafe {
        kill(process as c_int, signal);
    }
}

/// Has a process end with this one, also where this one is interrupted. To be started by the main thread.
pub fn end_together(command: &mut Command) {
    // SAFETY: between fork and exec only a system call is made, which takes two numbers.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        });
    }
}

/// A connection as over a network, with small windows and 1,500 bytes a packet: over loopback the other
/// end's system would take some megabytes at once.
pub fn connect_as_over_a_network(to: SocketAddrV4) -> io::Result<TcpStream> {
    let set = |socket, level, name, value: c_int| {
        let length = size_of::<c_int>() as u32;
        // SAFETY: the value is a number that outlives the call.
        let done = unsafe { setsockopt(socket, level, name, (&raw const value).cast(), length) };
        match done {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        }
    };
    // SAFETY: takes three numbers and touches no memory.
    let raw = unsafe { socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    if raw < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor was just opened, and is owned by nobody else.
    let stream = unsafe { TcpStream::from_raw_fd(raw) };
    set(raw, IPPROTO_TCP, TCP_MAXSEG, 1448)?;
    set(raw, SOL_SOCKET, SO_RCVBUF, 4 << 10)?;
    let address = Address {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        node: to.ip().octets(),
        rest: [0; 8],
    };
    // SAFETY: the address outlives the call, and its length is told.
    let done = unsafe { connect(raw, &raw const address, size_of::<Address>() as u32) };
    match done {
        0 => Ok(stream),
        _ => Err(io::Error::last_os_error()),
    }
}

/// A group of loopback addresses that no other run is likely to use.
pub fn network() -> [u8; 3] {
    let process = std::process::id();
    [
        127,
        20 + (process / 200 % 200) as u8,
        1 + (process % 200) as u8,
    ]
}

/// An address of that group.
pub fn node(network: [u8; 3], last: u8) -> Ipv4Addr {
    Ipv4Addr::new(network[0], network[1], network[2], last)
}
