"""A randomised soak of the entry daemon: real processes on loopback, faults from outside.

    python3 -m soak.soak --first 1 --seeds 50 --seconds 12

Run it in tests/. Each seed makes its own schedule of faults: processes are paused, killed,
stopped and started again, connections are delayed, cut, silenced and reset by a proxy, and
the stand-in of the store is down, slow, forgetful or loses answers. What callers and
backends saw is checked after each seed (checks.py). Only processes that the soak started
are ended. The system clock is not stepped: that would need rights on the machine."""

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from deployment import ENTRY, free_ports
from platform_standin import Quiet, Server, Store
from soak import checks
from soak.callers import Connection, new_attempt
from soak.faults import RESTORE_AGE, make_schedule
from soak.proxy import Mode, Proxy

DAEMONS = 3
BACKENDS = 4
CALLERS_PER_DAEMON = 4
MOST_CALLERS = 120  # of all daemons, which one Python process can play in time
BACKEND_SCRIPT = pathlib.Path(__file__).parent / "backend.py"
STORE_SLOWNESS_S = 0.4
RETURN_S = 1.0       # lapsed entries are back after the store's return
POLL_S = 0.05
QUIET_S = 4.0        # without faults at the end, for what still runs
LINK_MODES = {"link_delayed": Mode.DELAYED, "link_cut_forward": Mode.CUT_FORWARD,
              "link_cut_backward": Mode.CUT_BACKWARD, "link_silent": Mode.SILENT}


class Cloud:
    """The platform's calls for duties; keeps what it was told."""

    def __init__(self):
        self.calls = []
        self.server = Server(CloudHandler, self)


class CloudHandler(Quiet):
    def do_POST(self):
        body = self.read_body().decode()
        self.server.state.calls.append({
            "time": time.monotonic(), "target": self.path, "body": body,
            "holder": self.headers["Gooseberrypath-Duty-Holder"],
            "token": int(self.headers["Gooseberrypath-Fence-Token"])})
        self.answer(200, b"")


def configuration(version):
    def route(kind_name, kind, attempts, **more):
        return {"name": kind_name, "host": "h", "path_prefix": f"/{kind_name}/", "kind": kind,
                "timeout_ms": 2800, "target_latency_ms": 500, "service": "shop",
                "max_attempts": attempts, **more}
    return {"version": version,
            "routes": [route("pickups", "non_idempotent", 1),
                       route("status", "idempotent", 2),
                       route("plans", "streaming", 2, resumable=True)],
            "services": [{"name": "shop", "health_path": "/health", "max_conns": 200}],
            "tenants": [{"name": "acme", "api_keys": ["k1", f"gen{version}"]}]}


class BackendProcess:
    def __init__(self, name, folder):
        self.name = name
        self.runs = folder / f"runs-{name}"
        self.runs.touch()
        (port,) = free_ports(1)
        self.proxy = Proxy("127.0.0.1", f"127.0.0.1:{port}")
        self.process = subprocess.Popen(
            [sys.executable, BACKEND_SCRIPT, name, str(port), self.runs])
        self.sequence = 0
        self.is_leaving = False

    def close_proxies(self):
        self.proxy.close()

    def read_runs(self):
        lines = (line.split() for line in self.runs.read_text().splitlines())
        return [(float(at), request) for at, request in lines]


