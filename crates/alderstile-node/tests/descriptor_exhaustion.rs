//! A process that runs out of descriptors. The only test of its file, since the limit applies to the whole
//! process.

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
        let (setup, _watch) = start_ready_node(&[&host]).await;
        // Waits until the front's connections are closed: once this one has been, those before it have been,
        // too.
        let mut front = setup.connect().await;
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
        let mut client = setup.send_request(1, "d=20000").await;
        let answer = timeout(Duration::from_secs(5), client.read_line()).await.expect("an answer at once");
        assert!(answer.is_some_and(|line| line.starts_with("BUSY")));
        drop((client, open_files));
        setup.wait_until_idle().await;
        // A host that counts as unreachable would be paused for more than a second.
        timeout(Duration::from_millis(500), setup.establish(2, &host)).await.expect("served at once");
    });
}
