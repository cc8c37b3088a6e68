//! The report of a load run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::RequestRecord;
use crate::AuditCounts;
use crate::JournalEntry;
use crate::LoadSettings;
use crate::Scenario;

/// Significant digits of latency histograms.
const DIGITS: u8 = 3;

/// Largest latency that histograms distinguish, in microseconds.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// Results of one account, or of all accounts together.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AccountReport {
    /// Requests sent.
    pub sent: u64,
    /// Complete responses within the deadline.
    pub attained: u64,
    /// Ratio of attained requests.
    pub attainment: f64,
    /// 50th, 95th and 99th percentile of the latency from the intended start, over complete responses,
    /// in milliseconds.
    pub latency_ms: [f64; 3],
    /// 50th, 95th and 99th percentile of the time to the first token, over streams, in milliseconds.
    pub first_token_ms: [f64; 3],
    /// Requests by result code; "none" counts requests without a valid response.
    pub codes: BTreeMap<String, u64>,
    /// Cost by service, including work for failed requests.
    pub cost: BTreeMap<String, f64>,
    /// Cost per attained request.
    pub cost_per_attained: f64,
}

/// Report of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Requests per second.
    pub rate: f64,
    /// Time over which requests were started, in seconds.
    pub seconds: f64,
    /// Seed of arrivals and inputs.
    pub seed: u64,
    /// Results of all accounts together.
    pub total: AccountReport,
    /// Results by account.
    pub accounts: BTreeMap<String, AccountReport>,
    /// Violations found by the audit.
    pub audit: AuditCounts,
    /// Attained and sent requests by the second of their start, for the plot.
    pub by_second: Vec<(u64, u64)>,
}

/// Accumulated results.
struct AccountTotals {
    report: AccountReport,
    latency: Histogram<u64>,
    first_token: Histogram<u64>,
}

impl AccountTotals {
    fn new() -> Self {
        // Creation can't fail: the bound and the digits are within the histogram's supported range.
        let histogram = || {
            Histogram::new_with_max(MAX_LATENCY_MICROS, DIGITS).unwrap_or_else(|_| unreachable!())
        };
        Self {
            report: AccountReport::default(),
            latency: histogram(),
            first_token: histogram(),
        }
    }

    fn add(&mut self, record: &RequestRecord) {
        self.report.sent += 1;
        self.report.attained += u64::from(record.code == Some(0));
        let code = record
            .code
            .map_or("none".to_owned(), |code| code.to_string());
        *self.report.codes.entry(code).or_default() += 1;
        if record.is_complete {
            self.latency.saturating_record(micros(record.latency));
        }
        if let Some(time) = record.first_token {
            self.first_token.saturating_record(micros(time));
        }
    }

    fn finish(mut self) -> AccountReport {
        let report = &mut self.report;
        report.attainment = report.attained as f64 / report.sent.max(1) as f64;
        report.latency_ms = quantiles(&self.latency);
        report.first_token_ms = quantiles(&self.first_token);
        let cost: f64 = report.cost.values().sum();
        report.cost_per_attained = cost / report.attained.max(1) as f64;
        self.report
    }
}

pub(crate) fn build_report(
    scenario: &Scenario,
    settings: &LoadSettings,
    records: &[RequestRecord],
    journal: &[JournalEntry],
    audit: AuditCounts,
) -> LoadReport {
    let mut total = AccountTotals::new();
    let mut accounts: BTreeMap<String, AccountTotals> = BTreeMap::new();
    let mut account_of: HashMap<&str, &str> = HashMap::new();
    let seconds = settings.duration.as_secs_f64();
    let mut by_second = vec![(0, 0); seconds.ceil() as usize + 1];
    for record in records {
        total.add(record);
        let sum = accounts
            .entry(record.account.clone())
            .or_insert_with(AccountTotals::new);
        sum.add(record);
        account_of.insert(&record.mark, &record.account);
        let last = by_second.len() - 1;
        let slot = &mut by_second[(record.started.as_secs() as usize).min(last)];
        slot.0 += u64::from(record.code == Some(0));
        slot.1 += 1;
    }
    for entry in journal {
        let Some(account) = account_of.get(entry.mark.as_str()) else {
            continue;
        };
        *total.report.cost.entry(entry.service.clone()).or_default() += entry.cost;
        if let Some(sum) = accounts.get_mut(*account) {
            *sum.report.cost.entry(entry.service.clone()).or_default() += entry.cost;
        }
    }
    let accounts = accounts
        .into_iter()
        .map(|(name, sum)| (name, sum.finish()))
        .collect();
    LoadReport {
        scenario: scenario.name.clone(),
        rate: settings.rate,
        seconds,
        seed: settings.seed,
        total: total.finish(),
        accounts,
        audit,
        by_second,
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            scenario,
            rate,
            seconds,
            seed,
            ..
        } = self;
        writeln!(
            f,
            "{scenario}: {rate:.1} requests/s for {seconds:.0} s, seed {seed}"
        )?;
        write_row(f, "all", &self.total)?;
        for (name, report) in &self.accounts {
            write_row(f, name, report)?;
        }
        writeln!(f, "codes: {:?}", self.total.codes)?;
        writeln!(f, "cost by stage:")?;
        for (service, cost) in &self.total.cost {
            let each = cost / self.total.attained.max(1) as f64;
            writeln!(
                f,
                "  {service:12} {cost:10.3}  {each:.5} an attained request"
            )?;
        }
        let audit = &self.audit;
        write!(
            f,
            "audit: lost {}, unanswered {}, doubled {}, crossed {}, false \"not run\" {}",
            audit.lost, audit.unanswered, audit.doubled, audit.crossed, audit.false_not_run
        )
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, report: &AccountReport) -> fmt::Result {
    let [median, p95, p99] = report.latency_ms;
    let first = report.first_token_ms[1];
    writeln!(
        f,
        "  {name:14} sent {:6}  attained {:.4}  latency ms {median:.0}/{p95:.0}/{p99:.0}  \
         first token p95 {first:.0}  cost {:.5}",
        report.sent, report.attainment, report.cost_per_attained
    )
}

fn quantiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
