"""Stand-ins and process control for the review's cases: hosts, discovery, clients and operators, as the protocol page has them.

Python's standard library only. Every address is a loopback address with a free port; all files are in a temporary folder."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "alderstile")
LOOPBACK = "127.0.0.1"  # the only address that a case uses; records name the parties in place of addresses
KEY = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"


class CannotRun(Exception):
    """The case could not be brought to the point at which its rule is checked."""


def deploy_command(name):
    """Returns a command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        match = re.search(rf'^{name} *= *"([^"]*)"', file.read(), re.M)
    if match is None:
        raise CannotRun(f"no command {name} in the deploy file")
    return match.group(1)


_taken = set()


def free_port(kind=socket.SOCK_STREAM):
    """Returns a free loopback port that this process has not returned before."""
    while True:
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.bind((LOOPBACK, 0))
            port = probe.getsockname()[1]
        if port not in _taken:
            _taken.add(port)
            return port


def address(kind=socket.SOCK_STREAM):
    return f"{LOOPBACK}:{free_port(kind)}"


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def now(self):
        return time.monotonic() - self.start

    def write(self, who, text):
        self.file.write(f"{self.now():9.3f} {who:<12} {text}\n")

    def say(self, text):
        self.write("case", text)
        print(text, flush=True)


class Host:
    """A host: runs a request, answers `UP`, and echoes lines. While it drains it answers `BUSY` (not run). `behave(id, fields)` may
    name another answer: `ERR` (ran, and failed)."""

    def __init__(self, record, name, site="a", behave=None):
        self.record, self.name, self.site, self.behave = record, name, site, behave
        self.port = free_port()
        self.health = "up"
        self.received = []  # (time, id, class, answer), one for each line OPEN
        self.open = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            line = (await reader.readline()).decode(errors="replace").strip()
            words = line.split(" ")
            if not line or words[0] != "OPEN" or len(words) != 4:
                if line:
                    writer.write(b"SYNTAX\r\n")
                return
            fields = dict(field.split("=", 1) for field in words[3].split(","))
            answer = "BUSY" if self.health == "draining" else self.behave(words[1], fields) if self.behave else "UP"
            self.received.append((self.record.now(), words[1], fields["c"], answer))
            ran = "not run" if answer == "BUSY" else "ran"
            self.record.write(self.name, f"got {line}; {ran}; answers {answer}")
            if answer != "UP":
                writer.write(answer.encode() + b"\r\n")
                return
            writer.write(f"UP {self.name}-{words[1]}\r\nLOAD 1000\r\n".encode())
            while line := await reader.readline():
                writer.write(line)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def stop(self):
        """Ends the host as a process that dies does: its connections are reset, new ones refused."""
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    def entry(self):
        return {"host": self.name, "dial": f"{LOOPBACK}:{self.port}", "site": self.site, "class": "std", "block": 0,
                "health": self.health, "share": 1.0, "born_ms": 0}


class Discovery:
    """Discovery: the whole list, and watches. A watch's first line holds what changed after the version that it names, or the whole
    list for version 0; an empty line comes where nothing changed, and every 2 s while nothing changes. Versions are its own."""

    def __init__(self, record, hosts, seq=40):
        self.record, self.hosts, self.seq = record, hosts, seq
        self.port = free_port()
        self.watches = {}  # the queue of each open watch, and its connection
        self.changed_in = {host.name: seq for host in hosts}
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)

    def address(self):
        return f"{LOOPBACK}:{self.port}"

    def list(self, whole, hosts):
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": [host.entry() for host in hosts]})

    def told(self, whole, hosts):
        """Returns a list as the record has it, without addresses."""
        return f"seq {self.seq}, whole {whole}, " + ", ".join(f"{host.name} {host.health}" for host in hosts)

    def change(self, host, health):
        self.seq += 1
        host.health, self.changed_in[host.name] = health, self.seq
        for queue in self.watches:
            queue.put_nowait(self.list(False, [host]))
        self.record.write("discovery", f"{self.port}: {host.name} is {health}, told on {len(self.watches)} watches: {self.told(False, [host])}")

    def close(self):
        """Takes no new connection, and closes the open ones."""
        self.server.close()
        for writer in self.watches.values():
            writer.close()
        self.record.write("discovery", f"{self.port}: closed")

    async def serve(self, reader, writer):
        def chunk(text):
            writer.write(f"{len(text) + 1:x}\r\n{text}\n\r\n".encode())

        queue = asyncio.Queue()
        try:
            request = (await reader.readline()).decode()
            while (await reader.readline()).strip():
                pass
            self.record.write("discovery", f"{self.port}: asked {request.strip()}")
            if "stream=1" not in request:
                body = self.list(True, self.hosts)
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            version = int(re.search(r"index=(\d+)", request).group(1))
            changed = [host for host in self.hosts if self.changed_in[host.name] > version]
            chunk(self.list(version == 0, changed) if changed else "")
            first = self.told(version == 0, changed) if changed else "empty"
            self.record.write("discovery", f"{self.port}: first line of the watch: {first}")
            self.watches[queue] = writer
            while not writer.is_closing():
                await writer.drain()
                try:
                    chunk(await asyncio.wait_for(queue.get(), 2))
                except (asyncio.TimeoutError, TimeoutError):
                    chunk("")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.watches.pop(queue, None)
            writer.close()


