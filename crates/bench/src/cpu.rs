//! Processor time of the threads of this process with a given name.

use std::{fs, time::Duration};

/// The length of a clock tick in `/proc`, in milliseconds; fixed for user space on Linux.
const TICK_MILLIS: u64 = 10;
/// The indexes of user and system time among the fields after the name in `/proc/self/task/*/stat`.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// Returns the total processor time of all running threads with the name `name`.
pub fn thread_time(name: &str) -> Duration {
    let mut ticks = 0;
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    for task in tasks {
        let Ok(stat) = fs::read_to_string(task.path().join("stat")) else { continue };
        let Some((head, tail)) = stat.rsplit_once(") ") else { continue };
        if !head.ends_with(&format!("({name}")) {
            continue;
        }
        let fields: Vec<&str> = tail.split(' ').collect();
        for at in TIME_FIELDS {
            ticks += fields.get(at).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        }
    }
    Duration::from_millis(ticks * TICK_MILLIS)
}
