//! Tests of the decoders for untrusted input: packets, the operator's configuration, heartbeats and
//! the settings file.
#![allow(dead_code)] // Only a part of each included module is used.

use std::path::Path;

use bamboowind::{
    flow::packet::{
        FlowKey, HopMetadata, Lookup, PacketFormat, VIEW_DIGEST_BITS, VIEW_GENERATIONS,
    },
    forward::{
        agent::warmup::ColdBounds,
        registrar::{DecodedRoutes, RouteDocument},
    },
};
use proptest::prelude::*;

#[path = "../platform/http.rs"]
mod http;
#[path = "../platform/packet.rs"]
mod packet;
#[path = "../platform/routes.rs"]
mod routes;
#[path = "../platform/settings.rs"]
mod settings;

use packet::PlatformPacket;

const SYN_BYTES: [u8; 36] = [
    0x44, 0x33, 0x22, 0x11, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 1, 0, 0x12, 0xc6, 0xbb, 1, 0x41,
    0x9c, 7, 0, 0x40, 0x64, 0xd5, 0xc3, 0xb2, 0xa1, 0, 0, 0, 0,
];
const RESET_BYTES: [u8; 36] = [
    0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x10, 0, 0, 0, 0, 0, 7, 0, 0x40, 0x64, 0x41, 0x9c, 0xbb, 1, 1, 0,
    0x12, 0xc6, 0, 0, 0, 0, 0, 0, 0, 0,
];

fn example_flow() -> FlowKey {
    FlowKey {
        caller: "100.64.0.7:40001".parse().unwrap(),
        service: "198.18.0.1:443".parse().unwrap(),
    }
}

#[test]
fn example_packets_are_decoded_and_encoded() {
    let segment = PlatformPacket.decode(&SYN_BYTES).unwrap();
    assert_eq!(segment.caller_flow(), example_flow());
    assert_eq!(segment.sequence, 0x1122_3344);
    assert!(segment.is_first_syn());
    assert_eq!(PlatformPacket.reset(example_flow(), 0), RESET_BYTES);
}

#[test]
fn the_request_id_is_read_from_the_request_header() {
    let packet = |data: &[u8]| [&SYN_BYTES, data].concat();
    let cases: [(&[u8], Option<&str>); 5] = [
        (
            b"GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: f204\r\n\r\n",
            Some("f204"),
        ),
        (b"GET / HTTP/1.1\r\nrequest-id:f204\r\n", Some("f204")),
        (b"GET / HTTP/1.1\r\nRequest-Id: \r\n", None),
        (b"\xff\xfe\nRequest-Id", None),
        (b"", None),
    ];
    for (data, id) in cases {
        assert_eq!(PlatformPacket.request_id(&packet(data)), id);
    }
}

// Agents of earlier builds forward packets beside later ones while those are rolled out. They read
// the third bit of the lookup byte as that of an incomplete search.
#[test]
fn searches_through_agents_of_two_versions_are_incomplete() {
    let mut bytes = vec![0; 36];
    for lookup in [Lookup::Search, Lookup::Registered] {
        let hop = HopMetadata {
            lookup,
            ..HopMetadata::default()
        };
        PlatformPacket.write_hop_metadata(&mut bytes, hop);
        assert_ne!(bytes[33] & 4, 0, "incomplete to an earlier version");
    }
    for (encoded, lookup) in [(2, Lookup::Redirected), (3, Lookup::Search)] {
        bytes[11..16].fill(0);
        bytes[33] = encoded;
        let hop = PlatformPacket.read_hop_metadata(&bytes);
        assert_eq!((hop.lookup, hop.view_digest), (lookup, 0));
    }
}

fn any_hop_metadata() -> impl Strategy<Value = HopMetadata> {
    let any_lookup = prop::sample::select(vec![
        Lookup::Known,
        Lookup::Registry,
        Lookup::Registered,
        Lookup::Search,
        Lookup::Redirected,
    ]);
    let any_class = (any::<u16>(), any::<u8>(), 0_u16..256);
    (
        any::<u8>(),
        any_lookup,
        any::<bool>(),
        0..VIEW_GENERATIONS,
        any::<u16>(),
        0_u32..1 << VIEW_DIGEST_BITS,
        any_class,
    )
        .prop_map(
            |(tried, lookup, is_incomplete, view_generation, entry_tag, view_digest, class)| {
                let hop = HopMetadata {
                    tried,
                    lookup,
                    is_incomplete,
                    view_generation,
                    entry_tag,
                    ..HopMetadata::default()
                };
                if lookup == Lookup::Search {
                    return HopMetadata { view_digest, ..hop };
                }
                let (service_tag, priority, latency_units) = class;
                HopMetadata {
                    service_tag,
                    priority,
                    target_latency_ms: latency_units * 10,
                    ..hop
                }
            },
        )
}