class Process:
    """One process of a node, started by the deploy file's command `run`."""

    def __init__(self, child, admin, log):
        self.child, self.admin, self.log = child, admin, log

    def signal(self, number):
        if self.child.returncode is None:
            self.child.send_signal(number)


class Rig:
    """A case: its record, its temporary folder, and all that it started."""

    def __init__(self, folder, seconds=110):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        # Short, as the system limits the length of a socket's path and a node leaves sockets in its folder.
        short = len(tempfile.gettempdir()) < 40 or not os.access("/tmp", os.W_OK)
        self.folder = tempfile.mkdtemp(prefix="review-", dir=None if short else "/tmp")
        self.seconds = seconds
        self.processes = []
        self.nodes = {}  # the name of the node at each address
        self.random = random.Random(1)
        self.next_id = 0

    # Files of a node

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name + ".new"), "w") as file:
            file.write(text)
        os.replace(self.path(name + ".new"), self.path(name))
        return self.path(name)

    def write_config(self, node, listen, discovery, settings, known=None, zone=0):
        self.nodes[listen] = node
        config = {"name": node, "listen": listen, "discovery": discovery, "limits": {"sockets": 1024},
                  "settings": {**settings, "my_zone": zone}}
        if known is not None:
            config["known"] = known
        return self.write(f"{node}.json", json.dumps(config))

    # Processes

    async def start(self, node, listen, discovery, cluster=None):
        """Starts a process of a node as the platform does: `run` by /bin/sh -c from the root."""
        if not os.path.exists(PROGRAM):
            raise CannotRun("the deploy file's build has not been run")
        admin, tmp = address(), self.path(f"tmp-{node}")
        os.makedirs(tmp, exist_ok=True)
        command = deploy_command("run") + (f" --cluster '{cluster}'" if cluster else "")
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": tmp, "ROUTER_NAME": node,
                       "ROUTER_LISTEN": listen, "ROUTER_DISCOVERY": discovery, "ROUTER_ADMIN_ADDR": admin,
                       "ROUTER_CONFIG": self.path(f"{node}.json"), "RUST_LOG": "info"}
        log = open(self.path(f"{node}.log"), "a")
        child = await asyncio.create_subprocess_exec("/bin/sh", "-c", command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                                                     stdout=log, stderr=log)
        log.close()
        process = Process(child, admin, self.path(f"{node}.log"))
        self.processes.append(process)
        self.record.write(node, f"process {child.pid} started")
        return process

    async def command(self, node, cluster, *args):
        """Runs a command of the program with a node's files; returns its exit code and output."""
        child = await asyncio.create_subprocess_exec(PROGRAM, *args, "--config", self.path(f"{node}.json"), "--cluster", cluster,
                                                     cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
                                                     stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        output = (await child.communicate())[0].decode()
        return child.returncode, output.strip()

    # Operators' calls

    async def call(self, process, method, path):
        """Makes one call at the operators' address; returns the status and the body, or 0 without an answer."""
        try:
            host, port = process.admin.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {process.admin}\r\nContent-Length: 0\r\n\r\n".encode())
            answer = (await asyncio.wait_for(reader.read(), 2)).decode()
            writer.close()
            return int(answer.split(" ")[1]), answer.split("\r\n\r\n", 1)[1]
        except (OSError, asyncio.TimeoutError, TimeoutError, IndexError, ValueError):
            return 0, ""

    async def ready(self, process):
        return (await self.call(process, "GET", "/control/ready"))[0] == 200

    async def status(self, process):
        code, body = await self.call(process, "GET", "/settings")
        return json.loads(body) if code == 200 else {}

    async def wait(self, what, condition, seconds=30):
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise CannotRun(f"not reached in {seconds} s: {what}")
            await asyncio.sleep(0.02)

    async def agree(self, process, node, cluster, document):
        """Proposes a document until it is agreed; returns its version."""
        path = self.write("proposal.json", json.dumps(document))
        end = time.monotonic() + 30
        while True:
            code, output = await self.command(node, cluster, "settings", "propose", path, "--admin", process.admin)
            if code == 0:
                version = int(output.removeprefix("version "))
                self.record.write("operator", f"version {version} agreed: hosts_out={document.get('hosts_out', [])}")
                return version
            if time.monotonic() > end:
                raise CannotRun(f"no version agreed: {output}")
            await asyncio.sleep(0.1)

    async def in_force(self, processes, version):
        async def all_follow():
            states = [await self.status(process) for process in processes]
            return all((s.get("in_force"), s.get("standing")) == (version, "counts") for s in states)
        await self.wait(f"version {version} in force", all_follow)
        self.record.write("operator", f"version {version} in force at {len(processes)} nodes")

    # Clients

    def new_id(self):
        self.next_id += 1
        return f"{self.random.getrandbits(40):010x}{self.next_id:06x}"

    async def client(self, listen, cls, wait_ms, hold_s, end_time, what="client"):
        """One client: asks, waits for its answer, and if it is up says a line every 2 s and ends after `hold_s`.
        Returns its id and the first word of the answer (`NONE` without one, `REFUSED` without a connection)."""
        id = self.new_id()
        host, port = listen.split(":")
        writer = None
        try:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                self.record.write(what, f"{id} no connection")
                return id, "REFUSED", ""
            writer.write(f"OPEN {id} {self.random.getrandbits(64):016x} c={cls},d={wait_ms}\r\n".encode())
            try:
                line = (await asyncio.wait_for(reader.readline(), wait_ms / 1000 + 0.5)).decode().strip()
            except (asyncio.TimeoutError, TimeoutError, ConnectionError):
                line = ""
            word = line.split(" ")[0] or "NONE"
            self.record.write(what, f"{id} sent OPEN c={cls} to {self.nodes[listen]}, answered {line or 'nothing'}")
            end = min(time.monotonic() + hold_s, end_time)
            how = "ended by itself"
            while word == "UP" and time.monotonic() < end:
                writer.write(b"M 1\r\n")
                try:
                    until = min(time.monotonic() + 2, end)
                    while (left := until - time.monotonic()) > 0:
                        said = await asyncio.wait_for(reader.readline(), left)
                        if not said or said.strip() == b"MOVE":
                            how = "moved" if said else "cut off"
                            return id, word, how
                except (asyncio.TimeoutError, TimeoutError):
                    pass
            return id, word, how
        except ConnectionError:
            self.record.write(what, f"{id} reset")
            return id, "UP", "reset"
        finally:
            if writer is not None:
                writer.close()

    # The end

    async def end_processes(self):
        for process in self.processes:
            if process.child.returncode is None:
                process.child.kill()
            await process.child.wait()

    def close(self):
        for process in self.processes:
            if process.child.returncode is None:
                process.child.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def settings(classes, zones=("a",), balancers=3, max_attempts=3):
    """Settings of a small deployment, after the example's and the first site's figures."""
    return {
        "balancers": balancers, "zones": list(zones), "weights": "silent", "discovery": "subscribe", "classes": classes,
        "extra": {"groups": False, "message_aim": [100000] * len(classes)},
        "allowed": {"connect_timeout": 250000, "max_attempts": max_attempts, "retry_after": True,
                    "max_retry_after": 1000000, "probes": False, "may_tell": False},
        "obligations": {"must_ask_in": 10000000, "cold": 8500000, "cold_from": 0.41, "fall_multiple": 4.0,
                        "overload_for": 1500000, "stop_sending_within": 500000},
    }


def cluster_file(rig, node, member, control, seeds, voters, keys=(KEY,), more=""):
    """Writes a node's cluster file, after the deploy folder's; times are the defaults."""
    def quoted(texts):
        return "[" + ", ".join(f'"{text}"' for text in texts) + "]"
    return rig.write(f"{node}.toml", f'name = "edge"\nlisten = "{member}"\nseeds = {quoted(seeds)}\nkeys = {quoted(keys)}\n'
                     f'[control]\nlisten = "{control}"\nvoters = {quoted(voters)}\nstate_dir = "{rig.folder}"\n{more}')


def main(folder, case, seconds=110):
    """Runs a case: exits with 1 if its rule was broken, 0 if it held, 2 if it could not run."""
    rig = Rig(folder, seconds)

    async def run():
        try:
            return await asyncio.wait_for(case(rig), rig.seconds)
        finally:
            await rig.end_processes()

    code = 2
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(run())
    except CannotRun as reason:
        rig.record.say(f"could not run: {reason}")
    except (asyncio.TimeoutError, TimeoutError):
        rig.record.say("could not run: time is over")
    except Exception as error:
        rig.record.say(f"could not run: {error!r}")
    finally:
        rig.close()
    print({0: "rule held", 1: "rule broken", 2: "could not run"}[code], flush=True)
    sys.exit(code)
