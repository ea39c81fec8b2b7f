"""Stand-ins for the scripts of this review: the platform's store, hosts, clients and the routers.

They speak what PROTOCOL.md says, on loopback addresses only. A host is a process of its own
(`standins.py host SETTINGS`), so that it can be killed. Everything else runs in the process of the
script, which also plays the platform: it writes the settings files, starts the project's processes
with the commands of the deploy file, and ends them.
"""

import base64
import ctypes
import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

FIN, SYN, ACK, RST, BOUNCED = 1, 2, 8, 16, 64
HEAD = 36
KEY = b"key of the stand-ins"
# Attaches a filter program to a socket; the `socket` module has no name for it.
SO_ATTACH_FILTER = 26


def ip_bytes(ip):
    return socket.inet_aton(ip)[::-1]


def ip_text(raw):
    return socket.inet_ntoa(raw[::-1])


def keyed_sum(packet):
    """Sum over all fields except `echo`, `pad` and BOUNCED."""
    import zlib

    flags = bytes([packet[10] & ~BOUNCED])
    covered = packet[0:10] + flags + packet[16:28] + packet[HEAD:]
    return zlib.crc32(KEY + covered)


def packet(src, dst, flags, seq, ack, data=b""):
    """A packet from `src` to `dst`, each an (address, port) pair."""
    head = bytearray(HEAD)
    struct.pack_into("<IIHB", head, 0, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, len(data), flags)
    head[16:20] = ip_bytes(dst[0])
    struct.pack_into("<HH", head, 20, dst[1], src[1])
    head[24:28] = ip_bytes(src[0])
    raw = bytes(head) + data
    struct.pack_into("<I", head, 28, keyed_sum(raw))
    return bytes(head) + data


def decode(raw):
    if len(raw) < HEAD:
        return None
    seq, ack, length, flags = struct.unpack_from("<IIHB", raw, 0)
    dport, sport = struct.unpack_from("<HH", raw, 20)
    return {
        "seq": seq, "ack": ack, "len": length, "flags": flags,
        "dst": (ip_text(raw[16:20]), dport), "src": (ip_text(raw[24:28]), sport),
        "sum": struct.unpack_from("<I", raw, 28)[0], "data": raw[HEAD:HEAD + length],
    }


# ---------------------------------------------------------------- the platform's store


