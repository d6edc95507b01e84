//! Max-min fair split of a limit among entries by their demand.

/// Splits `limit` among entries with the given demands, in tasks.
///
/// Small demands are met in full, and the rest is split evenly among the larger ones. Capacity
/// beyond all demands is split evenly too, so that an entry can start new work at once. The
/// remainder of an even split goes to the entries from position `offset` on. Callers change the
/// offset over time, so that with a small limit every entry gets a part at times.
///
/// The sum of the parts never exceeds the limit.
pub fn split(limit: u32, demands: &[u32], offset: usize) -> Vec<u32> {
    let mut parts = vec![0; demands.len()];
    let left = fill_demands(limit, demands, offset, &mut parts);
    split_evenly(left, offset, &mut parts);
    parts
}

/// Meets the demands in increasing order as far as the limit allows. Returns the unused part of the
/// limit.
fn fill_demands(limit: u32, demands: &[u32], offset: usize, parts: &mut [u32]) -> u32 {
    let mut left = limit;
    let mut open: Vec<usize> = (0..demands.len()).collect();
    open.sort_by_key(|index| demands[*index]);
    while let Some(level) = even_level(left, open.len()) {
        let met = open.partition_point(|index| demands[*index] <= level);
        match met {
            0 => {
                assign_level(left, level, offset, &open, parts);
                return 0;
            }
            met => {
                for index in open.drain(..met) {
                    parts[index] = demands[index];
                    left -= demands[index];
                }
            }
        }
    }
    left
}

/// Returns the even part of `left` for each of `entries`, rounded down; `None` without entries.
fn even_level(left: u32, entries: usize) -> Option<u32> {
    let entries = u32::try_from(entries).ok()?;
    left.checked_div(entries)
}

/// Gives `level` to every open entry, and one more to as many entries as `left` allows.
fn assign_level(left: u32, level: u32, offset: usize, open: &[usize], parts: &mut [u32]) {
    for index in open {
        parts[*index] = level;
    }
    let extra = left as usize - level as usize * open.len();
    let mut in_order = open.to_vec();
    in_order.sort_unstable();
    for step in 0..extra {
        let index = in_order[(offset + step) % in_order.len()];
        parts[index] += 1;
    }
}

/// Adds an even part of `left` to every part.
fn split_evenly(left: u32, offset: usize, parts: &mut [u32]) {
    let Some(level) = even_level(left, parts.len()) else {
        return;
    };
    let all: Vec<usize> = (0..parts.len()).collect();
    let mut extras = vec![0; parts.len()];
    assign_level(left, level, offset, &all, &mut extras);
    for (part, extra) in parts.iter_mut().zip(extras) {
        *part += extra;
    }
}
