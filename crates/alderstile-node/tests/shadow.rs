//! The shadow instance: counts differing decisions and changes nothing.

mod support;
use support::*;

#[test]
fn shadow_counts_differing_hosts_of_groups_and_changes_nothing() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        for on in [false, true] {
            let section =
                serde_json::json!({"on": on, "settings": {"balancers": 50, "extra": {"groups": true}}});
            let (test_node, _watch) =
                start_ready_node_with(&[&hosts[0], &hosts[1]], |value| value["shadow"] = section).await;
            let (mut connections, mut served) = (Vec::new(), [0, 0]);
            for id in 1..=6 {
                let mut client = test_node.send_request(id, "d=20000,g=5c0f6e1a2b3d4c59").await;
                let (mut server, i) = tokio::select! {
                    server = hosts[0].accept() => (server, 0),
                    server = hosts[1].accept() => (server, 1),
                };
                server.read_line().await.expect("the first line");
                server.send("UP 00ff\r\n").await;
                assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
                served[i] += 1;
                connections.push((client, server));
            }
            assert_eq!(
                served,
                [3, 3],
                "without groups in the active settings, requests go to the least loaded host"
            );
            let differences = test_node.node.decisions.shadow_differences();
            assert_eq!(differences.is_some(), on);
            if let Some(differences) = differences {
                // With groups, the second request would have gone to the host of the first.
                assert!(differences.different_server >= 1 && differences.decisions >= 6, "{differences}");
            }
        }
    });
}
