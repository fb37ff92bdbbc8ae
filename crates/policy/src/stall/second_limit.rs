/// One in this many of the running streams may have a second attempt because of a quiet replica.
const STREAMS_PER_SECOND: usize = 10;

/// Returns how many of a node's running streams may have second attempts at a time because their
/// replicas are quiet.
///
/// When a whole fleet is slow, second attempts would add to its load.
pub fn quiet_seconds_max(running_streams: usize) -> usize {
    running_streams.div_ceil(STREAMS_PER_SECOND)
}
