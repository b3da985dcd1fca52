"""An engine in trouble sends whole events without end, each in a chunk."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import main  # noqa: E402
from endless import play_endless  # noqa: E402

EVENT = b"id: 2\ndata: " + b"x" * 42 + b"\n\n"
CHUNK = f"{len(EVENT):x}\r\n".encode() + EVENT + b"\r\n"

main(lambda record, has_trouble: play_endless(record, CHUNK if has_trouble else b"", 1000))
