"""Starts entry daemons with the command of the deploy file on loopback addresses, and holds
the record of a case. The stand-in of the platform's store is the project's own.

    with Case(__file__) as case:
        store = case.add(Store())
        daemon = case.start_daemon("edge-a-1", store)
        case.record("sent", "...")
        case.end(broken=False)
"""

import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests"))
PROGRAM = "target/gooseberrypath-entry"  # `run` of deploy/system.toml

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

# As in the settings of a small deployment.
BOUNDS = """\
heartbeat_ms=1200
fault_counted=false
bootstrap=true
discovery=platform
entry=vip
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,platform
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_extra=56
bounds.quota_window_s=8
bounds.quota_overshoot=0.1
bounds.quota_slack=140000
bounds.require_fence=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.usage_window_s=5
bounds.usage_tolerance=0.05
bounds.usage_late_s=10
bounds.recover_s=12
bounds.pass_ms=120
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=32
platform.append_ms=2.0
platform.part_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
"""


def free_port(host):
    """Returns a TCP and UDP port of the address that was free a moment ago."""
    while True:
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            stream.bind((host, 0))
            port = stream.getsockname()[1]
            try:
                datagram.bind((host, port))
            except OSError:
                continue
            return port


class Daemon:
    """One entry daemon with its settings file."""

    def __init__(self, case, name, host, zone, store, cloud, ports, seeds, duties):
        self.name = name
        self.host = host
        self.zone = zone
        self.front, self.ready, self.control, self.peer = ports
        self.folder = case.folder / name
        self.folder.mkdir(exist_ok=True)
        self.settings = self.folder / "settings.conf"
        lines = [f"node={name}", "role=entry", "machine_class=edge",
                 "serves=edge,control_plane", f"ip={host}", f"zone={zone}", "region=r",
                 "zones.a=r", "zones.b=r", "zones.c=r",
                 f"listen.front={host}:{self.front}", f"listen.ready={host}:{self.ready}",
                 f"listen.control={host}:{self.control}",
                 f"port_range={self.peer},{self.peer}", "seeds=" + ",".join(seeds),
                 f"platform.address={store.address}"]
        if cloud is not None:
            lines += [f"cloud_api.address={cloud.address}", "cloud_api.rate_per_s=50.0",
                      "cloud_api.duties=" + ",".join(duties), "cloud_api.duty_per_s=50.0"]
        self.settings.write_text("\n".join(lines) + "\n" + BOUNDS, encoding="utf-8")
        self.process = None
        self.start()

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["GOOSEBERRYPATH_SETTINGS"] = str(self.settings)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen([str(ROOT / PROGRAM)], cwd=ROOT, stdout=log,
                                            stderr=log, env=environment)

    def signal(self, number):
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection((self.host, self.ready), timeout=1) as probe:
                probe.sendall(b"GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n")
                return probe.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def log_text(self):
        return (self.folder / "log").read_text(encoding="utf-8", errors="replace")

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Case:
    """The record, the processes and the temporary folder of one run."""

    def __init__(self, script):
        self.path = pathlib.Path(script).resolve().parent / "record.txt"
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.daemons = []
        self.parts = []
        self.result = NOT_RUN
        self.folder = None
        self.file = None

    def __enter__(self):
        self.file = open(self.path, "w", encoding="utf-8")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gooseberrypath-review-"))
        self.record("begins", "with the disruption" if TROUBLE else "without the disruption")
        return self

    def __exit__(self, kind, problem, _):
        for daemon in self.daemons:
            daemon.stop()
        for part in self.parts:
            part.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        if kind not in (None, SystemExit):
            self.record("could not run", repr(problem))
            self.result = NOT_RUN
        self.record("exit status", str(self.result))
        self.file.close()
        sys.stdout.flush()
        os._exit(self.result)

    def record(self, what, text=""):
        with self.lock:
            line = f"{time.monotonic() - self.started:8.3f} s  {what}: {text}"
            self.file.write(line + "\n")
            self.file.flush()
            print(line)

    def add(self, part):
        """Closes the stand-in at the end."""
        self.parts.append(part)
        return part

    def start_daemon(self, name, store, host="127.0.0.1", zone="a", cloud=None, seeds=(),
                     duties=("usage_report", "autoscale"), ports=None):
        if not (ROOT / PROGRAM).exists():
            self.not_run(f"{PROGRAM} was not built")
        ports = ports or [free_port(host) for _ in range(4)]
        daemon = Daemon(self, name, host, zone, store, cloud, ports, seeds, duties)
        self.daemons.append(daemon)
        return daemon

    def wait_until(self, condition, what, timeout_s=20):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        self.not_run(f"gave up waiting for {what}")

    def not_run(self, why):
        self.record("could not run", why)
        self.result = NOT_RUN
        raise SystemExit

    def end(self, broken, why):
        self.record("the rule was broken" if broken else "the rule held", why)
        self.result = BROKEN if broken else HELD
