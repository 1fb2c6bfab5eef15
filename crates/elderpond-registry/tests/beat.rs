//! Reports of workers at the bound on their length.

use elderpond_registry::Beat;
use yare::parameterized;

/// Bytes that a report may have.
const LONGEST: usize = 16 << 10;

const REPORT: &str = r#"{"address":"10.0.0.1:80","information":{"service":"s","zone":"z"},
"status":{"state":"ready","call-sequence":1}}"#;

#[parameterized(
    shorter = { LONGEST - 1, true },
    as_long = { LONGEST, true },
    longer = { LONGEST + 1, false },
)]
fn a_report_is_read_up_to_its_bound_and_refused_by_name_beyond_it(length: usize, is_read: bool) {
    let report = format!("{REPORT:length$}");
    assert_eq!(report.len(), length);
    match Beat::read("w", report.as_bytes()) {
        Ok(life) => assert!(is_read && life.id == "w"),
        Err(error) => {
            let said = error.to_string();
            assert!(!is_read, "{said}");
            let names_both = said.contains(&length.to_string()) && said.contains("16384");
            assert!(names_both, "{said}");
        }
    }
}
