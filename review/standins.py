"""Stand-ins for the platform's store, hosts and clients, and a runner for the daemons."""
import base64, http.client, json, os, random, select, signal, socket, struct, subprocess, threading, time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import urlparse, parse_qs

FIN, SYN, ACK, RST, BOUNCED = 1, 2, 8, 16, 64
HEAD = struct.Struct('<IIHB5sIHHIII')  # seq ack len flags pad dst dport sport src sum echo
PACKETS, READY, CONTROL, OUTBOUND, APP, STORE = 8172, 8167, 8166, 8162, 8165, 8169
SERVICE_IP, SERVICE_PORT = '127.200.0.1', 443
ip_int = lambda ip: struct.unpack('>I', socket.inet_aton(ip))[0]
int_ip = lambda n: socket.inet_ntoa(struct.pack('>I', n))


def packet(src, sport, dst, dport, flags, seq, ack, data=b'', total=1):
    return HEAD.pack(seq & 0xffffffff, ack & 0xffffffff, len(data), flags, bytes(5), ip_int(dst), dport,
                     sport, ip_int(src), total, 0) + data


class Record:
    def __init__(self, path):
        self.file, self.lock, self.t0 = open(path, 'w'), threading.Lock(), time.monotonic()

    def now(self):
        return time.monotonic() - self.t0

    def __call__(self, text):
        with self.lock:
            self.file.write('%8.3f %s\n' % (self.now(), text))
            self.file.flush()


