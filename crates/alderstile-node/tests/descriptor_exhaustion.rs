//! A process that runs out of descriptors. This is the only test of its file, as the limit applies to the
//! whole process.

use std::fs::File;
use std::time::Duration;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

mod support;
use support::*;

#[test]
fn local_descriptor_shortage_does_not_count_as_a_host_failure() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        // Waits until the node has closed the connections of the health checks. It closes this one, the last,
        // after all others.
        let mut front = test_node.connect().await;
        front.0.get_mut().shutdown().await.expect("ended");
        assert_eq!(front.read_line().await, None);
        drop(front);
        let limit = Rlimit { current: Some(100), ..getrlimit(Resource::Nofile) };
        setrlimit(Resource::Nofile, limit).expect("set");
        let mut open_files = Vec::new();
        while let Ok(file) = File::open("/dev/null") {
            open_files.push(file);
        }
        // Leaves one descriptor for the client's socket and one for the node's.
        open_files.truncate(open_files.len() - 2);
        let mut client = test_node.send_request(1, "d=20000").await;
        let answer = timeout(Duration::from_secs(5), client.read_line()).await.expect("an answer at once");
        assert!(answer.is_some_and(|line| line.starts_with("BUSY")));
        drop((client, open_files));
        test_node.wait_until_idle().await;
        // A host that counts as unreachable would be ejected for more than a second.
        timeout(Duration::from_millis(500), test_node.establish(2, &host)).await.expect("served at once");
    });
}
