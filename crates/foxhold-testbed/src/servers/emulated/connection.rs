//! A connection accepted from a director, or from a server that requests a fill.

use super::protocol::{encode_reply, ServerRequest};
use super::Server;
use crate::scenarios::scenario::RuleBreach;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

/// Capacity of the queue of replies to write.
const REPLY_QUEUE: usize = 1024;

/// A connection with its requests in flight.
struct Connection {
    server: Rc<Server>,
    replies: mpsc::Sender<Vec<u8>>,
    overloaded: mpsc::UnboundedSender<()>,
    tasks: JoinSet<()>,
    open: HashMap<String, AbortHandle>,
}

/// Serves a connection until it closes. Its requests in flight are cancelled then.
pub(super) async fn serve(server: Rc<Server>, stream: TcpStream, overloaded: mpsc::UnboundedSender<()>) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let (replies, outbox) = mpsc::channel(REPLY_QUEUE);
    let mut writer = JoinSet::new();
    writer.spawn_local(write_replies(write, outbox));
    let (tasks, open) = (JoinSet::new(), HashMap::new());
    Connection { server, replies, overloaded, tasks, open }.run(BufReader::new(read)).await;
}

async fn write_replies(mut write: OwnedWriteHalf, mut outbox: mpsc::Receiver<Vec<u8>>) {
    while let Some(bytes) = outbox.recv().await {
        if write.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

impl Connection {
    async fn run(mut self, mut read: BufReader<OwnedReadHalf>) {
        let mut line = String::new();
        loop {
            line.clear();
            if !matches!(read.read_line(&mut line).await, Ok(n) if n > 0) {
                return;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
                ["want", id, fields, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    if read.read_exact(&mut body).await.is_err() {
                        return;
                    }
                    self.begin(ServerRequest::parse(id, fields));
                }
                ["never_mind", id] => {
                    if let Some(task) = self.open.remove(id) {
                        task.abort();
                    }
                }
                ["busy" | "there", tag] => {
                    let _ = self.replies.send(format!("{tag} READY - 0\r\n\r\n").into()).await;
                }
                _ => {}
            }
            while self.tasks.try_join_next().is_some() {}
            self.open.retain(|_, task| !task.is_finished());
        }
    }

    fn begin(&mut self, request: ServerRequest) {
        let id = request.id.clone();
        let (server, replies) = (Rc::clone(&self.server), self.replies.clone());
        let overloaded = self.overloaded.clone();
        let task = self.tasks.spawn_local(async move {
            let reply = server.handle_request(&request, &overloaded).await;
            let mut bytes = encode_reply(&request, &reply);
            if server.injected_breach.get() == Some(RuleBreach::OtherBytes) {
                // Replaces the last byte of the body, which the two bytes of the line end follow.
                if let Some(byte) = bytes.iter_mut().rev().nth(2) {
                    *byte = b'x';
                }
            }
            let _ = replies.send(bytes).await;
        });
        self.open.insert(id, task);
    }
}