proptest! {
    #[test]
    fn a_decoded_packet_spans_the_whole_datagram(
        bytes in prop::collection::vec(any::<u8>(), 0..100),
    ) {
        if let Some(segment) = PlatformPacket.decode(&bytes) {
            prop_assert_eq!(bytes.len(), 36 + usize::from(segment.data_len));
        }
    }

    #[test]
    fn hop_metadata_round_trips_and_keeps_the_checksummed_bytes(
        hop in any_hop_metadata(),
        mut bytes in prop::collection::vec(any::<u8>(), 36),
    ) {
        let before = bytes.clone();
        PlatformPacket.write_hop_metadata(&mut bytes, hop);
        prop_assert_eq!(PlatformPacket.read_hop_metadata(&bytes), hop);
        for (index, (old, new)) in before.iter().zip(&bytes).enumerate() {
            match index {
                10 => prop_assert_eq!(old & !64, *new),
                11..=15 | 32..=35 => {}
                _ => prop_assert_eq!(old, new),
            }
        }
    }

    #[test]
    fn decoding_a_random_configuration_does_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = routes::OperatorConfig.decode(&bytes);
    }
}

#[test]
fn the_operator_configuration_is_decoded_to_routes() {
    let document = br#"{"version":7,"extra":[],"routes":[
        {"name":"a","host":"198.18.0.1","prefix":"/8443/","type":"idempotent","priority":2,
         "target_latency_ms":200,
         "backends":[{"service":"one","weight":90},{"service":"two","weight":10}]},
        {"name":"b","host":"198.18.0.2","prefix":"/443/","service":"two"},
        {"name":"c","host":"not an address","prefix":"/1/","service":"two"}],
        "limits":{"idle_timeout_ms":15000}}"#;
    insta::assert_debug_snapshot!(routes::OperatorConfig.decode(document).unwrap().table);
}

/// JSON values of the wrong type, out of range or nested deeply.
fn malformed_values() -> Vec<(&'static str, String)> {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    vec![
        ("nested", nested),
        ("2^64", "18446744073709551616".to_owned()),
        ("1e999", "1e999".to_owned()),
        ("-1", "-1".to_owned()),
        ("null", "null".to_owned()),
        ("text", r#""odd""#.to_owned()),
        ("object", "{}".to_owned()),
    ]
}

