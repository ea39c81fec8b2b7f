//! A request goes end to end through separate processes, whichever balancer gets a packet.

mod common;

use bamboowind::demo::caller::Call;
use common::Scene;

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_by_targets_of_their_own_service() {
    let scene = Scene::with_targets(3).await;
    for (index, service) in scene.services.iter().enumerate() {
        let caller = scene.caller(index).await;
        for _ in 0..20 {
            let answer = caller
                .call(&Call::get("/listing?bytes=20000"))
                .await
                .expect("an answer");
            assert_eq!(answer.status, 200);
            assert_eq!(answer.body.len(), 20_000);
            assert!(answer.body.starts_with(service.name.as_bytes()));
        }
    }
}
