//! Lays out the machines of a soak, with a relay on each way between them.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use super::link_rate::LinkRate;
use super::relay::Relay;
use super::schedule::Size;
use crate::fleet::Fleet;

/// Times that ports are looked for, at most.
const ATTEMPTS: usize = 8;

/// Lays out a fleet whose processes are of `program`, and starts its relay; no process is started.
///
/// Ports that were just found free may be taken: a process that another thread is starting holds what this
/// one had open, until it runs its own program. Others are looked for then.
///
/// # Errors
///
/// No ports are free, or a relay can't listen.
pub async fn lay_out(
    size: Size,
    link_mbit: Option<f64>,
    program: &Path,
    folder: &Path,
) -> anyhow::Result<(Rc<Fleet>, Rc<Relay>)> {
    let mut attempt = 1;
    loop {
        let program = PathBuf::from(program);
        let mut fleet = Fleet::relayed(program, folder, size.control_nodes, size.proxies)?;
        fleet.losses = size.losses();
        match Relay::start(&fleet, link_mbit.map(LinkRate::new)).await {
            Ok(relay) => return Ok((Rc::new(fleet), relay)),
            Err(error) if attempt < ATTEMPTS && is_address_in_use(&error) => attempt += 1,
            Err(error) => return Err(error),
        }
    }
}

fn is_address_in_use(error: &anyhow::Error) -> bool {
    let causes = error.chain().filter_map(|cause| cause.downcast_ref());
    let mut kinds = causes.map(io::Error::kind);
    kinds.any(|kind| kind == io::ErrorKind::AddrInUse)
}