// One malformed route makes every balancer stay on the version before, for all routes.
#[test]
fn a_malformed_route_does_not_hide_the_others() {
    let sound = r#"{"name":"b","host":"198.18.0.2","prefix":"/443/","service":"two","priority":1}"#;
    let fields = [
        ("host", r#""198.18.0.1""#),
        ("prefix", r#""/8443/""#),
        ("service", r#""one""#),
        ("backends", r#"[{"service":"one","weight":90}]"#),
        ("target_latency_ms", "200"),
        ("priority", "2"),
    ];
    let mut results = Vec::new();
    let mut decode = |what: String, malformed: &str| {
        let document = format!(r#"{{"version":7,"routes":[{malformed},{sound}]}}"#);
        let decoded = routes::OperatorConfig.decode(document.as_bytes());
        let decoded = decoded.unwrap_or_else(|error| panic!("{what}: {error}"));
        let address = "198.18.0.2:443".parse().unwrap();
        let service = decoded.table.service(address, 0);
        assert_eq!(service.as_deref(), Some("two"), "{what}");
        let len = decoded.table.len();
        results.push(format!(
            "{what}: {len} routes, ignored {:?}",
            decoded.ignored
        ));
    };
    for (name, malformed) in malformed_values() {
        decode(format!("route {name}"), &malformed);
        for (changed, _) in fields {
            let fields = fields.map(|(field, value)| {
                let value = if field == changed { &malformed } else { value };
                format!(r#""{field}":{value}"#)
            });
            decode(
                format!("{changed} {name}"),
                &format!("{{{}}}", fields.join(",")),
            );
        }
    }
    let port = r#"{"host":"198.18.0.1","prefix":"/65536/","service":"one"}"#;
    decode("port out of range".to_owned(), port);
    insta::assert_snapshot!(results.join("\n"));
}

const SERVICES: &str = r#"[{"name":"one","warmup_s":4.5,"warmup_per_s":12.5,"zones":["a"]},
    {"name":"two","warmup_s":3,"warmup_per_s":0},{"name":"three","warmup_per_s":7},
    {"name":"four","warmup_s":3},{"name":"five"}]"#;

fn decode_services(services: &str) -> DecodedRoutes {
    let document = format!(r#"{{"version":7,"routes":[],"services":{services}}}"#);
    routes::OperatorConfig.decode(document.as_bytes()).unwrap()
}

/// The figures of a service: warm-up time in milliseconds and requests per thousand seconds.
fn warm_up(decoded: &DecodedRoutes, service: &str) -> Option<(u64, u64)> {
    let warm_up = decoded.table.warm_up(service)?;
    Some((warm_up.warmup_ms, warm_up.rate_per_1000_s))
}

// A rate of 0 and a missing one mean that cold targets have no limit.
#[test]
fn the_warm_up_figures_of_services_are_decoded() {
    let decoded = decode_services(SERVICES);
    let figures = ["one", "two", "three", "four", "five", "six"];
    let figures = figures.map(|service| warm_up(&decoded, service));
    assert_eq!(
        figures,
        [
            Some((4_500, 12_500)),
            None,
            Some((0, 7_000)),
            None,
            None,
            None
        ]
    );
    assert_eq!(decoded.ignored, [""; 0]);
}

// A figure that cannot be read hides neither the routes nor the figures of other services.
#[test]
fn malformed_warm_up_figures_do_not_hide_the_others() {
    let sound = r#"{"name":"sound","warmup_s":2,"warmup_per_s":5}"#;
    for (what, malformed) in malformed_values() {
        for entry in [
            malformed.clone(),
            format!(r#"{{"name":"odd","warmup_s":{malformed},"warmup_per_s":{malformed}}}"#),
            format!(r#"{{"name":{malformed}}}"#),
        ] {
            let decoded = decode_services(&format!("[{entry},{sound}]"));
            assert_eq!(warm_up(&decoded, "sound"), Some((2_000, 5_000)), "{what}");
        }
        let decoded = decode_services(&malformed);
        assert_eq!(warm_up(&decoded, "sound"), None, "{what}");
    }
}

// Without a version or a list of routes there is nothing to put into force.
#[test]
fn a_configuration_without_a_version_or_routes_is_rejected() {
    for (name, malformed) in malformed_values() {
        let mut documents = vec![
            format!(r#"{{"version":{malformed},"routes":[]}}"#),
            malformed.clone(),
        ];
        // A list in a list is a list with a malformed route.
        if name != "nested" {
            documents.push(format!(r#"{{"version":7,"routes":{malformed}}}"#));
        }
        for document in documents {
            assert!(
                routes::OperatorConfig.decode(document.as_bytes()).is_err(),
                "{name}"
            );
        }
        let document =
            format!(r#"{{"version":7,"routes":[],"limits":{malformed},"extra":{malformed}}}"#);
        let decoded = routes::OperatorConfig.decode(document.as_bytes());
        assert_eq!(decoded.unwrap().table.version().number, 7, "{name}");
    }
}

#[test]
fn malformed_values_in_a_heartbeat_are_rejected_or_applied() {
    let target = "10.1.0.12:8165".parse().unwrap();
    let fields = [
        ("service", r#""s""#),
        ("address", r#""10.1.0.12:8165""#),
        ("capacity", "5"),
        ("state", r#""ready""#),
        ("warmup_left_ms", "0"),
        ("seq", "4"),
        ("born", "1769000000000"),
    ];
    for (name, malformed) in malformed_values() {
        for (changed, _) in fields {
            let fields = fields.map(|(field, value)| {
                let value = if field == changed { &malformed } else { value };
                format!(r#""{field}":{value}"#)
            });
            let body = format!("{{{}}}", fields.join(","));
            let result = http::decode_heartbeat("i-1", body.as_bytes(), target);
            let is_name = changed == "service" && name == "text";
            assert_eq!(result.is_ok(), is_name, "{changed} {name}: {result:?}");
        }
        let body = format!(
            r#"{{"service":"s","address":"10.1.0.12:8165","capacity":5,
            "state":"ready","warmup_left_ms":0,"seq":4,"unknown":{malformed}}}"#
        );
        assert!(
            http::decode_heartbeat("i-1", body.as_bytes(), target).is_ok(),
            "{name}"
        );
    }
}

#[test]
fn malformed_heartbeats_are_rejected() {
    let target = "10.1.0.12:8165".parse().unwrap();
    let valid = r#"{"service":"s","address":"10.1.0.12:8165","zone":"z","version":"v1","capacity":5,
        "state":"ready","warmup_left_ms":0,"seq":4,"born":1769000000000}"#;
    let cases = [
        ("valid", valid.to_owned()),
        ("no service", valid.replace(r#""service":"s","#, "")),
        ("capacity as text", valid.replace("5,", "\"5\",")),
        (
            "no capacity",
            valid.replace("\"capacity\":5", "\"capacity\":0"),
        ),
        ("unknown state", valid.replace("ready", "asleep")),
        ("negative number", valid.replace("\"seq\":4", "\"seq\":-4")),
        ("another address", valid.replace("10.1.0.12", "10.1.0.13")),
        ("no JSON", "\u{0}\u{1}".to_owned()),
        ("a list", "[]".to_owned()),
    ];
    let results: Vec<_> = cases
        .iter()
        .map(|(name, body)| {
            let result = http::decode_heartbeat("i-1", body.as_bytes(), target);
            format!("{name}: {result:?}")
        })
        .collect();
    insta::assert_snapshot!(results.join("\n"));
}

/// A health check that fails although the target serves its requests must not take it out of use.
#[test]
fn a_health_report_in_a_heartbeat_has_no_effect() {
    let target = "10.1.0.12:8165".parse().unwrap();
    let body = r#"{"service":"s","address":"10.1.0.12:8165","capacity":5,
        "state":"ready","warmup_left_ms":0,"seq":4}"#;
    let unhealthy = body.replace("\"seq\":4", r#""seq":4,"healthy":false,"health":"failing""#);
    let decode = |body: &str| http::decode_heartbeat("i-1", body.as_bytes(), target);
    assert!(decode(body).is_ok());
    assert_eq!(decode(&unhealthy), decode(body));
}

const SETTINGS: &str = r#"
node_name = "side-a-1"
role = "agent"
ip = "10.1.0.12"
zone = "a"
internal_ports = [7720, 7735]
seeds = ["10.1.0.10:8166", "unreadable"]
heartbeat_ms = 770
app = "10.1.0.12:8165"
unknown = { nested = true }
[listen_addrs]
datagram_addr = "10.1.0.12:8172"
outbound = "10.1.0.12:8162"
ready_addr = "10.1.0.12:8167"
control = "10.1.0.12:8166"
[platform]
address = "10.200.1.7:8169"
"#;

fn parse(text: &str, is_agent: bool) -> Result<settings::PlatformSettings, String> {
    settings::PlatformSettings::parse(Path::new("boot.toml"), text, is_agent)
        .map_err(|error| error.to_string())
}

#[test]
fn the_settings_file_is_parsed() {
    insta::assert_debug_snapshot!(parse(SETTINGS, true).unwrap());
    assert_eq!(parse(SETTINGS, false).unwrap().forward.target, None);
}

// Any of the bounds may be missing, and decimals may be written as integers.
#[test]
fn the_bounds_of_cold_targets_are_parsed() {
    let bounds = |text: &str| {
        let settings = parse(&format!("{SETTINGS}{text}"), true)?;
        let ColdBounds {
            over_permille,
            slack_milli,
        } = settings.forward.cold_bounds;
        Ok::<_, String>((over_permille, slack_milli))
    };
    assert_eq!(bounds(""), Ok((1_000, 0)));
    assert_eq!(bounds("[bounds]\nevacuate_ms = 5000"), Ok((1_000, 0)));
    let both = "[bounds]\ncold_over = 1.25\ncold_slack = 3";
    assert_eq!(bounds(both), Ok((1_250, 3_000)));
    assert!(bounds("[bounds]\ncold_over = -1.0").is_err());
    assert!(bounds("[bounds]\ncold_slack = nan").is_err());
}

#[test]
fn each_settings_error_is_a_single_line() {
    let cases = [
        SETTINGS.replace("app =", "other ="),
        SETTINGS.replace("outbound =", "other ="),
        SETTINGS.replace("node_name =", "other ="),
        SETTINGS.replace("[7720, 7735]", "[7720, 7720]"),
        SETTINGS.replace("\"10.1.0.12\"", "\"host\""),
        SETTINGS.replace("heartbeat_ms = 770", "heartbeat_ms = \"770\""),
        "not toml".to_owned(),
    ];
    let errors: Vec<_> = cases
        .iter()
        .map(|text| parse(text, true).unwrap_err())
        .collect();
    assert!(errors.iter().all(|error| error.lines().count() == 1));
    insta::assert_snapshot!(errors.join("\n"));
}
