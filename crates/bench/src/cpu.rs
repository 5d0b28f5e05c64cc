//! Processor time of a part of this process, told apart by the names of its threads.

use std::{fs, time::Duration};

/// The length of one clock tick of `/proc`, in milliseconds; fixed for user space on Linux.
const TICK_MILLIS: u64 = 10;
/// The fields of `/proc/self/task/*/stat` behind the name: user and system time.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// Returns the processor time that all threads called `name` have used so far.
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
