"""The seeded schedule of faults: a series of them, some of which overlap."""

import dataclasses
import random


@dataclasses.dataclass
class Fault:
    at: float      # seconds from the start of the calls
    kind: str
    length: float  # seconds; 0 for what has no end of its own
    target: int    # a random number; the kind says of what

    def end(self):
        return self.at + self.length


# Kind and the range of its length in seconds.
KINDS = {
    "daemon_pause": (0.2, 4.0),
    "daemon_kill": (0.1, 2.0),     # until it is started again
    "daemon_stop": (0.0, 0.0),     # SIGTERM, started again after its exit
    "daemon_reload": (0.0, 0.0),
    "backend_pause": (0.2, 3.0),
    "backend_kill": (0.2, 2.0),    # another one comes after it
    "backend_drain": (4.0, 5.0),   # from its word to its end
    "store_down": (0.3, 6.0),
    "store_lapse": (0.5, 4.0),     # down, and the entries of backends are dropped
    "store_slow": (0.5, 3.0),
    "store_loses_answers": (0.5, 3.0),
    "store_forgets": (0.0, 0.0),   # its history
    "config_change": (0.0, 0.0),
    "link_delayed": (0.3, 2.0),
    "link_cut_forward": (0.3, 3.0),
    "link_cut_backward": (0.3, 3.0),
    "link_silent": (0.3, 3.0),
    "link_reset": (0.0, 0.0),
}

# Faults that keep a daemon from reading the store in time.
BLINDING = ("daemon_pause", "daemon_kill", "store_", "link_")
# Faults that may cut a call of any daemon or keep it from its answer.
CUTTING = ("daemon_pause", "daemon_kill", "backend_pause", "backend_kill", "link_")


# A store that comes back from a copy, and how old the copy may be, in seconds.
RESTORE = "store_restored"
RESTORE_LENGTH = (0.0, 5.0)
RESTORE_AGE = (0.5, 9.0)


def make_schedule(seed, seconds, restores=False):
    """About one fault a second, half of them soon after the one before. With `restores`,
    the store also goes back to a copy, some times at once."""
    chance = random.Random(seed)
    faults = []
    at = 1.0
    while at < seconds - 1:
        kind = chance.choice(list(KINDS))
        length = chance.uniform(*KINDS[kind])
        faults.append(Fault(at, kind, length, chance.randrange(1 << 20)))
        at += chance.uniform(0.05, 0.3) if chance.random() < 0.5 else chance.uniform(0.5, 2)
    if restores:
        faults += make_restores(seed, seconds)
    return sorted(faults, key=lambda fault: fault.at)


def make_restores(seed, seconds):
    """One to three restores. They leave the other faults of the seed as they are."""
    chance = random.Random(f"restores {seed}")
    return [Fault(chance.uniform(2, seconds - 2), RESTORE, chance.uniform(*RESTORE_LENGTH),
                  chance.randrange(1 << 20)) for _ in range(chance.randint(1, 3))]


def overlapping(faults, prefixes, begin, end):
    """Returns the faults of these kinds that touch the time from `begin` to `end`."""
    return [f for f in faults
            if f.kind.startswith(prefixes) and f.at <= end and begin <= f.end()]
