/// The number of bits of the mantissa that select an entry of [`LOG2_TABLE`].
const INDEX_BITS: u32 = 8;

/// The number of fractional bits of the results.
const FRACTION_BITS: u32 = 48;

/// log2(1 + i / 256) for i from 0 to 256, with [`FRACTION_BITS`] fractional bits.
const LOG2_TABLE: [u64; (1 << INDEX_BITS) + 1] = log2_table();

/// Returns -log2((`value` + 1) / 2⁶⁴) with 48 fractional bits.
///
/// The result is interpolated linearly from a table with integer arithmetic, so it is the same on
/// every processor. The absolute error is below 2⁻¹⁸, and the function is monotonically
/// non-increasing.
pub(crate) fn negative_log2(value: u64) -> u64 {
    // value + 1 may be 2⁶⁴, whose result is 0.
    let Some(number) = value.checked_add(1) else {
        return 0;
    };
    let exponent = number.ilog2();
    let mantissa = (number << (63 - exponent)) << 1;
    let index = (mantissa >> (64 - INDEX_BITS)) as usize;
    let rest = mantissa << INDEX_BITS;
    let (low, high) = (LOG2_TABLE[index], LOG2_TABLE[index + 1]);
    let step = ((u128::from(high - low) * u128::from(rest)) >> 64) as u64;
    (u64::from(64 - exponent) << FRACTION_BITS) - (low + step)
}

/// Computes [`LOG2_TABLE`] by repeated squaring.
const fn log2_table() -> [u64; (1 << INDEX_BITS) + 1] {
    let mut table = [0; (1 << INDEX_BITS) + 1];
    let mut index = 0;
    while index < 1 << INDEX_BITS {
        // A number in [1, 2) with 62 fractional bits.
        let mut number: u128 = (1 << 62) + ((index as u128) << (62 - INDEX_BITS));
        let mut result = 0;
        let mut bit = 0;
        while bit < FRACTION_BITS {
            number = (number * number) >> 62;
            result <<= 1;
            if number >= 1 << 63 {
                number >>= 1;
                result |= 1;
            }
            bit += 1;
        }
        table[index] = result;
        index += 1;
    }
    table[1 << INDEX_BITS] = 1 << FRACTION_BITS;
    table
}
