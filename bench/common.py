"""Reads of /proc, percentiles and the tables of docs/measurements.md."""

import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

PAGE = ROOT / "docs" / "measurements.md"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """Returns user and system time of a process; the kernel counts steps of 10 ms."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid):
    """Returns the resident memory of a process in MB."""
    with open(f"/proc/{pid}/smaps_rollup", encoding="ascii") as file:
        for line in file:
            if line.startswith("Rss:"):
                return int(line.split()[1]) / 1024
    raise AssertionError(f"process {pid} has no Rss")


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def run_line(command):
    """Returns the line that describes the machine and the run."""
    with open("/proc/meminfo", encoding="ascii") as file:
        memory_gb = int(file.readline().split()[1]) / 1024 / 1024
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, check=False,
                            capture_output=True, text=True).stdout.strip()
    load = os.getloadavg()[0]
    return (f"Command `{command}`, {time.strftime('%Y-%m-%d %H:%M')} UTC, on top of commit "
            f"{commit}; {os.cpu_count()} cores, {memory_gb:.0f} GB, load average at the end "
            f"{load:.1f}.")


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    return "\n".join(lines + ["| " + " | ".join(map(str, row)) + " |" for row in rows])


def write_section(heading, text):
    """Prints the text and replaces the section of this heading in docs/measurements.md."""
    print(text)
    page = PAGE.read_text(encoding="utf-8") if PAGE.exists() else "# Measurements\n"
    parts = page.split("\n## ")
    parts = [part for part in parts if not part.startswith(heading + "\n")]
    parts = [part.rstrip("\n") for part in parts] + [f"{heading}\n\n{text.rstrip()}"]
    PAGE.write_text("\n\n## ".join(parts) + "\n", encoding="utf-8")