class Store:
    """The platform's metadata store, as its page describes it; each machine may have an address of its own."""
    def __init__(self, ips, record):
        self.rev, self.items, self.leases, self.next_lease = 10, {}, {}, 100
        self.changed = threading.Condition()
        self.history = []
        self.away, self.renewals = set(), []   # addresses that are turned away; (time, lease) of each renewal
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            def log_message(self, *a): pass
            def reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(data)))
                self.send_header('Store-Era', '1')
                self.end_headers()
                self.wfile.write(data)
            def handle_any(self):
                url = urlparse(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                length = int(self.headers.get('Content-Length') or 0)
                body = json.loads(self.rfile.read(length)) if length else {}
                try:
                    away = self.server.server_address[0] in store.away
                    self.reply(*((503, {'error': 'busy'}) if away else store.call(self.command, url.path, query, body)))
                except (BrokenPipeError, ConnectionResetError):
                    self.close_connection = True
            do_GET = do_POST = do_DELETE = handle_any

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128
            def handle_error(self, *a): pass
        for ip in ips:
            threading.Thread(target=Server((ip, STORE), Handler).serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                for lease in [l for l, (until, _) in self.leases.items() if until < time.monotonic()]:
                    self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == str(lease)]:
            self.rev += 1
            del self.items[key]
            self.history.append({'key': key, 'revision': self.rev, 'deleted': True})
        self.changed.notify_all()

    def turn_away(self, ip, key, for_s):
        """Turns the machine at `ip` away for some time and takes its key away at once."""
        self.away.add(ip)
        with self.changed:
            self.end(int(self.items[key]['lease']))
        time.sleep(for_s)
        self.away.discard(ip)

    def write(self, key, value, lease='0'):
        with self.changed:
            self.put(key, base64.b64encode(value).decode(), lease)

    def put(self, key, value, lease):
        self.rev += 1
        made = self.items.get(key, {}).get('create_rev', self.rev)
        item = {'key': key, 'value': value, 'revision': self.rev, 'create_rev': made, 'lease': lease}
        self.items[key] = item
        self.history.append(item)
        self.changed.notify_all()

    def call(self, method, path, query, body):
        show = lambda i: dict(i, lease=int(i['lease']))
        with self.changed:
            if path == '/api/kv-key':
                item = self.items.get(query['key'])
                return (200, dict(show(item), current_rev=self.rev)) if item else (404, {})
            if path == '/api/kv-range':
                items = [show(i) for k, i in sorted(self.items.items())
                         if k.startswith(query['prefix']) and k > query.get('after', '')]
                return 200, {'items': items, 'has_more': False, 'current_rev': self.rev}
            if path == '/api/kv-watch':
                until = time.monotonic() + int(query['wait_ms']) / 1000
                while True:
                    events = [e if 'deleted' in e else show(e) for e in self.history
                              if e['key'].startswith(query['prefix']) and e['revision'] > int(query['after'])]
                    left = until - time.monotonic()
                    if events or left <= 0:
                        return 200, {'events': events, 'current_rev': self.rev}
                    self.changed.wait(left)
            if path == '/api/kv-lease':
                self.next_lease += 1
                self.leases[self.next_lease] = (time.monotonic() + body['ttl_ms'] / 1000, body['ttl_ms'])
                return 200, {'lease': self.next_lease, 'ttl_ms': body['ttl_ms']}
            if path.startswith('/api/kv-keep/'):
                lease = int(path.rsplit('/', 1)[1])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                self.renewals.append((time.monotonic(), lease))
                return 200, {'ttl_ms': ttl}
            if path.startswith('/api/kv-lease-end/'):
                self.end(int(path.rsplit('/', 1)[1]))
                return 200, {}
            if path == '/api/kv-txn':
                for write in body['writes']:
                    if write.get('lease') and write['lease'] not in self.leases:
                        return 404, {}
                for write in body['writes']:
                    self.put(write['key'], write['value'], str(write.get('lease') or 0))
                return 200, {'revision': self.rev}
        return 404, {}


class Host:
    """A host beside an agent: holds flows, answers requests, returns what it does not hold."""
    def __init__(self, name, ip, service, zone, beat_s, record):
        self.name, self.ip, self.service, self.zone, self.beat_s, self.record = name, ip, service, zone, beat_s, record
        self.id, self.born, self.seq, self.state = 'i-%08x' % random.getrandbits(32), int(time.time() * 1000), 0, 'ready'
        self.flows = {}      # key -> [own seq at handshake, opened, next seq expected, own next seq]
        self.arrivals = []   # (time, key, held)
        self.runs = []
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((ip, APP))
        self.stopped = False
        threading.Thread(target=self.serve, daemon=True).start()
        threading.Thread(target=self.beats, daemon=True).start()

    def beats(self):
        while not self.stopped:
            started = time.monotonic()
            self.seq += 1
            body = {'service': self.service, 'address': '%s:%d' % (self.ip, APP), 'zone': self.zone, 'version': 'v1',
                    'capacity': 5, 'state': self.state, 'warmup_left_ms': 0, 'seq': self.seq, 'born': self.born}
            try:
                conn = http.client.HTTPConnection(self.ip, CONTROL, timeout=1)
                conn.request('POST', '/api/Instances.Heartbeat/' + self.id, json.dumps(body), {'Content-Type': 'application/json'})
                status = conn.getresponse().status
                conn.close()
            except OSError as error:
                status = type(error).__name__
            self.record('host %s beat %d %s: %s' % (self.name, self.seq, self.state, status))
            time.sleep(max(0.0, self.beat_s - (time.monotonic() - started)))

    def serve(self):
        while not self.stopped:
            data, _ = self.sock.recvfrom(4096)
            seq, ack, length, flags, pad, dst, dport, sport, src, total, echo = HEAD.unpack_from(data)
            key = (int_ip(src), sport)
            flow = self.flows.get(key)
            send = lambda f, s, a, d=b'': self.sock.sendto(
                packet(int_ip(dst), dport, int_ip(src), sport, f, s, a, d), (self.ip, OUTBOUND))
            if flags & SYN and not flags & ACK:
                if flow is None:
                    flow = self.flows[key] = [random.getrandbits(32), False, (seq + 1) & 0xffffffff, 0]
                    flow[3] = (flow[0] + 1) & 0xffffffff
                send(SYN | ACK, flow[0], flow[2])
                continue
            if flow is not None and not flow[1] and ack == (flow[0] + 1) & 0xffffffff:
                flow[1] = True
                self.record('host %s holds the flow of %s:%d' % (self.name, *key))
            held = flow is not None and flow[1]
            if flags & RST:
                continue
            self.arrivals.append((self.record.now(), key, held))
            if not held:
                self.record('host %s returns a packet of %s:%d' % (self.name, *key))
                back = HEAD.pack(seq, ack, length, flags | BOUNCED, bytes(5), dst, dport, sport, src, total, echo)
                self.sock.sendto(back + data[HEAD.size:], (self.ip, OUTBOUND))
                continue
            if length:
                if seq == flow[2]:
                    flow[2] = (flow[2] + length) & 0xffffffff
                    request = [l.split(b':')[1].strip().decode() for l in data[HEAD.size:].split(b'\r\n') if l.lower().startswith(b'request-id')][0]
                    self.runs.append(request)
                    self.record('host %s runs %s of %s:%d' % (self.name, request, *key))
                    flow.append((flow[3], request))
                    flow[3] = (flow[3] + len(self.answer(request))) & 0xffffffff
                first, request = flow[-1]
                send(ACK, first, flow[2], self.answer(request))

    def answer(self, request):
        body = ('%s:%s' % (self.name, request)).encode()
        return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\nRequest-Id: %s\r\n\r\n' % (len(body), request.encode()) + body


class Daemon:
    """A daemon of the system; restarted some time after it exits, as the platform does."""
    def __init__(self, name, role, ip, zone, store_ip, folder, record, service=None, beat_ms=770, seeds=(), delay_s=0.5):
        self.name, self.role, self.ip, self.record, self.delay_s = name, role, ip, record, delay_s
        self.path = os.path.join(folder, name + '.toml')
        side = role == 'agent'
        text = f'node_name = "{name}"\nrole = "{role}"\nmachine_class = "{"side" if side else "edge"}"\nip = "{ip}"\nzone = "{zone}"\nregion = "r"\n'
        text += f'internal_ports = [7720,7735]\nseeds = {json.dumps(list(seeds))}\nbootstrap = true\nheartbeat_ms = {beat_ms}\necmp_hash = "mod"\ndeploy_mode = "agent"\n'
        if side:
            text += f'app = "{ip}:{APP}"\nservice = "{service}"\n'
        text += f'[listen_addrs]\ndatagram_addr = "{ip}:{PACKETS}"\nready_addr = "{ip}:{READY}"\n'
        if side:
            text += f'outbound = "{ip}:{OUTBOUND}"\ncontrol = "{ip}:{CONTROL}"\n'
        text += f'[platform]\naddress = "{store_ip}:{STORE}"\n'
        open(self.path, 'w').write(text)
        self.log = open(os.path.join(folder, name + '.log'), 'ab')
        self.process, self.ended = None, False
        self.start()
        threading.Thread(target=self.watch, daemon=True).start()

    def start(self):
        self.process = subprocess.Popen([os.path.abspath('target/release/bamboowind'), 'platform', self.role], 
                                        env={'BAMBOOWIND_CONFIG': self.path, 'PATH': os.environ['PATH']}, stdout=self.log, stderr=self.log)
        self.record('platform starts %s' % self.name)

    def watch(self):
        while not self.ended:
            code = self.process.wait()
            if self.ended:
                return
            self.record('%s exited: %s' % (self.name, code))
            time.sleep(self.delay_s)
            if not self.ended:
                self.start()

    def signal(self, number):
        self.record('platform sends %s to %s' % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def ready(self):
        try:
            conn = http.client.HTTPConnection(self.ip, READY, timeout=0.3)
            conn.request('GET', '/api/ready')
            status = conn.getresponse().status
            conn.close()
            return status == 200
        except OSError:
            return False

    def end(self):
        self.ended = True
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Fabric:
    """The platform's routers: probes readiness and hashes flows over the daemons in rotation."""
    def __init__(self, balancers):
        self.balancers, self.misses = balancers, [2] * len(balancers)
        threading.Thread(target=self.probe, daemon=True).start()

    def probe(self):
        while True:
            started = time.monotonic()
            for index, balancer in enumerate(self.balancers):
                self.misses[index] = 0 if balancer.ready() else self.misses[index] + 1
            time.sleep(max(0.0, 0.5 - (time.monotonic() - started)))

    def choose(self, key):
        live = [b for b, m in zip(self.balancers, self.misses) if m < 2]
        if len(live) * 2 < len(self.balancers):
            live = self.balancers
        return live[hash(key) % len(live)]


class Flow:
    def __init__(self, ip, port):
        self.ip, self.port, self.state = ip, port, 'new'
        self.isn = random.getrandbits(32)
        self.seq, self.ack, self.copies, self.began = self.isn, 0, 0, 0.0
        self.due, self.wait, self.sent_at, self.data, self.count = 0.0, 0.0, 0.0, None, 0

    def key(self):
        return self.ip, self.port


class Clients:
    """Clients that keep their flows open and send a request on them now and then."""

    def __init__(self, ips, fabric, record, deadline_s=5.0):
        self.fabric, self.record, self.deadline_s = fabric, record, deadline_s
        self.flows, self.todo, self.lock = {}, [], threading.Lock()
        self.outcomes = {'answered': 0, 'reset': 0, 'silent': 0, 'not opened': 0}
        self.socks = {}
        for ip in ips:
            self.socks[ip] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.socks[ip].bind((ip, PACKETS))
        self.stopped = False
        threading.Thread(target=self.run, daemon=True).start()

    def open(self, ip, port):
        with self.lock:
            self.flows[ip, port] = Flow(ip, port)

    def request(self, key):
        with self.lock:
            self.todo.append(key)

    def send(self, flow, flags, data=b'', ack=None):
        to = self.fabric.choose(flow.key())
        raw = packet(flow.ip, flow.port, SERVICE_IP, SERVICE_PORT, flags, flow.seq, flow.ack if ack is None else ack, data)
        self.socks[flow.ip].sendto(raw, (to.ip, PACKETS))

    def finish(self, flow, outcome, state='open'):
        self.outcomes[outcome] += 1
        flow.state, flow.data = state, None
        self.record('client %s:%d %s' % (*flow.key(), outcome))

    def run(self):
        while not self.stopped:
            ready, _, _ = select.select(list(self.socks.values()), [], [], 0.005)
            for sock in ready:
                self.handle(sock.recv(4096))
            with self.lock:
                flows, todo, self.todo = list(self.flows.values()), self.todo, []
            now = time.monotonic()
            for key in todo:
                flow = self.flows[key]
                if flow.state == 'open' and flow.data is None:
                    flow.count += 1
                    name = 'r-%s-%d-%d' % (flow.ip, flow.port, flow.count)
                    flow.data = ('POST /edit HTTP/1.1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n' % name).encode()
                    flow.sent_at = flow.due = now
                    flow.wait = 0.2
                    self.record('client %s:%d sends %s' % (*flow.key(), name))
            for flow in flows:
                self.step(flow, now)

    def step(self, flow, now):
        if flow.state == 'new':
            flow.state, flow.began = 'opening', now
        if flow.state == 'opening':
            if flow.copies < 3 and now - flow.began >= (0, 0.2, 0.6)[flow.copies]:
                self.send(flow, SYN, ack=flow.copies)
                flow.copies += 1
            elif now - flow.began > 1.4:
                self.finish(flow, 'not opened', 'closed')
        elif flow.state == 'open' and flow.data is not None:
            if now - flow.sent_at > self.deadline_s:
                self.finish(flow, 'silent', 'closed')
            elif now >= flow.due:
                self.send(flow, ACK, flow.data)
                flow.due, flow.wait = now + flow.wait, min(flow.wait * 2, 1.6)

    def handle(self, raw):
        if len(raw) < HEAD.size:
            return
        seq, ack, length, flags, pad, dst, dport, sport, src, total, echo = HEAD.unpack_from(raw)
        flow = self.flows.get((int_ip(dst), dport))
        if flow is None or flow.state == 'closed':
            return
        if flags & RST:
            distance = (seq - flow.ack + 2**31) % 2**32 - 2**31
            self.record('client %s:%d gets a reset, sum %d, %d from its last ack' % (*flow.key(), total, distance))
            if flow.state == 'opening':
                self.finish(flow, 'not opened', 'closed')
            elif abs(distance) <= 76800:
                self.finish(flow, 'reset', 'closed')
        elif flags & SYN and flags & ACK:
            if flow.state == 'opening':
                flow.seq, flow.ack, flow.state = (flow.isn + 1) & 0xffffffff, (seq + 1) & 0xffffffff, 'open'
                self.send(flow, ACK)
                self.record('client %s:%d has a flow' % flow.key())
        elif length and flow.data is not None and seq == flow.ack:
            flow.ack, flow.seq = (flow.ack + length) & 0xffffffff, (flow.seq + len(flow.data)) & 0xffffffff
            self.send(flow, ACK)
            self.finish(flow, 'answered')


def config(store, version, service, idle_ms=60000):
    route = {'name': 'r', 'host': SERVICE_IP, 'prefix': '/%d/' % SERVICE_PORT, 'service': service, 'type': 'non_idempotent',
             'timeout_ms': 5000, 'target_latency_ms': 250, 'priority': 1}
    store.write('op/config', json.dumps({'version': version, 'routes': [route], 'services': [], 'limits': {'idle_timeout_ms': idle_ms}}).encode())


def free_net():
    """First two numbers of a loopback network on which the ports are free."""
    for _ in range(50):
        net = '127.%d.' % random.randint(20, 250)
        try:
            for ip in ('1.1', '1.2', '2.1', '2.2', '2.3', '3.1', '9.1', '9.9'):
                for port in (PACKETS, APP, STORE):
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((net + ip, port))
            return net
        except OSError:
            continue
    raise OSError('no free loopback network')
