//! The `quickstart` command exits after the given time and reports no violated guarantee.

mod common;

use common::run_in;

#[test]
fn quickstart_reports_no_violations() {
    let temp_dir = tempfile::tempdir().expect("failed to create a temporary directory");
    let output = run_in(temp_dir.path(), &["quickstart", "--for", "8", "--json"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let report: serde_json::Value = serde_json::from_str(&text).expect("output is not JSON");
    let services = report["services"]
        .as_array()
        .expect("report has no list of services");
    assert_eq!(services.len(), 4);
    for service in services {
        assert!(
            service["requests"]
                .as_u64()
                .expect("requests is not a count")
                > 0,
            "{service}"
        );
        for counter in [
            "broken",
            "lost",
            "doubled",
            "wrong_answers",
            "run_though_refused",
        ] {
            assert_eq!(service[counter], 0, "{counter} in {service}");
        }
    }
    assert_eq!(output.status.code(), Some(0));
}
