//! Results of requests.

use crate::RanStatus;
use crate::RequestEvidence;
use crate::ResultCode;

/// Status of refusals once something may have run.
const FAILURE_STATUS: u16 = 502;

/// Result code of a request with the evidence of whether it ran, which together decide its HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestResult {
    code: ResultCode,
    ran: RanStatus,
}

impl RequestResult {
    /// Creates the result of a request from its evidence.
    pub fn new(code: ResultCode, evidence: &RequestEvidence) -> Self {
        let ran = evidence.ran();
        Self { code, ran }
    }

    /// Returns the result code.
    pub fn code(self) -> ResultCode {
        self.code
    }

    /// Returns whether anything ran.
    pub fn ran(self) -> RanStatus {
        self.ran
    }

    /// Returns the HTTP status. Clients and proxies repeat requests after the statuses of refusals, so these
    /// are given only to requests of which nothing ran.
    pub fn http_status(self) -> u16 {
        match self.code.http_status() {
            408 | 421 | 429 | 503 if self.ran != RanStatus::No => FAILURE_STATUS,
            status => status,
        }
    }
}
