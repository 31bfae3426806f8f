//! The shadow instance: it counts differences and changes nothing.

mod support;
use support::*;

#[test]
fn a_watching_instance_counts_where_groups_would_have_gone_and_changes_nothing() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        for on in [false, true] {
            let section =
                serde_json::json!({"on": on, "settings": {"balancers": 50, "extra": {"groups": true}}});
            let (setup, _watch) =
                start_ready_node_with(&[&hosts[0], &hosts[1]], |value| value["shadow"] = section).await;
            let (mut held, mut at) = (Vec::new(), [0, 0]);
            for id in 1..=6 {
                let mut client = setup.send_request(id, "d=20000,g=5c0f6e1a2b3d4c59").await;
                let (mut server, i) = tokio::select! {
                    server = hosts[0].accept() => (server, 0),
                    server = hosts[1].accept() => (server, 1),
                };
                server.read_line().await.expect("the first line");
                server.send("UP 00ff\r\n").await;
                assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
                at[i] += 1;
                held.push((client, server));
            }
            assert_eq!(at, [3, 3], "the deciding settings know no groups: the lowest record decides");
            let counted = setup.node.decisions.shadow_differences();
            assert_eq!(counted.is_some(), on);
            if let Some(counted) = counted {
                // The second of the group would have joined the first.
                assert!(counted.different_server >= 1 && counted.decisions >= 6, "{counted}");
            }
        }
    });
}
