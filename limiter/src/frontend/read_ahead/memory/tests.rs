//! Tests of the memory that connections share for reading ahead.

use super::{ReadAheadMemory, GUARANTEED_BYTES};

#[test]
fn connections_share_the_memory_beyond_the_guarantee() {
    let memory = ReadAheadMemory::new(1000);
    let mut one = memory.new_share();
    let mut other = memory.new_share();
    assert!(one.resize(GUARANTEED_BYTES + 600));
    assert!(!other.resize(GUARANTEED_BYTES + 401));
    assert!(other.resize(GUARANTEED_BYTES + 400));
    assert!(one.resize(GUARANTEED_BYTES));
    assert!(other.resize(GUARANTEED_BYTES + 1000));
    assert!(!one.resize(GUARANTEED_BYTES + 1));
    drop(other);
    assert!(one.resize(GUARANTEED_BYTES + 1000));
}
