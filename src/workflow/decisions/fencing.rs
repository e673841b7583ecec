//! Computes the fencing tokens of calls to workers.
//!
//! Load pattern: a worker that starts again under its identifier and address carries out calls that
//! were sent to its former incarnation. Its token grows with each incarnation, so that the first call
//! for the new incarnation makes all calls for former ones ineffective, however late they arrive.

use crate::ids::{Epoch, Generation};

/// Bits of a token that hold the generation. The epochs of a log begin with the Unix milliseconds of
/// its formation, so that the tokens of one that is formed before 2039 stay below 2^53, which all
/// decoders of JSON represent exactly.
const GENERATION_BITS: u32 = 12;
const MAX_GENERATION: u64 = (1 << GENERATION_BITS) - 1;

/// Returns the fencing token of a call. A later placer has a higher token than an earlier one, and
/// a later incarnation a higher one than an earlier one in the same term. Incarnations beyond the
/// 4,095th restart in a term share a token.
pub fn fencing_token(epoch: Epoch, generation: Generation) -> u64 {
    let generation = u64::from(generation).min(MAX_GENERATION);
    epoch
        .saturating_mul(MAX_GENERATION + 1)
        .saturating_add(generation)
}
