"""Small stand-ins of the platform for review scripts: store, cloud, workers, requesters, nodes.

They follow PROTOCOL.md and DEPLOY.md of the users' pages; only the standard library is used.
"""
import asyncio, base64, json, os, random, signal, socket, sys, time, tempfile, shutil

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
T0 = time.monotonic()
RECORD = []


def now():
    return time.monotonic() - T0


def note(*words):
    line = "%8.3f  %s" % (now(), " ".join(str(w) for w in words))
    RECORD.append(line)


async def read_message(reader):
    """Returns (first line, headers, body) of an HTTP/1.1 message with a length, chunks or nothing; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def answer(status, body=b"", headers=(), reason="X"):
    head = "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, reason, len(body))
    head += "".join("%s: %s\r\n" % h for h in headers)
    return head.encode() + b"\r\n" + body


def reset(writer):
    """Closes a channel with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


def query_of(path):
    path, _, query = path.partition("?")
    from urllib.parse import parse_qsl
    return path, dict(parse_qsl(query))


class Store:
    """The metadata store. Each machine calls it at a port of its own, so that it can turn single machines away."""

    def __init__(self):
        self.rev = 100
        self.items = {}        # key -> (value bytes, revision, created, lease)
        self.log = []          # (revision, event)
        self.leases = {}       # id -> (ttl s, end)
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.mode = {}         # caller -> None | "busy" | "reset" | "silent"
        self.hook = None       # async function (caller, method, path, body) -> None or a mode
        self.servers = []

    async def listen(self, caller):
        server = await asyncio.start_server(lambda r, w: self.serve(caller, r, w), "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def start(self):
        self.expirer = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (ttl, end) in list(self.leases.items()):
                if end <= time.monotonic():
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item[3] == lease:
                self.remove(key)

    def event(self, event):
        self.log.append((self.rev, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.rev += 1
        created = self.items[key][2] if key in self.items else self.rev
        self.items[key] = (value, self.rev, created, lease)
        self.event(self.entry(key))
        return self.rev

    def remove(self, key):
        if key in self.items:
            self.rev += 1
            del self.items[key]
            self.event({"key": key, "revision": self.rev, "deleted": True})

    def entry(self, key):
        value, rev, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": rev, "created": created, "lease_id": lease}

    async def serve(self, caller, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, path, _ = message[0].split(" ", 2)
                mode = self.mode.get(caller)
                if self.hook is not None:
                    mode = await self.hook(caller, method, path, message[2]) or mode
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "reset":
                    reset(writer)
                    return
                if mode == "busy":
                    status, body = 503, {}
                else:
                    await asyncio.sleep(0.004)
                    status, body = await self.call(method, path, message[2])
                if mode == "lost":
                    await asyncio.sleep(3600)
                writer.write(answer(status, json.dumps(body).encode(), [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, method, path, body):
        path, query = query_of(path)
        data = json.loads(body) if body else {}
        if path == "/kv-key":
            key = query["key"]
            return (200, dict(self.entry(key), at=self.rev)) if key in self.items else (404, {"at": self.rev})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"entries": [self.entry(k) for k in keys], "has_more": False, "at": self.rev}
        if path == "/kv-watch":
            after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for r, e in self.log if r > after and e["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.rev}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = max(1000, data["ttl_ms"])
            self.leases[self.next_lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"lease_id": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/kv-txn":
            for row in data["expected_revision"]:
                item = self.items.get(row["key"])
                if (item[1] if item else 0) != row["revision"]:
                    rows = [r["key"] for r in data["expected_revision"]]
                    return 412, {"entries": [self.entry(k) for k in rows if k in self.items], "at": self.rev}
            for row in data.get("write", []):
                if row.get("lease_id") and row["lease_id"] not in self.leases:
                    return 404, {}
            for row in data.get("write", []):
                self.put(row["key"], base64.b64decode(row["value"]), row.get("lease_id", 0))
            for key in data.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.rev}
        return 400, {}


class Cloud:
    """The platform's API for the duties. Each machine calls it at a port of its own."""

    def __init__(self):
        self.calls = []   # (time, machine, owner, fence, path, body)
        self.servers = []
        self.seen = asyncio.Event()

    async def listen(self, caller):
        server = await asyncio.start_server(lambda r, w: self.serve(caller, r, w), "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def serve(self, caller, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                path = message[0].split(" ")[1]
                owner = message[1].get("bulrushhall-duty-owner")
                fence = int(message[1].get("bulrushhall-fencing-token", 0))
                self.calls.append((now(), caller, owner, fence, path, json.loads(message[2])))
                note("cloud", caller, owner, "fence", fence, path, message[2].decode())
                self.seen.set()
                self.seen = asyncio.Event()
                writer.write(answer(200))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Worker:
    """A worker of a service. `handle(worker, request line, headers, body, writer)` answers; it returns False to close."""

    def __init__(self, store, service, zone, handle=None, name=None, slots=6, version="v1"):
        self.store, self.service, self.zone, self.slots, self.version = store, service, zone, slots, version
        self.name = name or "i-%010x" % random.getrandbits(40)
        self.handle = handle or Worker.plain
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.ran = []
        self.writers = set()

    async def start(self, port=0, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = "%s:%d" % (host, self.server.sockets[0].getsockname()[1])
        self.beating = asyncio.create_task(self.beat())
        return self

    def write(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                 "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}
        self.store.put("servers/" + self.name, json.dumps(entry).encode())

    async def beat(self):
        while True:
            self.write()
            await asyncio.sleep(1.2)

    def crash(self):
        """Ends at once: its channels are closed as the kernel does for a killed process."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                if headers.get("bulrushhall-expect-instance", self.name) != self.name:
                    writer.write(answer(421, headers=[("Bulrushhall-Instance-Id", self.name)]))
                    await writer.drain()
                    continue
                if line.startswith("OPTIONS") or "bulrushhall-attempt-id" not in headers:
                    writer.write(answer(400, headers=[("Bulrushhall-Not-Executed", "1")]))
                    await writer.drain()
                    continue
                self.ran.append((now(), headers["bulrushhall-attempt-id"], line, headers))
                note("worker", self.name, "runs", headers["bulrushhall-attempt-id"], line)
                if await self.handle(self, line, headers, body, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def seal(self, headers):
        return [("Bulrushhall-Attempt-Id", headers["bulrushhall-attempt-id"]), ("Bulrushhall-Response-Seal", "s." + self.name)]

    async def plain(self, line, headers, body, writer):
        await asyncio.sleep(0.015)
        writer.write(answer(200, b"done " + headers["bulrushhall-attempt-id"].encode(), self.seal(headers), "OK"))


BOUNDS = {"revocation": "5000ms", "config_apply": "2000ms", "grace": "8s", "lease": "3000ms", "usage_window": "5s",
          "usage_delay": "10s", "retry_ratio": "0.2", "retry_headroom": "52", "retry_window": "10s", "quota_window": "8s",
          "quota_overage": "0.1", "quota_headroom": "190000"}


class Node:
    """A machine with the daemon, started with the command of deploy/system.toml and the settings of deploy/entry.ini."""

    def __init__(self, name, zone, ip, store_port, cloud_port, directory):
        self.name, self.zone, self.ip = name, zone, ip
        self.store_port, self.cloud_port = store_port, cloud_port
        self.path = os.path.join(directory, name + ".ini")
        self.callers, self.directory, self.readiness = ip + ":8221", ip + ":8220", ip + ":8224"
        self.process = None
        self.out = open(os.path.join(directory, name + ".log"), "ab")

    def settings(self, first):
        bounds = "".join("%s = %s\n" % item for item in BOUNDS.items())
        return ("[gateway]\nadapter = cooperative\nname = %s\nzone = %s\nfirst_start = %s\n\n[ports]\ncallers = %s\n"
                "directory = %s\nreadiness = %s\npeers = %s:7600\nmetrics = %s:9464\n\n[endpoints]\nkey_value = 127.0.0.1:%d\n"
                "cloud = 127.0.0.1:%d\n\n[bounds]\n%s\n[capacity]\ncores = 0.25\nlink_mbps = 1000.0\nmemory_mb = 260\n\n"
                "[fleet]\nshared_model = true\nbacklog_time = 2s\n\n[log]\nfilter = info\n") % (
            self.name, self.zone, "true" if first else "false", self.callers, self.directory, self.readiness, self.ip, self.ip,
            self.store_port, self.cloud_port, bounds)

    async def start(self, first=False):
        with open(self.path, "w") as f:
            f.write(self.settings(first))
        program = os.path.join(ROOT, "target/release/bulrushd")
        self.process = await asyncio.create_subprocess_exec(program, "--settings", self.path, cwd=ROOT, stdout=self.out,
                                                            stderr=self.out)
        note("machine", self.name, "starts")

    def signal(self, number):
        note("machine", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.readiness, "GET", "/readyz"), 0.5)
            return status == 200
        except (OSError, asyncio.TimeoutError, Broken):
            return False

    async def wait_ready(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


class Broken(Exception):
    pass


async def read_answer(reader, head_only=False):
    """Returns (status, headers, body) of an answer; raises Broken if it ends early."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as e:
        raise Broken("closed without an answer: %r" % e)
    lines = head.decode("latin1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = await reader.readline()
                if not size.endswith(b"\r\n"):
                    raise Broken("closed within the body (%d bytes)" % len(body))
                size = int(size, 16)
                if size == 0:
                    await reader.readline()
                    break
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError) as e:
        raise Broken("closed within the body: %r" % e)
    return status, headers, body


async def call(address, method, path, headers=(), body=b""):
    """Sends one request on a new channel; returns (status, headers, body)."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
    try:
        head = "%s %s HTTP/1.1\r\n" % (method, path) + "".join("%s: %s\r\n" % h for h in headers)
        if not any(h[0].lower() == "host" for h in headers):
            head += "Host: h.example\r\n"
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        writer.write(head.encode() + b"\r\n" + body)
        return await read_answer(reader)
    finally:
        writer.close()


def attempt_id():
    return "%016x" % random.getrandbits(64)


def config(version, routes, services, tenants=None):
    doc = {"version": version, "routes": routes, "services": services,
           "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    if tenants is not None:
        doc["tenants"] = tenants
    return json.dumps(doc).encode()


def route(name, prefix, kind, service, timeout=1500, target=100, attempts=2, **more):
    return dict({"name": name, "host": "h.example", "prefix": prefix, "route_type": kind, "timeout_ms": timeout,
                 "target_latency_ms": target, "priority": 2, "service": service, "max_attempts": attempts, "anonymous": False,
                 "session_affinity": False, "stream_resume": False}, **more)


def service(name, connections=96, **more):
    return dict({"name": name, "health_check": "/healthz", "max_connections": connections, "protocol": "h1", "tls": False}, **more)


ENGINE = {"slots": 64, "kv_capacity": 566565, "kv_token_bytes": 327680, "link_mbps": 1100000.0, "moves": True, "backups": True,
          "stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "kv_handle_s": 5.0, "models": [{"name": "m"}]}
SCALING = {"min": 1, "max": 6, "boot_s": 4.0, "spot_price": 0.15, "zone_prices": {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}}


class Deployment:
    """A small deployment: store, cloud and machines in the zones a, b, c, d."""

    def __init__(self, machines=3):
        self.count = machines

    async def __aenter__(self):
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.store, self.cloud, self.nodes = Store(), Cloud(), []
        self.store.start()
        net = "127.%d.%d." % (random.randint(20, 250), random.randint(1, 250))
        for at in range(self.count):
            name, zone = "edge-%s-%d" % ("abcd"[at % 4], at // 4 + 1), "abcd"[at % 4]
            ports = [await self.store.listen(name), await self.cloud.listen(name)]
            self.nodes.append(Node(name, zone, net + str(at + 10), *ports, self.directory))
        return self

    async def start(self):
        for node in self.nodes:
            await node.start(first=True)
        for node in self.nodes:
            if not await node.wait_ready():
                raise RuntimeError(node.name + " was not ready")

    async def __aexit__(self, *_):
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                    await node.process.wait()
                except ProcessLookupError:
                    pass
            node.out.close()
        if os.environ.get("KEEP"):
            print("logs in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def run(main, folder):
    """Runs a case and writes record.txt; exits with 0 (held), 10 (broken) or 2 (could not run). Python itself exits with 1."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(main(trouble), 115))
        code = 10 if broken else 0
    except Exception as e:
        note("could not run:", repr(e))
        import traceback
        traceback.print_exc()
        code = 2
    with open(os.path.join(folder, "record.txt"), "w") as f:
        f.write("\n".join(RECORD) + "\n")
    os._exit(code)
