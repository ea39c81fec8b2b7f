//! The quickstart ends by itself and shows that no promise was broken.

mod common;

use common::run_in;

#[test]
fn the_quickstart_keeps_every_promise() {
    let folder = tempfile::tempdir().expect("folder");
    let output = run_in(folder.path(), &["quickstart", "--for", "8", "--json"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let report: serde_json::Value = serde_json::from_str(&text).expect("JSON figures");
    let services = report["services"].as_array().expect("services");
    assert_eq!(services.len(), 4);
    for service in services {
        assert!(
            service["requests"].as_u64().expect("a count") > 0,
            "{service}"
        );
        for figure in [
            "broken",
            "lost",
            "doubled",
            "wrong_answers",
            "run_though_refused",
        ] {
            assert_eq!(service[figure], 0, "{figure} in {service}");
        }
    }
    assert_eq!(output.status.code(), Some(0));
}