class Store:
    """The platform's store: linearizable, with leases, one revision counter and watches."""

    def __init__(self, address, history=100_000):
        self.lock = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1000
        self.closed = False
        self.connections = set()
        # Watches that wait, and the times at which others ended without events.
        self.waiting_watches = 0
        self.ended_watches = []
        # Other calls in progress, and the time of the last one.
        self.other_calls = 0
        self.other_call_at = 0.0
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def setup(self):
                super().setup()
                self.is_silent = False
                with store.lock:
                    store.connections.add(self)

            def finish(self):
                with store.lock:
                    store.connections.discard(self)
                if not self.is_silent:
                    super().finish()

            def reply(self, status, body):
                raw = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(raw)))
                self.send_header("Store-Era", "1")
                self.end_headers()
                self.wfile.write(raw)

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or b"{}")
                url = urlparse(self.path)
                query = {key: values[0] for key, values in parse_qs(url.query).items()}
                is_watch = url.path == "/api/kv-watch"
                with store.lock:
                    store.other_calls += not is_watch
                time.sleep(0.004)
                status, reply = store.call(self.command, url.path, query, body)
                with store.lock:
                    if not is_watch:
                        store.other_calls -= 1
                        store.other_call_at = time.monotonic()
                if self.is_silent:
                    threading.Event().wait()
                try:
                    self.reply(status, reply)
                    if is_watch and not reply["events"]:
                        with store.lock:
                            store.ended_watches.append(time.monotonic())
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = handle_call

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                pass  # A client has ended.

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": value, "revision": revision, "create_rev": created,
                "lease": lease}

    def write(self, key, value, lease=0):
        """Writes base64 text under a key. The caller holds the lock."""
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.events.append(self.item(key))
        self.lock.notify_all()

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.lock.notify_all()

    def expire(self):
        while not self.closed:
            time.sleep(0.1)
            with self.lock:
                now = time.monotonic()
                for lease in [l for l, (_, ends) in self.leases.items() if ends < now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            for key in [k for k, item in self.items.items() if item[3] == lease]:
                self.delete(key)

    def revoke(self, key):
        """Takes a key away; its lease stays, so no request shows it."""
        with self.lock:
            self.delete(key)

    def renewed_at(self, key):
        """Time of the last renewal of the lease of a key."""
        with self.lock:
            ttl, ends = self.leases[self.items[key][3]]
            return ends - ttl / 1000

    def renewed_within(self, seconds):
        """Whether all leases were renewed or created in this time. The caller holds the lock."""
        now = time.monotonic()
        return all(now - (ends - ttl / 1000) < seconds for ttl, ends in self.leases.values())

    def silence(self):
        """Lets all open connections go silent for good: what arrives on them is dropped before TCP
        sees it, so that not even keep-alive probes are answered, and nothing more is sent on them.
        New connections work. Returns how many went silent. The caller holds the lock."""
        drop_all = struct.pack("HBBI", 0x06, 0, 0, 0)
        buffer = ctypes.create_string_buffer(drop_all)
        program = struct.pack("HL", 1, ctypes.addressof(buffer))
        for handler in self.connections:
            handler.is_silent = True
            handler.connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
        return len(self.connections)

    def operator_writes(self, key, document):
        """Writes as the operator; returns the time of the acknowledgement."""
        with self.lock:
            self.write(key, base64.b64encode(json.dumps(document).encode()).decode())
        return time.monotonic()

    def call(self, method, path, query, body):
        with self.lock:
            if path == "/api/kv-range":
                keys = sorted(k for k in self.items
                              if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
                page = [self.item(key) for key in keys[:500]]
                return 200, {"items": page, "has_more": len(keys) > 500,
                             "current_rev": self.revision}
            if path == "/api/kv-key":
                key = query["key"]
                return (200, {**self.item(key), "current_rev": self.revision}) \
                    if key in self.items else (404, {})
            if path == "/api/kv-watch":
                after, prefix = int(query["after"]), query["prefix"]
                ends = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
                self.waiting_watches += 1
                while True:
                    events = [e for e in self.events
                              if e["revision"] > after and e["key"].startswith(prefix)]
                    left = ends - time.monotonic()
                    if events or left <= 0:
                        self.waiting_watches -= 1
                        return 200, {"events": events, "current_rev": self.revision}
                    self.lock.wait(left)
            if path == "/api/kv-lease":
                self.next_lease += 1
                ttl = body["ttl_ms"]
                self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease": self.next_lease, "ttl_ms": ttl}
            if path.startswith("/api/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"ttl_ms": ttl}
            if path.startswith("/api/kv-lease-end/"):
                self.end_lease(int(path.rsplit("/", 1)[1]))
                return 200, {}
            if path == "/api/kv-txn":
                expected = body.get("expected", [])
                current = lambda key: self.items[key][1] if key in self.items else 0
                if any(current(row["key"]) != row["revision"] for row in expected):
                    return 412, {"items": [self.item(row["key"]) for row in expected
                                           if row["key"] in self.items]}
                writes = body.get("writes", [])
                if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
                    return 404, {}
                for write in writes:
                    if write["key"].startswith(("op/", "servers/")):
                        return 403, {}
                    self.write(write["key"], write["value"], write.get("lease", 0))
                for key in body.get("deletes", []):
                    self.delete(key)
                return 200, {"revision": self.revision}
        return 404, {}


# ---------------------------------------------------------------- hosts


class Host:
    """A host: accepts flows, runs requests in its slots, and sends heartbeats to its machine's daemon.

    It runs until it is killed, or until its standard input closes. It writes a line of JSON to its
    record for each request that begins to run.
    """

    def __init__(self, settings):
        self.s = settings
        self.app = tuple(settings["app"])
        self.flows = {}
        self.queue = []
        self.running = 0
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        self.record = open(settings["record"], "a", buffering=1)
        # The listener for health checks, and the socket for packets.
        self.health = socket.create_server(self.app)
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind(self.app)

    def note(self, **fields):
        self.record.write(json.dumps({"at": time.monotonic(), **fields}) + "\n")

    def beat(self):
        seq = 0
        control = self.s["control"]
        while True:
            seq += 1
            body = {"service": self.s["service"], "address": "%s:%d" % self.app,
                    "zone": self.s["zone"], "version": "v1", "capacity": self.s["capacity"],
                    "state": "ready", "warmup_left_ms": 0, "seq": seq, "born": self.born}
            try:
                connection = http.client.HTTPConnection(*control, timeout=1)
                connection.request("POST", "/api/Instances.Heartbeat/" + self.s["id"],
                                   json.dumps(body), {"Content-Type": "application/json"})
                status = connection.getresponse().status
                connection.close()
                if seq == 1:
                    self.note(what="first heartbeat", status=status, service=self.s["service"])
            except OSError:
                pass
            time.sleep(self.s["heartbeat_ms"] / 1000)

    def serve_health(self):
        while True:
            connection, _ = self.health.accept()
            try:
                connection.settimeout(0.5)
                if connection.recv(4096):
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            except OSError:
                pass
            finally:
                connection.close()

    def send(self, raw):
        self.udp.sendto(raw, tuple(self.s["outbound"]))

    def bounce(self, raw):
        raw = bytearray(raw)
        raw[10] |= BOUNCED
        raw[11:16] = bytes(5)
        self.send(bytes(raw))

    def serve(self):
        threading.Thread(target=self.serve_health, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()
        while True:
            raw, _ = self.udp.recvfrom(4096)
            p = decode(raw)
            if p is None:
                continue
            if keyed_sum(raw) != p["sum"]:
                self.note(what="forged packet")
                continue
            with self.lock:
                self.take(raw, p)

    def take(self, raw, p):
        key = (p["src"], p["dst"])
        if self.s["records_packets"] and not p["flags"] & SYN:
            self.note(what="packet", flow="%s:%d" % p["src"], holds=key in self.flows,
                      host=self.s["id"])
        flow = self.flows.get(key)
        if p["flags"] & SYN:
            if flow is None:
                seq = random.getrandbits(31)
                flow = {"seq": seq, "open": False, "answer": None, "answer_end": None,
                        "received": (p["seq"] + 1) & 0xFFFFFFFF, "sent": (seq + 1) & 0xFFFFFFFF}
                self.flows[key] = flow
            self.send(packet(p["dst"], p["src"], SYN | ACK, flow["seq"], flow["received"]))
            return
        if flow is None or not flow["open"] and p["ack"] != flow["sent"]:
            self.bounce(raw)
            return
        flow["open"] = True
        if p["ack"] == flow["answer_end"]:
            flow["answer"] = None
        if p["flags"] & RST:
            del self.flows[key]
            return
        if p["flags"] & FIN:
            del self.flows[key]
            self.send(packet(p["dst"], p["src"], FIN | ACK, flow["sent"],
                             (p["seq"] + len(p["data"]) + 1) & 0xFFFFFFFF))
            return
        if not p["data"]:
            return
        if p["seq"] != flow["received"]:  # It has arrived before.
            self.send(flow["answer"] or packet(p["dst"], p["src"], ACK, flow["sent"],
                                               flow["received"]))
            return
        flow["received"] = (p["seq"] + len(p["data"])) & 0xFFFFFFFF
        self.send(packet(p["dst"], p["src"], ACK, flow["sent"], flow["received"]))
        self.queue.append((key, flow, p["data"]))
        self.start_next()

    def start_next(self):
        while self.queue and self.running < self.s["capacity"]:
            self.running += 1
            threading.Thread(target=self.run, args=self.queue.pop(0), daemon=True).start()

    def run(self, key, flow, request):
        client, route = key
        fields = dict(line.split(": ", 1) for line in request.decode().split("\r\n")[1:]
                      if ": " in line)
        self.note(what="run", request=fields["Request-Id"], service=self.s["service"],
                  host=self.s["id"], route="%s:%d" % route)
        time.sleep(int(fields.get("Work-Ms", self.s["work_ms"])) / 1000)
        body = "done by " + self.s["service"]
        text = ("HTTP/1.1 200 OK\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s"
                % (self.s["service"] + "/" + fields["Request-Id"], len(body), body))
        with self.lock:
            answer = packet(route, client, ACK, flow["sent"], flow["received"], text.encode())
            flow["sent"] = (flow["sent"] + len(text)) & 0xFFFFFFFF
            flow["answer"], flow["answer_end"] = answer, flow["sent"]
            self.send(answer)
            self.running -= 1
            self.start_next()
        # Eight retransmissions until the client has acknowledged the answer.
        wait = 0.2
        for _ in range(8):
            time.sleep(wait)
            wait = min(wait * 2, 1.6)
            with self.lock:
                if self.flows.get(key) is not flow or flow["answer"] is not answer:
                    return
                self.send(answer)


# ---------------------------------------------------------------- clients


class Client:
    """The clients' side: opens a flow for each request, through the routers' choice of a balancer."""

    def __init__(self, ip, port, balancers):
        self.ip, self.balancers = ip, balancers
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.udp.bind((ip, port))
        self.lock = threading.Lock()
        self.waiting = {}
        self.next_port = 10_000
        threading.Thread(target=self.receive, daemon=True).start()

    def receive(self):
        while True:
            raw, _ = self.udp.recvfrom(4096)
            p = decode(raw)
            if p is None:
                continue
            with self.lock:
                entry = self.waiting.get((p["dst"][1], p["src"]))
            if entry:
                with entry.changed:
                    entry.packets.append(p)
                    entry.changed.notify()

    def route_packet(self, port, route, raw):
        """The routers' choice: a hash of the addresses and ports over the balancers in rotation."""
        ready = self.balancers()
        if ready:
            self.udp.sendto(raw, ready[hash((self.ip, port, route)) % len(ready)])

    def open(self, route):
        """Opens a flow; returns it and the outcome: open, not opened, or reset before open."""
        flow = Flow(self, route)
        return flow, flow.open()

    def attempt(self, route, request_id, deadline_ms, work_ms=None):
        """A request on a flow of its own; returns the outcome and the answer."""
        started = time.monotonic()
        flow, outcome = self.open(route)
        try:
            if outcome != "open":
                return outcome, None
            return flow.request(request_id, started + deadline_ms / 1000, work_ms)
        finally:
            flow.close()


class Flow:
    """The client's end of a flow."""

    def __init__(self, client, route):
        self.client, self.route = client, route
        self.changed, self.packets = threading.Condition(), []
        with client.lock:
            client.next_port += 1
            self.port = client.next_port
            client.waiting[(self.port, route)] = self
        self.at = random.getrandbits(31)
        self.ack = 0

    def send(self, flags, data=b""):
        raw = packet((self.client.ip, self.port), self.route, flags, self.at, self.ack, data)
        self.client.route_packet(self.port, self.route, raw)

    def next_packet(self, until):
        with self.changed:
            while not self.packets:
                left = until - time.monotonic()
                if left <= 0:
                    return None
                self.changed.wait(left)
            return self.packets.pop(0)

    def open(self):
        started = time.monotonic()
        for copy, until_ms in enumerate([200, 600, 1400]):
            self.ack = copy
            self.send(SYN)
            while True:
                p = self.next_packet(started + until_ms / 1000)
                if p is None:
                    break
                if p["flags"] & RST:
                    return "reset before open"
                if p["flags"] & SYN:
                    self.at, self.ack = self.at + 1, (p["seq"] + 1) & 0xFFFFFFFF
                    self.send(ACK)
                    return "open"
        return "not opened"

    def request(self, request_id, ends, work_ms=None):
        """Sends a request and awaits its answer, retransmitting until `ends`."""
        work = "Work-Ms: %d\r\n" % work_ms if work_ms else ""
        text = ("POST /report HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%sContent-Length: 0\r\n"
                "\r\n" % (self.route[0], request_id, work)).encode()
        end = (self.at + len(text)) & 0xFFFFFFFF
        wait, has_arrived = 0.2, False
        while time.monotonic() < ends:
            if not has_arrived:
                self.send(ACK, text)
            until = min(ends, time.monotonic() + wait)
            while True:
                p = self.next_packet(until)
                if p is None:
                    break
                # A reset is valid if it is near what the client has acknowledged last.
                if p["flags"] & RST and (p["seq"] - self.ack + 76_800) & 0xFFFFFFFF <= 153_600:
                    return "reset" if p["sum"] else "reset by the system", None
                if p["data"] and p["seq"] == self.ack:
                    self.at, self.ack = end, (p["seq"] + len(p["data"])) & 0xFFFFFFFF
                    self.send(ACK)
                    return "answered", p["data"].decode()
                has_arrived |= p["ack"] == end
            wait = min(wait * 2, 1.6)
        return "no answer", None

    def close(self):
        if self.ack:
            self.send(ACK | FIN)
        with self.client.lock:
            self.client.waiting.pop((self.port, self.route), None)


# ---------------------------------------------------------------- the platform


class Site:
    """A small deployment: writes settings files, starts and ends processes, and keeps the record."""

    def __init__(self, folder, bounds, heartbeat_ms=770, zones=("bkk-lkb", "bkk-bna")):
        def stop(*_):
            raise KeyboardInterrupt("stopped by a signal")

        # The `finally` clause of a script then ends all processes.
        signal.signal(signal.SIGTERM, stop)
        self.folder = folder
        self.temporary = tempfile.mkdtemp(prefix="bamboowind-review-")
        self.record_path = os.path.join(folder, "record.txt")
        self.record = open(self.record_path, "w", buffering=1)
        self.lock = threading.Lock()
        self.started = time.monotonic()
        self.net = "127.%d.%d" % (random.randint(16, 200), random.randint(1, 250))
        self.base = self.free_ports()
        self.bounds, self.heartbeat_ms, self.zones = bounds, heartbeat_ms, zones
        self.processes = []
        self.store = Store((self.address(1), self.base))
        self.names = {}

    def free_ports(self):
        """The first of 40 ports that are free on all addresses of the deployment."""
        while True:
            base = random.randrange(20_000, 32_000, 40)
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    for last in (1, 9, 10, 11, *range(20, 24)):
                        for port in range(base, base + 40):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((self.address(last), port))
                return base
            except OSError:
                continue

    def address(self, last):
        return "%s.%d" % (self.net, last)

    def note(self, text):
        with self.lock:
            self.record.write("%9.3f %s\n" % (time.monotonic() - self.started, text))

    def settings(self, name, last, zone, machine_class, service=None):
        """Writes the settings file of a process as DEPLOY.md shows it; returns its path."""
        ip, b = self.address(last), self.base
        serves = '["side"]' if service else '["edge","control_plane"]'
        lines = [
            'node_name = "%s"' % name, 'role = "%s"' % ("agent" if service else "balancer"),
            'machine_class = "%s"' % machine_class, "serves = " + serves, 'ip = "%s"' % ip,
            'zone = "%s"' % zone, 'region = "bkk"',
            "internal_ports = [%d,%d]" % (b + 20, b + 35),
            'seeds = ["%s:%d","%s:%d"]' % (self.address(10), b + 6, self.address(11), b + 6),
            "bootstrap = true", "in_fault_budget = false", 'discovery = "local"',
            'entry = "announce"', "heartbeat_ms = %d" % self.heartbeat_ms,
            'contracts = ["base","drain","config","cost","recover","flows","platform"]',
            'ecmp_hash = "mod"', 'deploy_mode = "agent"',
        ]
        if service:
            lines += ['app = "%s:%d"' % (ip, b + 5), 'service = "%s"' % service]
        lines += ["[zones]"] + ['%s = "bkk"' % z for z in self.zones]
        lines += ["[listen_addrs]", 'datagram_addr = "%s:%d"' % (ip, b + 2),
                  'ready_addr = "%s:%d"' % (ip, b + 7), 'control = "%s:%d"' % (ip, b + 6)]
        if service:
            lines += ['outbound = "%s:%d"' % (ip, b + 3)]
        lines += ["[limits]", "cpu_share = 0.25", "cores = 1", "memory_mb = 260", "max_fds = 4100",
                  "link_mbps = 1000.0", "disk_mb = 0", "[fault_tolerance]", "machines = 1",
                  "zones = 0", "regions = 0", "[bounds]"]
        lines += ["%s = %s" % item for item in self.bounds.items()]
        lines += ["[platform]", 'address = "%s:%d"' % (self.address(1), self.base),
                  'deploy_mode = "kv"', "writes_per_s = 400", "reads_per_s = 2000",
                  "history_s = 20", "value_bytes = 1048576", "ttl_min_ms = 1000"]
        path = os.path.join(self.temporary, name + ".toml")
        with open(path, "w") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start(self, role, name, last, zone, service=None, stdout=None):
        """Starts a process of the project as the deploy file says."""
        path = self.settings(name, last, zone, "side" if service else "edge", service)
        repository = os.path.dirname(os.path.dirname(os.path.abspath(self.folder)))
        binary = os.path.join(repository, "target/release/bamboowind")
        if not os.path.exists(binary):
            raise FileNotFoundError("target/release/bamboowind is not built")
        output = stdout if stdout is not None else open(os.path.join(self.temporary, name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        process = subprocess.Popen(
            [binary, "platform", role], cwd=repository, stdin=subprocess.DEVNULL, stdout=output,
            stderr=subprocess.STDOUT if stdout is None else subprocess.DEVNULL,
            env={**environment, "BAMBOOWIND_CONFIG": path})
        self.processes.append(process)
        self.names[process.pid] = name
        self.note("platform: started %s %s" % (role, name))
        return process

    def start_host(self, name, last, zone, service, capacity, work_ms, records_packets=False):
        """Starts a host on the side machine `last`."""
        ip, b = self.address(last), self.base
        settings = {"id": name, "app": [ip, b + 5], "outbound": [ip, b + 3],
                    "control": [ip, b + 6], "zone": zone, "service": service,
                    "capacity": capacity, "work_ms": work_ms, "heartbeat_ms": self.heartbeat_ms,
                    "records_packets": records_packets,
                    "record": os.path.join(self.temporary, "hosts.jsonl")}
        process = subprocess.Popen(
            [sys.executable, os.path.abspath(__file__), "host", json.dumps(settings)],
            stdin=subprocess.PIPE, stdout=subprocess.DEVNULL)
        self.processes.append(process)
        self.names[process.pid] = name
        self.note("host: started %s of %s on machine %d" % (name, service, last))
        return process

    def host_record(self):
        path = os.path.join(self.temporary, "hosts.jsonl")
        if not os.path.exists(path):
            return []
        with open(path) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def is_ready(self, last):
        try:
            connection = http.client.HTTPConnection(self.address(last), self.base + 7, timeout=0.4)
            connection.request("GET", "/api/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def rotation(self, lasts):
        """Starts the routers' probes, twice per second; returns the balancers in rotation."""
        state = {last: [False, 0] for last in lasts}

        def probe(last):
            while True:
                if self.is_ready(last):
                    state[last] = [True, 0]
                else:
                    missed = state[last][1] + 1
                    state[last] = [state[last][0] and missed < 2, missed]
                time.sleep(0.5)

        for last in lasts:
            threading.Thread(target=probe, args=(last,), daemon=True).start()

        def ready():
            chosen = [last for last in lasts if state[last][0]]
            if 2 * len(chosen) < len(lasts):
                chosen = lasts
            return [(self.address(last), self.base + 2) for last in chosen]

        return ready, state

    def wait_until(self, what, condition, timeout_s=20):
        ends = time.monotonic() + timeout_s
        while time.monotonic() < ends:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(what)

    def end(self):
        """Ends all processes that this deployment started, by their ids."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.store.closed = True
        self.note("all processes ended")
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.temporary, ignore_errors=True)


BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 4000, "ack_ms": 5000,
                "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
                "config_ms": 3000, "downgrade_ms": 250, "max_skew_ms": 12000, "recovery_s": 12,
                "stray_ms": 2000, "max_flow_s": 60}


def configuration(version, routes):
    """The operator's configuration: `routes` maps (address, port) to a service."""
    return {
        "version": version,
        "routes": [{"name": "r-%d" % index, "host": host, "prefix": "/%d/" % port,
                    "type": "idempotent", "timeout_ms": 5000, "target_latency_ms": 500,
                    "priority": 2, "service": service, "max_attempts": 2}
                   for index, ((host, port), service) in enumerate(routes.items())],
        "services": [{"name": service, "health_path": "/health", "max_conns": 2000,
                      "protocol": "h1", "tls": False} for service in sorted(set(routes.values()))],
        "limits": {"idle_timeout_ms": 15000},
    }


if __name__ == "__main__" and sys.argv[1:2] == ["host"]:
    host = Host(json.loads(sys.argv[2]))

    def end_with_the_script():
        sys.stdin.read()
        os._exit(0)

    threading.Thread(target=end_with_the_script, daemon=True).start()
    host.serve()
