"""Runs real entry daemons against the stand-in of the platform."""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import unittest

from deployment import ENTRY, START_TIMEOUT_S, free_ports, http_call, wait_for
from platform_standin import Backend, Store


def config(version=1, keys=("k1",)):
    return {
        "version": version,
        "routes": [
            {"name": "pickups", "host": "h", "path_prefix": "/pickups/",
             "kind": "non_idempotent", "timeout_ms": 3000, "service": "shop",
             "max_attempts": 1},
            {"name": "status", "host": "h", "path_prefix": "/status/",
             "kind": "idempotent", "timeout_ms": 3000, "service": "shop",
             "max_attempts": 2}],
        "services": [{"name": "shop", "health_path": "/health", "max_conns": 100}],
        "tenants": [{"name": "acme", "api_keys": list(keys)}],
    }


class EntryDaemon:
    """One daemon with its settings file."""

    def __init__(self, store, settings=()):
        self.folder = tempfile.TemporaryDirectory()
        self.caller, self.ready, peer = free_ports(3)
        path = pathlib.Path(self.folder.name) / "settings.conf"
        path.write_text("\n".join([
            "node=d1", "zone=a", "zones.a=r", "ip=127.0.0.1",
            f"listen.front=127.0.0.1:{self.caller}",
            f"listen.ready=127.0.0.1:{self.ready}",
            f"port_range={peer},{peer}", f"platform.address={store.address}",
            "bounds.grace_s=8", *settings, ""]), encoding="utf-8")
        self.log = open(pathlib.Path(self.folder.name) / "log", "w+", encoding="utf-8")
        self.process = subprocess.Popen([ENTRY, str(path)], stdout=self.log)

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        self.folder.cleanup()

    def status(self):
        """Returns the status of the balancer's question, 0 without an answer."""
        return http_call(self.ready, "GET", "/api/readiness", timeout_s=2)[0]

    def call(self, path, method="POST", body=b"", key="k1", request="r1"):
        status, _, answer = http_call(self.caller, method, path, body, {
            "Host": "h", "Gooseberrypath-Request-Id": request,
            "Gooseberrypath-Deadline-Ms": "3000", "Authorization": f"Token {key}"})
        return status, answer

    def has_logged(self, event):
        return any(e["event"] == event for e in self.events())

    def events(self):
        self.log.flush()
        text = pathlib.Path(self.folder.name, "log").read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines()]


