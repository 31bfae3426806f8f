//! A node that breaks one rule on purpose, so that each checker is seen to find it: `broken_node serve --config FILE
//! --break WHAT`. No part of the program uses it.

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

/// After how long a breach that needs time comes.
const SOON: Duration = Duration::from_secs(1);

struct Broken {
    what: String,
    hosts: Vec<SocketAddr>,
    next: AtomicUsize,
}

fn main() -> io::Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let after = |name: &str| args.iter().skip_while(|arg| *arg != name).nth(1).cloned().unwrap_or_default();
    let config: Value = serde_json::from_str(&std::fs::read_to_string(after("--config"))?)?;
    let address =
        |key: &str| config[key].as_str().unwrap_or_default().parse::<SocketAddr>().expect("an address");
    let (listen, discovery, what) = (address("listen"), address("discovery"), after("--break"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        // The list is read once: what the watch says later is not heard.
        let mut call = BufReader::new(TcpStream::connect(discovery).await?);
        call.get_mut().write_all(b"GET /catalog/members?stream=1&index=0 HTTP/1.1\r\n\r\n").await?;
        let mut line = String::new();
        while !line.starts_with('{') {
            line.clear();
            call.read_line(&mut line).await?;
        }
        let list: Value = serde_json::from_str(&line)?;
        spawn_local(async move { call.read_to_end(&mut Vec::new()).await });
        let dials = list["hosts"].as_array().into_iter().flatten();
        let hosts = dials.filter_map(|host| host["dial"].as_str()?.parse().ok()).collect();
        let listener = TcpListener::bind(listen).await?;
        if what == "crash" {
            spawn_local(async {
                sleep(2 * SOON).await;
                std::process::exit(3);
            });
        }
        if what == "sees-dead" {
            let admin = std::env::var("ROUTER_ADMIN_ADDR").unwrap_or_default();
            spawn_local(sees_dead(admin));
        }
        let broken = Rc::new(Broken { what, hosts, next: AtomicUsize::new(0) });
        loop {
            let (stream, _) = listener.accept().await?;
            let broken = broken.clone();
            spawn_local(async move { broken.serve(BufReader::new(stream)).await });
        }
    })
}

impl Broken {
    async fn host(&self, line: &str) -> io::Result<TcpStream> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
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
        match self.what.as_str() {
            "mute" => std::future::pending::<()>().await,
            "closes" => return Ok(()),
            "answers-twice" => return client.get_mut().write_all(b"BUSY 100\r\nBUSY 100\r\n").await,
            "forges" => client.get_mut().write_all(b"UP feed\r\n").await?,
            "refuses-and-sends" => {
                client.get_mut().write_all(b"BUSY 100\r\n").await?;
                sleep(SOON).await;
                let _ = self.host(&line).await?;
                sleep(SOON).await;
                return Ok(());
            }
            _ => {}
        }
        let mut host = self.host(&line).await?;
        if self.what == "sends-twice" {
            let second = self.host(&line).await?;
            spawn_local(async move {
                sleep(SOON).await;
                drop(second);
            });
        }
        let mut client = client.into_inner();
        tokio::select! {
            done = copy_bidirectional(&mut client, &mut host) => done.map(|_| ()),
            () = sleep(SOON), if self.what == "cuts-off" => Ok(()),
        }
    }
}

/// Tells operators for ever that the first node is dead.
async fn sees_dead(admin: String) -> io::Result<()> {
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
