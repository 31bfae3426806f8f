//! A process whose descriptors are all taken by something else. Alone in its file: the limit is that of the whole process.

use std::fs::File;
use std::time::Duration;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

mod support;
use support::*;

#[test]
fn a_host_is_not_blamed_for_a_connection_that_this_process_has_no_descriptor_for() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        // The front's connections go first: the end of this one is seen, and those before it have ended by then.
        let mut front = setup.connect().await;
        front.0.get_mut().shutdown().await.expect("ended");
        assert_eq!(front.read_line().await, None);
        drop(front);
        let limit = Rlimit { current: Some(100), ..getrlimit(Resource::Nofile) };
        setrlimit(Resource::Nofile, limit).expect("set");
        let mut taken = Vec::new();
        while let Ok(file) = File::open("/dev/null") {
            taken.push(file);
        }
        // One for the client's side and one for the node's.
        taken.truncate(taken.len() - 2);
        let mut client = setup.send_request(1, "d=20000").await;
        let answer = timeout(Duration::from_secs(5), client.read_line()).await.expect("an answer at once");
        assert!(answer.is_some_and(|line| line.starts_with("BUSY")));
        drop((client, taken));
        setup.wait_until_idle().await;
        // A host that could not be reached would rest for a second and more.
        timeout(Duration::from_millis(500), setup.establish(2, &host)).await.expect("served at once");
    });
}
