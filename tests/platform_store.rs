//! Tests of the client of the platform's store against replies that hold malformed items: what cannot
//! be read hides nothing else.
#![allow(dead_code)] // Only a part of the included module is used.

use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex},
};

use axum::{Router, extract::State, routing::get};
use bamboowind::control::store::{Change, LeasedStore, PrefixChanges, Revision, StoreError};

#[path = "../platform/store.rs"]
mod store;

use store::PlatformStore;

/// Items of a list that cannot be read, with what is wrong with them.
fn malformed_items() -> Vec<(&'static str, String)> {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let item = |fields: &str| format!("{{{fields}}}");
    vec![
        ("nested deeply", nested.clone()),
        (
            "nested deeply in a field",
            item(&format!(r#""key":"a/n","value":{nested},"revision":1"#)),
        ),
        (
            "a revision out of range",
            item(r#""key":"a/r","value":"eA==","revision":18446744073709551616"#),
        ),
        (
            "a revision beyond any number",
            item(r#""key":"a/e","value":"eA==","revision":1e999"#),
        ),
        (
            "a negative revision",
            item(r#""key":"a/m","value":"eA==","revision":-1"#),
        ),
        ("no key", item(r#""value":"eA==","revision":1"#)),
        (
            "a key that is a list",
            item(r#""key":[],"value":"eA==","revision":1"#),
        ),
        ("no value", item(r#""key":"a/v","revision":1"#)),
        (
            "a value that is no base64",
            item(r#""key":"a/b","value":"%%","revision":1"#),
        ),
        ("null", "null".to_owned()),
        ("text", r#""odd""#.to_owned()),
    ]
}

const SOUND_ITEM: &str = r#"{"key":"a/z","value":"eA==","revision":7,"create_rev":7,"lease":0}"#;

/// A store that answers every call with the same body.
struct FixedStore {
    body: Arc<Mutex<String>>,
    address: SocketAddrV4,
}

impl FixedStore {
    async fn start() -> Self {
        let body = Arc::new(Mutex::new(String::new()));
        let reply =
            |State(body): State<Arc<Mutex<String>>>| async move { body.lock().unwrap().clone() };
        let router = Router::new()
            .route("/{*path}", get(reply))
            .with_state(Arc::clone(&body));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let port = listener.local_addr().unwrap().port();
        tokio::spawn(async move { axum::serve(listener, router).await });
        let address = SocketAddrV4::new([127, 0, 0, 1].into(), port);
        Self { body, address }
    }

    fn reply_with(&self, body: String) {
        *self.body.lock().unwrap() = body;
    }
}

// The machines that read a list with one malformed item stop following it.
#[tokio::test]
async fn a_malformed_item_in_a_list_does_not_hide_the_others() {
    let fixed = FixedStore::start().await;
    let store = PlatformStore::new(fixed.address).unwrap();
    for (what, malformed) in malformed_items() {
        for items in [
            format!("{malformed},{SOUND_ITEM}"),
            format!("{SOUND_ITEM},{malformed}"),
        ] {
            fixed.reply_with(format!(r#"{{"items":[{items}],"has_more":false}}"#));
            let listed = store.read_range("a/", false).await;
            let listed = listed.unwrap_or_else(|error| panic!("{what}: {error}"));
            let sound = listed.value.entries.iter();
            let sound = sound.filter(|entry| &*entry.key == "a/z");
            let sound: Vec<_> = sound.map(|entry| (&*entry.value, entry.revision)).collect();
            assert_eq!(sound, [(&b"x"[..], Revision(7))], "{what}");
            let malformed = listed
                .value
                .entries
                .iter()
                .filter(|entry| &*entry.key != "a/z");
            let values: Vec<_> = malformed.map(|entry| &*entry.value).collect();
            assert_eq!(
                values,
                [b""],
                "{what}: what is ignored is logged as an empty entry"
            );
        }
    }
}

// A watch that fails for one malformed event starts again from the same revision, for ever.
#[tokio::test]
async fn a_malformed_event_does_not_end_a_watch() {
    let fixed = FixedStore::start().await;
    let store = PlatformStore::new(fixed.address).unwrap();
    for (what, malformed) in malformed_items() {
        fixed.reply_with(format!(
            r#"{{"events":[{malformed},{SOUND_ITEM},{{"key":"a/d","revision":8,"deleted":true}}],"current_rev":9}}"#
        ));
        let watched = store.watch_prefix("a/", Revision(1), 10).await;
        let changes = watched
            .unwrap_or_else(|error| panic!("{what}: {error}"))
            .value;
        let PrefixChanges::Changed { changes, revision } = changes else {
            panic!("{what}: {changes:?}");
        };
        let [malformed, sound, deleted] = &changes[..] else {
            panic!("{what}: {changes:?}");
        };
        assert!(
            matches!(malformed, Change::Written(entry) if entry.value.is_empty()),
            "{what}"
        );
        assert!(
            matches!(sound, Change::Written(entry) if &*entry.key == "a/z"),
            "{what}"
        );
        assert_eq!(*deleted, Change::Deleted("a/d".into()), "{what}");
        assert_eq!(revision, Revision(9), "{what}");
    }
}

// The document that a process follows is malformed itself: it counts as an entry that cannot be read, and
// is watched from then on.
#[tokio::test]
async fn a_malformed_item_that_is_the_only_one_of_a_list_is_followed() {
    let fixed = FixedStore::start().await;
    let store = PlatformStore::new(fixed.address).unwrap();
    for fields in [
        r#""key":"a/z","value":5,"revision":7"#,
        r#""key":"a/z","value":"%%","revision":7"#,
        r#""value":"eA==","revision":-7"#,
    ] {
        fixed.reply_with(format!(
            r#"{{"items":[{{{fields}}}],"has_more":false,"current_rev":9}}"#
        ));
        let range = store.read_range("a/", false).await.unwrap().value;
        assert_eq!(range.store_revision, Revision(9), "{fields}");
        let values: Vec<_> = range.entries.iter().map(|e| e.value.clone()).collect();
        assert_eq!(values, [Vec::<u8>::new()], "{fields}");
    }
}

// A watch from the revision of the last page misses what has changed in the first one meanwhile.
#[tokio::test]
async fn a_list_of_several_pages_is_watched_from_the_first_one() {
    let pages = Arc::new(Mutex::new(vec![
        r#"{"items":[{"key":"a/2","value":"","revision":3}],"has_more":false,"current_rev":12}"#,
        r#"{"items":[{"key":"a/1","value":"","revision":2}],"has_more":true,"current_rev":9}"#,
    ]));
    let reply = move || {
        let page = pages.lock().unwrap().pop().unwrap();
        async move { page }
    };
    let router = Router::new().route("/{*path}", get(reply));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let port = listener.local_addr().unwrap().port();
    tokio::spawn(async move { axum::serve(listener, router).await });
    let store = PlatformStore::new(SocketAddrV4::new([127, 0, 0, 1].into(), port)).unwrap();
    let range = store.read_range("a/", false).await.unwrap().value;
    let keys: Vec<_> = range.entries.iter().map(|entry| &*entry.key).collect();
    assert_eq!(
        (keys, range.store_revision),
        (vec!["a/1", "a/2"], Revision(9))
    );
}

// A list whose pages do not go on would be read for ever.
#[tokio::test]
async fn a_list_without_a_readable_key_to_go_on_from_fails() {
    let fixed = FixedStore::start().await;
    let store = PlatformStore::new(fixed.address).unwrap();
    for items in [r#"{"value":"eA==","revision":1}"#, SOUND_ITEM] {
        fixed.reply_with(format!(r#"{{"items":[{items}],"has_more":true}}"#));
        let listed = store.read_range("a/", false).await;
        assert!(
            matches!(listed, Err(StoreError::Unavailable { .. })),
            "{items}"
        );
    }
}