class DaemonProcess:
    """One daemon at a loopback address of its own, with proxies before and behind it."""

    def __init__(self, number, folder, ports, seeds):
        self.number = number
        self.folder = folder
        self.ip = f"127.0.0.{number + 2}"
        self.front, self.ready, self.peer = ports
        self.seeds = seeds
        self.starts = 0
        self.process = None
        self.is_up = False
        self.is_paused = False
        self.callers = Proxy(self.ip, f"{self.ip}:{self.front}")
        self.store = None

    def close_proxies(self):
        self.callers.close()
        self.store.close()

    def write_settings(self, cloud, reverse=False):
        seeds = self.seeds[::-1] if reverse else self.seeds
        lines = {"node": f"d{self.number}", "zone": "a", "zones.a": "r", "ip": self.ip,
                 "listen.front": f"{self.ip}:{self.front}",
                 "listen.ready": f"{self.ip}:{self.ready}",
                 "port_range": f"{self.peer},{self.peer}", "seeds": ",".join(seeds),
                 "platform.address": self.store.address, "cloud_api.address": cloud,
                 "cloud_api.duties": "usage_report", "bounds.grace_s": 8,
                 "bounds.lease_ms": 3000, "bounds.usage_window_s": 2,
                 "bounds.retry_budget_extra": 50}
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        (self.folder / f"d{self.number}.conf").write_text(text, encoding="utf-8")

    def start(self):
        self.starts += 1
        with open(self.folder / f"d{self.number}.log", "ab") as log:
            self.process = subprocess.Popen(
                [ENTRY, self.folder / f"d{self.number}.conf"], stdout=log, stderr=log)
        self.is_up = True


