//! Messages between the processes of one cluster.
//!
//! Each module holds the requests to one role, and the replies of that role. A message is encoded
//! into one frame by [`encode`](crate::encode) and sent with [`Link::call`](crate::Link::call).

pub mod agent;
pub mod entry;
pub mod keeper;
