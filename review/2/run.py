"""Open flows while the daemons beside the hosts, and the front daemons, are restarted in turn."""
import os, random, signal, sys, tempfile, threading, time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(HERE))
from standins import *

SERVICE = 'cotiza'
HOSTS, FRONTS, CLIENTS, FLOWS = 3, 2, 8, 30   # 30 flows for each client
STRAY_S = 2.0                                 # stray_ms
GAP_S = 1.0                                   # pause between two stops of a series


def series(daemons, times, record):
    """Stops the daemons in turn, one each GAP_S, `times` times over."""
    for _ in range(times):
        for daemon in daemons:
            if os.environ.get('TROUBLE') != '0':
                daemon.signal(signal.SIGTERM)
            time.sleep(GAP_S)


def astray(hosts, record):
    """Open flows of which three or more packets reached other hosts in STRAY_S, and none its own."""
    own = {key: host for host in hosts for key, flow in host.flows.items() if flow[1]}
    found = []
    for key, home in own.items():
        arrivals = sorted((at, host is home) for host in hosts for at, other, held in host.arrivals if other == key)
        sends = []   # times of the client's packets that reached only other hosts
        for at, is_home in arrivals:
            if is_home:
                sends = []
            elif not sends or at - sends[-1] > 0.1:   # one packet may visit several hosts at once
                sends.append(at)
            if len(sends) >= 3 and sends[-1] - sends[0] >= STRAY_S:
                found.append((key, home.name, ['%.3f' % at for at in sends]))
                break
    return found


def main():
    record = Record(os.path.join(HERE, 'record.txt'))
    folder = tempfile.mkdtemp()
    net = free_net()
    store = Store([net + '9.9'], record)
    config(store, 3, SERVICE)
    zones = ['ast-a', 'ast-b', 'ast-c']
    seeds = ['%s2.%d:%d' % (net, i + 1, CONTROL) for i in range(HOSTS)]
    hosts = [Host('host-%d' % i, '%s2.%d' % (net, i + 1), SERVICE, zones[i % 3], 0.77, record) for i in range(HOSTS)]
    fronts = [Daemon('edge-%d' % i, 'balancer', '%s1.%d' % (net, i + 1), zones[i % 3], net + '9.9', folder, record,
                     seeds=seeds) for i in range(FRONTS)]
    sides = [Daemon('side-%d' % i, 'agent', '%s2.%d' % (net, i + 1), zones[i % 3], net + '9.9', folder, record,
                    service=SERVICE, seeds=seeds) for i in range(HOSTS)]
    try:
        fabric = Fabric(fronts)
        time.sleep(5)
        if any(misses for misses in fabric.misses):
            record('front daemons are not ready')
            return 2
        clients = Clients(['%s3.%d' % (net, i + 1) for i in range(CLIENTS)], fabric, record)
        for number in range(FLOWS):
            for ip in list(clients.socks):
                clients.open(ip, 41000 + number)
            time.sleep(0.05)
        time.sleep(1.5)
        for key in list(clients.flows):
            clients.request(key)
            time.sleep(0.005)
        time.sleep(1)
        answered = clients.outcomes['answered']
        if answered < len(clients.flows) * 0.95:
            record('only %d first requests answered' % answered)
            return 2
        # The flows pause. Every daemon is restarted once.
        series(sides, 1, record)
        time.sleep(1)
        series(fronts, 1, record)
        time.sleep(4)
        # The daemons beside the hosts are stopped in turn, twice over; meanwhile each client goes on
        # at a time of its own.
        span_s = 2 * HOSTS * GAP_S
        order = list(clients.flows)
        random.shuffle(order)
        threading.Thread(target=series, args=(sides, 2, record), daemon=True).start()
        for key in order:
            clients.request(key)
            time.sleep(span_s / len(order))
        time.sleep(7)
        found = astray(hosts, record)
        for key, home, sends in found:
            record('ASTRAY flow of %s:%d, open at %s: packets reached other hosts only, at %s' % (*key, home, ', '.join(sends)))
        ends = [d.name for d in fronts + sides if d.process.poll() not in (None, 0)]
        record('outcomes %s; flows astray: %d; daemons that failed: %s' % (clients.outcomes, len(found), ends))
        print('outcomes %s; flows astray: %d' % (clients.outcomes, len(found)))
        return 1 if found else 0
    finally:
        for daemon in fronts + sides:
            daemon.end()


if __name__ == '__main__':
    try:
        code = main()
    except Exception as error:   # the case couldn't run
        print('could not run: %r' % error)
        code = 2
    sys.stdout.flush()
    os._exit(code)
