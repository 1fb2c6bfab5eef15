//! Stories of a fleet of hives in memory: hives, disks, a network with delay, loss and cuts, workers and
//! foragers, on a simulated clock.

mod apart;
mod play;
mod stories;
