//! Memory that this process may use, as the system tells it.

use std::fs;

use rustix::system::sysinfo;

/// File with the memory limit of this process's control group, a number of bytes or `max`.
const GROUP_LIMIT_FILE: &str = "/sys/fs/cgroup/memory.max";

/// Returns the bytes of memory that this process may use at most.
pub(crate) fn usable_memory() -> Option<usize> {
    let info = sysinfo();
    let machine = u128::from(info.totalram) * u128::from(info.mem_unit);
    let machine = usize::try_from(machine).ok().filter(|bytes| *bytes > 0);
    let group = fs::read_to_string(GROUP_LIMIT_FILE).ok();
    let group = group.and_then(|text| text.trim().parse().ok());
    machine.into_iter().chain(group).min()
}
