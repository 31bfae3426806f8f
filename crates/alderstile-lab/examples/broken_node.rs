//! A stub node that deliberately violates one rule, to test that the checkers detect it: `broken_node serve
//! --config FILE --break WHAT`. Only tests use it.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Delay of violations that do not take effect at once.
const VIOLATION_DELAY: Duration = Duration::from_secs(1);

/// The node: the violation to commit, and the hosts that it sends requests to in turn.
struct BrokenNode {
    violation: String,
    hosts: Vec<SocketAddr>,
    next_host: AtomicUsize,
}

fn main() -> io::Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let option = |name: &str| args.iter().skip_while(|arg| *arg != name).nth(1).cloned().unwrap_or_default();
    let config: Value = serde_json::from_str(&std::fs::read_to_string(option("--config"))?)?;
    let address =
        |key: &str| config[key].as_str().unwrap_or_default().parse::<SocketAddr>().expect("a socket address");
    let (listen, discovery, violation) = (address("listen"), address("discovery"), option("--break"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        // The endpoint list is read once; later updates of the watch are discarded.
        let mut watch = BufReader::new(TcpStream::connect(discovery).await?);
        watch.get_mut().write_all(b"GET /catalog/members?stream=1&index=0 HTTP/1.1\r\n\r\n").await?;
        let mut line = String::new();
        while !line.starts_with('{') {
            line.clear();
            watch.read_line(&mut line).await?;
        }
        let list: Value = serde_json::from_str(&line)?;
        spawn_local(async move { watch.read_to_end(&mut Vec::new()).await });
        let entries = list["hosts"].as_array().into_iter().flatten();
        let hosts = entries.filter_map(|host| host["dial"].as_str()?.parse().ok()).collect();
        let listener = TcpListener::bind(listen).await?;
        if violation == "crash" {
            spawn_local(async {
                sleep(2 * VIOLATION_DELAY).await;
                std::process::exit(3);
            });
        }
        if violation == "sees-dead" {
            let admin = std::env::var("ROUTER_ADMIN_ADDR").unwrap_or_default();
            spawn_local(report_dead_member(admin));
        }
        let node = Rc::new(BrokenNode { violation, hosts, next_host: AtomicUsize::new(0) });
        loop {
            let (stream, _) = listener.accept().await?;
            let node = node.clone();
            spawn_local(async move { node.serve(BufReader::new(stream)).await });
        }
    })
}

impl BrokenNode {
    async fn connect_to_host(&self, line: &str) -> io::Result<TcpStream> {
        let number = self.next_host.fetch_add(1, Ordering::Relaxed);
        let mut host = TcpStream::connect(self.hosts[number % self.hosts.len()]).await?;
        host.write_all(line.as_bytes()).await?;
        Ok(host)
    }

    async fn serve(&self, mut client: BufReader<TcpStream>) -> io::Result<()> {
        let mut line = String::new();
        client.read_line(&mut line).await?;
        if line.starts_with("PING") {
            return client.get_mut().write_all(b"PONG\r\n").await;
        }
        match self.violation.as_str() {
            "mute" => std::future::pending::<()>().await,
            "closes" => return Ok(()),
            "answers-twice" => return client.get_mut().write_all(b"BUSY 100\r\nBUSY 100\r\n").await,
            "forges" => client.get_mut().write_all(b"UP feed\r\n").await?,
            "refuses-and-sends" => {
                client.get_mut().write_all(b"BUSY 100\r\n").await?;
                sleep(VIOLATION_DELAY).await;
                let _ = self.connect_to_host(&line).await?;
                sleep(VIOLATION_DELAY).await;
                return Ok(());
            }
            _ => {}
        }
        let mut host = self.connect_to_host(&line).await?;
        if self.violation == "sends-twice" {
            let duplicate = self.connect_to_host(&line).await?;
            spawn_local(async move {
                sleep(VIOLATION_DELAY).await;
                drop(duplicate);
            });
        }
        let mut client = client.into_inner();
        tokio::select! {
            result = copy_bidirectional(&mut client, &mut host) => result.map(|_| ()),
            () = sleep(VIOLATION_DELAY), if self.violation == "cuts-off" => Ok(()),
        }
    }
}

/// Serves a fixed membership view on the admin address, in which the first node is dead.
async fn report_dead_member(admin: String) -> io::Result<()> {
    let listener = TcpListener::bind(admin).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 2 {
            line.clear();
        }
        let view = r#"{"members":[{"name":"n0","state":"dead"},{"name":"n1","state":"alive"}]}"#;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", view.len());
        stream.get_mut().write_all(format!("{head}{view}").as_bytes()).await?;
    }
}