class Soak:
    def __init__(self, seed, seconds, folder, restores=False, daemons=DAEMONS):
        self.seconds = seconds
        self.daemon_count = daemons
        self.folder = folder
        self.chance = random.Random(seed)
        self.faults = make_schedule(seed, seconds, restores)
        self.store = Store()
        self.cloud = Cloud()
        self.backends = []
        self.daemons = []
        self.version = 1
        self.attempts = []
        self.probes = []
        self.stops = []
        self.pauses = []     # host, begin, end
        self.leavings = {}   # backend to when it said so
        self.start = 0.0
        self.is_over = False
        self.link_ends = collections.Counter()  # open faults of a proxy

    async def run(self):
        await self._set_up()
        self.start = time.monotonic()
        callers = [asyncio.create_task(self._call(daemon, caller))
                   for daemon in self.daemons for caller in range(self._callers())]
        callers += [asyncio.create_task(self._probe(daemon)) for daemon in self.daemons]
        await asyncio.gather(*(self._play(fault) for fault in self.faults))
        await asyncio.sleep(max(0, self.start + self.seconds - time.monotonic()) + QUIET_S)
        self.is_over = True
        await asyncio.gather(*callers)
        for one in [*self.daemons, *self.backends]:
            one.close_proxies()
        await asyncio.sleep(0.1)  # their connections end
        return self._check()

    def _callers(self):
        return max(1, min(CALLERS_PER_DAEMON, MOST_CALLERS // self.daemon_count))

    async def _set_up(self):
        self.store.put_config(configuration(self.version))
        for _ in range(BACKENDS):
            await self._add_backend()
        ports = free_ports(3)
        ips = [f"127.0.0.{i + 2}" for i in range(self.daemon_count)]
        for i in range(self.daemon_count):
            daemon = DaemonProcess(i, self.folder, ports, [f"{ip}:1" for ip in ips])
            daemon.store = Proxy("127.0.0.1", self.store.address)
            await daemon.store.start()
            await daemon.callers.start()
            daemon.write_settings(self.cloud.server.address)
            daemon.start()
            self.daemons.append(daemon)
        await asyncio.sleep(1)

    def close(self):
        for one in [*self.daemons, *self.backends]:
            if one.process.poll() is None:
                one.process.send_signal(signal.SIGCONT)
                one.process.kill()
            one.process.wait()
        self.store.close()
        self.cloud.server.close()

    async def _add_backend(self):
        backend = BackendProcess(f"b{len(self.backends)}", self.folder)
        self.backends.append(backend)
        await backend.proxy.start()
        await asyncio.sleep(0.2)  # it must listen before it says so
        self._announce(backend)

    def _announce(self, backend, state="ready"):
        backend.sequence += 1
        self.store.put_backend(backend.name, backend.proxy.address, state, backend.sequence)

    # Callers.

    async def _call(self, daemon, caller):
        chance = random.Random(f"{daemon.number}/{caller}/{self.faults}")
        connection = Connection(daemon.callers.address)
        while not self.is_over:
            kind = chance.choice(["pickups", "status", "status", "plans"])
            attempt = new_attempt(kind, daemon.number, daemon.starts, "k1",
                                  chance.randint(1, 30))
            await connection.call(attempt)
            self.attempts.append(attempt)
            await asyncio.sleep(chance.uniform(0.005, 0.06 if attempt.is_whole else 0.3))
        connection.close()

    async def _probe(self, daemon):
        """Asks with keys of single versions, which tell the version in force."""
        connection = Connection(daemon.callers.address)
        while not self.is_over:
            version = max(1, self.version - random.randint(0, 2))
            probe = new_attempt("status", daemon.number, daemon.starts, f"gen{version}", 1)
            await connection.call(probe)
            self.probes.append(probe)
            await asyncio.sleep(0.1)
        connection.close()

    # Faults. Each method plays one kind from its begin to its end.

    async def _play(self, fault):
        await asyncio.sleep(max(0, self.start + fault.at - time.monotonic()))
        # On a busy machine faults begin and end later than in the schedule. The checks
        # need the times at which they were there.
        fault.at = time.monotonic() - self.start
        if fault.kind.startswith("link_"):
            await self._play_link(fault)
        else:
            await getattr(self, "_" + fault.kind)(fault)

    async def _hold(self, fault):
        """Waits for the length of the fault, and notes how long it really was there."""
        await asyncio.sleep(fault.length)
        fault.length = time.monotonic() - self.start - fault.at

    def _daemon(self, fault):
        return self.daemons[fault.target % len(self.daemons)]

    def _backend(self, fault):
        sound = [b for b in self.backends if not b.is_leaving]
        return sound[fault.target % len(sound)]

    async def _play_link(self, fault):
        daemon = self._daemon(fault)
        links = [daemon.callers, daemon.store, self._backend(fault).proxy]
        link = links[fault.target // 7 % len(links)]
        if fault.kind == "link_reset":
            link.reset()
            return
        link.mode = LINK_MODES[fault.kind]
        self.link_ends[link] += 1
        await self._hold(fault)
        self.link_ends[link] -= 1
        if self.link_ends[link] == 0:
            link.mode = Mode.PASS

    async def _daemon_pause(self, fault):
        daemon = self._daemon(fault)
        if not daemon.is_up:
            return
        process = daemon.process
        began = time.monotonic()
        process.send_signal(signal.SIGSTOP)
        daemon.is_paused = True
        await self._hold(fault)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
        daemon.is_paused = False
        self.pauses.append((f"d{daemon.number}", began, time.monotonic()))

    async def _daemon_kill(self, fault):
        daemon = self._daemon(fault)
        if not daemon.is_up:
            return
        daemon.is_up = False
        daemon.process.kill()
        daemon.process.wait()
        await self._hold(fault)
        daemon.start()

    async def _daemon_stop(self, fault):
        daemon = self._daemon(fault)
        if not daemon.is_up:
            return
        daemon.is_up = False
        stop = {"daemon": daemon.number, "process": daemon.starts,
                "began": time.monotonic(), "code": None}
        self.stops.append(stop)
        daemon.process.send_signal(signal.SIGTERM)
        left = checks.GRACE_S
        while daemon.process.poll() is None and left > 0:
            await asyncio.sleep(POLL_S)
            left -= 0 if daemon.is_paused else POLL_S
        stop["code"] = daemon.process.poll()
        if stop["code"] is None:
            daemon.process.send_signal(signal.SIGCONT)
            daemon.process.kill()
            daemon.process.wait()
        daemon.start()

    async def _daemon_reload(self, fault):
        daemon = self._daemon(fault)
        daemon.write_settings(self.cloud.server.address, reverse=fault.target % 2 == 0)
        if daemon.process.poll() is None:
            daemon.process.send_signal(signal.SIGHUP)

    async def _backend_pause(self, fault):
        process = self._backend(fault).process
        process.send_signal(signal.SIGSTOP)
        await self._hold(fault)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def _backend_kill(self, fault):
        backend = self._backend(fault)
        backend.is_leaving = True
        backend.process.kill()
        backend.proxy.close()
        await self._hold(fault)
        self.store.put("keyed.servers", backend.name, None)
        await self._add_backend()

    async def _backend_drain(self, fault):
        backend = self._backend(fault)
        backend.is_leaving = True
        await self._add_backend()
        self._announce(backend, "draining")
        self.leavings[backend.name] = time.monotonic()
        await self._hold(fault)
        self.store.put("keyed.servers", backend.name, None)
        backend.process.kill()

    async def _store_down(self, fault):
        self.store.is_down = True
        await self._hold(fault)
        self.store.is_down = False

    async def _store_lapse(self, fault):
        await self._store_down(fault)
        sound = [b for b in self.backends if not b.is_leaving]
        for backend in sound:
            self.store.put("keyed.servers", backend.name, None)
        await asyncio.sleep(RETURN_S)
        for backend in sound:
            if not backend.is_leaving:
                self._announce(backend)

    async def _store_slow(self, fault):
        self.store.delay = STORE_SLOWNESS_S
        await self._hold(fault)
        self.store.delay = 0

    async def _store_loses_answers(self, fault):
        self.store.loses_answers = True
        await self._hold(fault)
        self.store.loses_answers = False

    async def _store_forgets(self, _):
        self.store.forget_history()

    async def _store_restored(self, fault):
        """The store comes back from a copy; what was lost is written again."""
        await self._store_down(fault)
        self.store.go_back(random.Random(fault.target).uniform(*RESTORE_AGE))
        await asyncio.sleep(random.Random(fault.target + 1).uniform(0, RETURN_S))
        self.store.put_config(configuration(self.version))
        for backend in self.backends:
            if backend.process.poll() is None:
                self._announce(backend, "draining" if backend.is_leaving else "ready")
            else:
                self.store.put("keyed.servers", backend.name, None)

    async def _config_change(self, _):
        self.version += 1
        self.store.put_config(configuration(self.version))

    # The end.

    def _check(self):
        runs_of = {backend.name: backend.read_runs() for backend in self.backends}
        runs = [run for one in runs_of.values() for run in one]
        everything = self.attempts + self.probes
        return [*checks.check_runs(everything, runs),
                *checks.check_answers(everything),
                *checks.check_leaving(self.leavings, runs_of, self.faults, self.start),
                *checks.check_stops(self.stops, everything, runs, self.faults, self.start),
                *checks.check_configuration(self.probes),
                *checks.check_duties(self.cloud.calls, self.pauses)]

    def summary(self):
        served = sum(1 for one in self.attempts if one.is_whole and one.status == 200)
        return (f"{len(self.faults)} faults, {len(self.attempts)} calls, {served} served, "
                f"{len(self.stops)} planned stops, {len(self.cloud.calls)} reports")


def run_seed(seed, seconds, restores=False, daemons=DAEMONS):
    """Plays one seed; returns (what broke, a summary, the folder with the logs)."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed, seconds, folder, restores, daemons)
    try:
        broken = asyncio.run(soak.run())
        return broken, soak.summary(), folder
    finally:
        soak.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds are played")
    parser.add_argument("--seconds", type=float, default=12, help="of calls a seed")
    parser.add_argument("--restores", action="store_true",
                        help="the store also goes back to a copy")
    parser.add_argument("--daemons", type=int, default=DAEMONS, help="processes a seed")
    options = parser.parse_args()
    failed = []
    for seed in range(options.first, options.first + options.seeds):
        broken, summary, folder = run_seed(seed, options.seconds, options.restores,
                                           options.daemons)
        print(f"seed {seed}: {summary}, {len(broken)} broken; logs in {folder}", flush=True)
        for text in broken[:10]:
            print("   ", text, flush=True)
        if broken:
            failed.append(seed)
    print(f"{options.seeds - len(failed)} of {options.seeds} seeds held; failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
