//! Each validation error of a settings or policy file is reported with its path, the value found
//! and the value expected. Errors in the use of the command line are reported with a remedy.

mod common;

use bamboowind::demo::certificate::DemoCertificate;
use common::{format_output, run_in};
use insta::assert_snapshot;

/// Valid settings of an agent.
const AGENT_SETTINGS: &str = "\
name: catalogo-1
failure_domain: norte
inner_address: 10.0.0.7:7000
keys: {current_phase: 1, phases: [{phase: 1, secret_file: secret.hex}]}
agent:
  service: catalogo
  service_number: 1
  target_address: 127.0.0.1:8080
  tls: {certificate_file: certificate.pem, private_key_file: key.pem}
";

/// Runs `bamboowind check` on a file with this text and returns the formatted output.
fn run_check(text: &str) -> String {
    let temp_dir = tempfile::tempdir().expect("failed to create a temporary directory");
    let certificate = DemoCertificate::generate().expect("failed to generate a certificate");
    let other_certificate = DemoCertificate::generate().expect("failed to generate a certificate");
    let write = |name: &str, text: &str| {
        std::fs::write(temp_dir.path().join(name), text).expect("write failed");
    };
    write("secret.hex", common::SECRET_HEX);
    write("certificate.pem", &certificate.certificate_pem);
    write("key.pem", &certificate.private_key_pem);
    write("other-key.pem", &other_certificate.private_key_pem);
    write("file.yaml", text);
    format_output(&run_in(temp_dir.path(), &["check", "file.yaml"]))
}

#[test]
fn valid_settings_are_accepted() {
    assert_snapshot!(run_check(AGENT_SETTINGS), @r"
    exit code 0
    --- stdout
    file.yaml: the settings can be used
    --- stderr
    ");
}

#[test]
fn all_unknown_keys_and_invalid_values_are_reported() {
    let text = "\
name: balancer-1
failure_domain: norte
inner_address: somewhere
colour: green
keys: {current_phase: 0, phases: []}
balancer:
  store: {url: \"http://store\", request_timeout_s: 2, watchers: many}
  services:
  - {name: catalogo, number: 70000, address: 10.0.0.1:4433}
";
    assert_snapshot!(run_check(text), @r#"
    exit code 2
    --- stdout
    --- stderr
    file.yaml: inner_address: found "somewhere"; expected an IP address and a port, such as 10.0.0.1:4433
    file.yaml: colour: found an unknown key; expected one of name, region, failure_domain, inner_address, peers, keys, admin, log_level, balancer, agent
    file.yaml: keys.current_phase: found 0; expected a whole number from 1 to 255
    file.yaml: keys.phases: found an empty list; expected at least one entry
    file.yaml: balancer.store.request_timeout_s: found an unknown key; expected request_timeout_ms
    file.yaml: balancer.store.watchers: found "many"; expected a whole number from 1 to 16
    file.yaml: balancer.services.0.number: found 70000; expected a whole number from 1 to 65535
    "#);
}

#[test]
fn duplicate_addresses_and_service_numbers_are_reported() {
    let text = "\
name: balancer-1
failure_domain: norte
inner_address: 10.0.0.1:4433
keys: {current_phase: 2, phases: [{phase: 1, secret_file: secret.hex}]}
balancer:
  services:
  - {name: catalogo, number: 1, address: 10.0.0.1:4433}
  - {name: sonoteca, number: 1, address: 10.0.0.1:4434}
";
    assert_snapshot!(run_check(text), @r#"
    exit code 2
    --- stdout
    --- stderr
    file.yaml: balancer.services.0.address: found 10.0.0.1:4433; expected an address different from inner_address
    file.yaml: keys.current_phase: found 2; expected the phase number of an entry in keys.phases
    file.yaml: balancer.services.1.number: found 1; expected a unique service number
    "#);
}

#[test]
fn private_key_of_another_certificate_is_reported() {
    let text = AGENT_SETTINGS.replace(
        "private_key_file: key.pem",
        "private_key_file: other-key.pem",
    );
    assert_snapshot!(run_check(&text), @r"
    exit code 2
    --- stdout
    --- stderr
    file.yaml: agent.tls.private_key_pem: found a key that does not match the certificate; expected the private key of the first certificate
    ");
}

#[test]
fn invalid_exceptions_and_limits_are_reported() {
    let text = "\
defaults: {slots: 5, drain_timeout_min: 60}
exceptions:
- {name: slow-disk, host: catalogo-3, limits: {slots: 2}}
- {name: everywhere, reason: a trial, limits: {slots: 1000000}}
rules:
- {path_prefix: /scan, class: urgent}
";
    assert_snapshot!(run_check(text), @r"
    exit code 2
    --- stdout
    --- stderr
    file.yaml: defaults.drain_timeout_min: found an unknown key; expected drain_timeout_ms
    file.yaml: exceptions.0.reason: found nothing; expected text
    file.yaml: exceptions.1.limits.slots: found 1000000; expected a whole number from 1 to 100000
    ");
}

#[test]
fn usage_errors_exit_with_code_2() {
    let temp_dir = tempfile::tempdir().expect("failed to create a temporary directory");
    let run = |arguments: &[&str]| format_output(&run_in(temp_dir.path(), arguments));
    assert_snapshot!(run(&["balance"]), @r#"
    exit code 2
    --- stdout
    --- stderr
    bamboowind: unexpected argument: "balance"; see `bamboowind --help`
    "#);
    assert_snapshot!(run(&["check", "missing.yaml"]), @r"
    exit code 2
    --- stdout
    --- stderr
    bamboowind: cannot read missing.yaml: No such file or directory (os error 2); check the path
    ");
    assert_snapshot!(run(&["status"]), @r"
    exit code 2
    --- stdout
    --- stderr
    bamboowind: no administration API is given; use --admin URL or set BAMBOOWIND_ADMIN
    ");
    assert_snapshot!(run(&["policy", "except", "slow", "--admin", "http://127.0.0.1:1"]), @r"
    exit code 2
    --- stdout
    --- stderr
    bamboowind: an exception needs --reason with the written reason; see `bamboowind --help`
    ");
}
