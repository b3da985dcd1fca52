"""What a process takes up, read from /proc, and the checks that it stays within the limits of
its host.

    limits = ProcessLimits(process.pid, memory_mb=64, max_fds=600)
    limits.settle()
    limits.check(test)
"""

import os
import pathlib
import re
import time

KIB_A_MIB = 1024
SETTLED_S = 2          # the process took up no more memory and no descriptor for so long
MOST_SETTLING_S = 30


class ProcessLimits:

    def __init__(self, pid, memory_mb, max_fds):
        self.pid = pid
        self.memory_mb = memory_mb
        self.max_fds = max_fds

    def memory_mib(self, name):
        """Returns a figure of /proc/PID/status, for example VmHWM, in MiB."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8")
        return int(re.search(rf"{name}:\s*(\d+) kB", status)[1]) / KIB_A_MIB

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def settle(self):
        """Waits until the process has read what was sent to it."""
        end = time.monotonic() + MOST_SETTLING_S
        before, since = None, time.monotonic()
        while time.monotonic() < end and time.monotonic() - since < SETTLED_S:
            now = (self.memory_mib("VmHWM"), self.descriptors())
            if now != before:
                before, since = now, time.monotonic()
            time.sleep(0.1)

    def report(self, test):
        print(f"{test.id().rsplit('.', maxsplit=1)[-1]}: "
              f"peak {self.memory_mib('VmHWM'):.1f} MiB, "
              f"now {self.memory_mib('VmRSS'):.1f} MiB, "
              f"{self.descriptors()} descriptors", flush=True)

    def check(self, test):
        test.assertLess(self.descriptors(), self.max_fds, "descriptors")
        test.assertLess(self.memory_mib("VmHWM"), self.memory_mb, "peak memory in MiB")
