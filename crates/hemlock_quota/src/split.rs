//! Splitting a limit between entries by their demand.

/// Splits `limit` between entries that want `wants` tasks each.
///
/// Small wants are met in full and the rest is shared evenly among the larger ones. What nobody
/// wants is spread evenly, so that an entry can start new work at once. Units that don't divide
/// evenly go to the entries from position `turn` on, so that with a small limit each has its
/// turn.
///
/// The parts never sum to more than the limit.
pub fn split(limit: u32, wants: &[u32], turn: usize) -> Vec<u32> {
    let mut parts = vec![0; wants.len()];
    let left = fill_wants(limit, wants, turn, &mut parts);
    spread_evenly(left, turn, &mut parts);
    parts
}

/// Fills the wants level by level and returns what is left of the limit.
fn fill_wants(limit: u32, wants: &[u32], turn: usize, parts: &mut [u32]) -> u32 {
    let mut left = limit;
    let mut open: Vec<usize> = (0..wants.len()).collect();
    open.sort_by_key(|index| wants[*index]);
    while let Some(level) = even_level(left, open.len()) {
        let met = open.partition_point(|index| wants[*index] <= level);
        match met {
            0 => {
                share_level(left, level, turn, &open, parts);
                return 0;
            }
            met => {
                for index in open.drain(..met) {
                    parts[index] = wants[index];
                    left -= wants[index];
                }
            }
        }
    }
    left
}

fn even_level(left: u32, entries: usize) -> Option<u32> {
    let entries = u32::try_from(entries).ok()?;
    left.checked_div(entries)
}

/// Gives `level` to every open entry, and one more to as many as `left` allows.
fn share_level(left: u32, level: u32, turn: usize, open: &[usize], parts: &mut [u32]) {
    for index in open {
        parts[*index] = level;
    }
    let extra = left as usize - level as usize * open.len();
    let mut in_turn = open.to_vec();
    in_turn.sort_unstable();
    for step in 0..extra {
        let index = in_turn[(turn + step) % in_turn.len()];
        parts[index] += 1;
    }
}

fn spread_evenly(left: u32, turn: usize, parts: &mut [u32]) {
    let Some(level) = even_level(left, parts.len()) else {
        return;
    };
    let all: Vec<usize> = (0..parts.len()).collect();
    let mut spare = vec![0; parts.len()];
    share_level(left, level, turn, &all, &mut spare);
    for (part, extra) in parts.iter_mut().zip(spare) {
        *part += extra;
    }
}
