use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::cookie::{Cookie, work::Report};

/// The number of codes of the delay factor per doubling.
const CODES_PER_DOUBLING: f32 = 8.0;

/// The code of the delay factor 1. Codes range from 0 to 127, so factors from 2⁻⁸ to 2^7.875.
const NEUTRAL_CODE: f32 = 64.0;
const MAXIMUM_CODE: f32 = 127.0;

/// A [`Report`] in a frame, in 7 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The cookie of the target.
    // Cookies are hashes, for which a varint takes 5 bytes.
    #[serde(with = "postcard::fixint::le")]
    pub cookie: Cookie,
    /// The binary logarithm of the delay factor times 8, plus 64, in the high 7 bits, and whether
    /// the target has rejected a request in the lowest bit.
    pub code: u8,
    /// The time since the observation in milliseconds.
    #[serde(with = "postcard::fixint::le")]
    pub age_ms: u16,
}

impl From<Report> for TargetReport {
    fn from(report: Report) -> TargetReport {
        let scaled = report.delay_factor.log2() * CODES_PER_DOUBLING + NEUTRAL_CODE;
        // A cast of NaN gives 0.
        let factor_code = scaled.round().clamp(0.0, MAXIMUM_CODE) as u8;
        TargetReport {
            cookie: report.cookie,
            code: factor_code << 1 | u8::from(report.is_rejecting),
            age_ms: u16::try_from(report.age.as_millis()).unwrap_or(u16::MAX),
        }
    }
}

impl From<TargetReport> for Report {
    fn from(report: TargetReport) -> Report {
        let factor_code = f32::from(report.code >> 1);
        Report {
            cookie: report.cookie,
            delay_factor: ((factor_code - NEUTRAL_CODE) / CODES_PER_DOUBLING).exp2(),
            is_rejecting: report.code & 1 == 1,
            age: Duration::from_millis(u64::from(report.age_ms)),
        }
    }
}