class EntryTest(unittest.TestCase):

    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.close)
        self.backends = [Backend("i-1"), Backend("i-2")]
        for backend in self.backends:
            self.addCleanup(backend.close)

    def start(self, fill=True):
        if fill:
            self.store.put_config(config())
            for backend in self.backends:
                self.store.put_backend(backend.name, backend.address)
        daemon = EntryDaemon(self.store)
        self.addCleanup(daemon.close)
        return daemon

    def runs(self):
        return sum(len(b.runs) for b in self.backends)

    def test_a_call_goes_through_byte_by_byte(self):
        daemon = self.start()
        wait_for(lambda: daemon.status() == 200, "readiness")
        status, body = daemon.call("/pickups/7?a=%20b", body=b"\x00pickup\xff")
        self.assertEqual((status, body), (200, b"POST /pickups/7?a=%20b \x00pickup\xff"))
        self.assertEqual(self.runs(), 1)
        headers = (self.backends[0].headers + self.backends[1].headers)[0]
        self.assertEqual(headers["Gooseberrypath-Tenant"], "acme")
        self.assertNotIn("Authorization", headers)

    def test_a_store_that_goes_back_hides_no_later_change(self):
        """Guards against a change that is not read after the store came back from a copy,
        because its offset was known before."""
        daemon = self.start()
        wait_for(lambda: daemon.status() == 200, "readiness")
        time.sleep(0.6)
        self.store.put_config(config(version=2, keys=("k1", "k2")))
        self.store.put_backend("i-1", self.backends[0].address, seq=2)
        wait_for(lambda: daemon.call("/status/1", key="k2")[0] == 200, "version 2")
        time.sleep(0.5)
        self.store.is_down = True
        time.sleep(1.2)
        self.store.go_back(1.9)
        # The offsets are given out again before the daemon reads.
        self.store.put_config(config(version=3, keys=("k1", "k2", "k3")))
        self.store.put_backend("i-2", self.backends[1].address, "draining", seq=2)
        self.store.is_down = False
        wait_for(lambda: daemon.call("/status/1", key="k3")[0] == 200, "version 3")
        self.assertEqual(daemon.call("/status/1", key="k2")[0], 200)
        wait_for(lambda: daemon.has_logged("backend_leaving"), "the leaving backend")

    def test_nothing_is_denied_before_the_first_configuration(self):
        """Guards against 401 and 404 from a daemon that knows nothing yet."""
        daemon = self.start(fill=False)
        wait_for(lambda: daemon.status() == 503, "an answer of not ready")
        self.assertEqual(daemon.call("/status/1")[0], 503)
        self.store.put_config(config())
        wait_for(lambda: daemon.status() == 200, "readiness")
        self.assertEqual(daemon.call("/nowhere/1")[0], 404)
        self.assertEqual(daemon.call("/status/1", key="wrong")[0], 401)

    def test_a_new_configuration_and_a_leaving_backend_are_noticed(self):
        daemon = self.start()
        wait_for(lambda: daemon.status() == 200, "readiness")
        self.store.put_config(config(version=2, keys=("k2",)))
        wait_for(lambda: daemon.call("/status/1", key="k2")[0] == 200, "version 2")
        self.assertEqual(daemon.call("/status/1", key="k1")[0], 401)
        self.store.put_backend("i-1", self.backends[0].address, "draining", seq=2)
        wait_for(lambda: daemon.has_logged("backend_leaving"), "the leaving backend")
        before = len(self.backends[0].runs)
        for i in range(10):
            self.assertEqual(daemon.call("/status/1", key="k2", request=f"s{i}")[0], 200)
        self.assertEqual(len(self.backends[0].runs), before)

    def test_a_backend_that_says_it_leaves_gets_no_further_call(self):
        """Guards against calls to a backend that the store still names as ready, also while
        the store is down."""
        daemon = self.start()
        wait_for(lambda: daemon.status() == 200, "readiness")
        leaving = self.backends[0]
        leaving.is_leaving = True
        self.store.is_down = True
        for i in range(40):
            if leaving.runs:
                break
            self.assertEqual(daemon.call("/status/1", request=f"a{i}")[0], 200)
        self.assertEqual(len(leaving.runs), 1)
        self.store.is_down = False
        self.store.put_backend(leaving.name, leaving.address, seq=2)
        for i in range(20):
            self.assertEqual(daemon.call("/status/1", request=f"b{i}")[0], 200)
        self.assertEqual(len(leaving.runs), 1)
        self.assertTrue(daemon.has_logged("backend_leaving"))

    def test_backends_that_ask_for_quiet_get_it(self):
        """Guards against calls that a busy backend has to turn away again and again."""
        daemon = self.start()
        wait_for(lambda: daemon.status() == 200, "readiness")
        for backend in self.backends:
            backend.quiet_s = 60
        statuses = [daemon.call("/pickups/1", request=f"r{i}")[0] for i in range(10)]
        self.assertEqual(statuses, [503] * 10)
        self.assertEqual([len(b.refused) for b in self.backends], [1, 1])
        self.assertEqual(self.runs(), 0)

    def test_calls_are_served_while_the_store_is_down(self):
        daemon = self.start()
        wait_for(lambda: daemon.status() == 200, "readiness")
        self.store.is_down = True
        wait_for(lambda: daemon.has_logged("store_lost"), "the loss of the store")
        self.assertEqual(daemon.call("/pickups/1")[0], 200)
        self.store.is_down = False
        wait_for(lambda: daemon.events()[-1]["event"] == "store_regained", "its return")

    def test_a_planned_stop_ends_with_code_0_and_cuts_nothing(self):
        daemon = self.start()
        wait_for(lambda: daemon.status() == 200, "readiness")
        daemon.process.send_signal(signal.SIGTERM)
        wait_for(lambda: daemon.status() == 503, "an answer of not ready")
        self.assertEqual(daemon.call("/pickups/1")[0], 200)
        self.assertEqual(daemon.process.wait(START_TIMEOUT_S), 0)
        self.assertEqual(self.runs(), 1)

    def test_a_daemon_has_a_single_thread(self):
        """Guards against libraries that start threads: joining them at exit outlasted the
        grace time on the bench, and their stacks cost memory."""
        daemon = self.start()
        wait_for(lambda: daemon.status() == 200, "readiness")
        self.assertEqual(len(os.listdir(f"/proc/{daemon.process.pid}/task")), 1)

    def test_a_settings_file_without_a_needed_line_is_refused_by_name(self):
        with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
            file.write("node=d1\n")
            file.flush()
            done = subprocess.run([ENTRY, file.name], capture_output=True,
                                  text=True, check=False, env=os.environ)
        self.assertEqual(done.returncode, 2)
        self.assertIn("setting \"", done.stderr)


if __name__ == "__main__":
    unittest.main(verbosity=2)
