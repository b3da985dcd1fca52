"""An engine in trouble sends the comments that keep a stream alive without end."""

import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import main  # noqa: E402
from endless import play_endless  # noqa: E402

CHUNK = b"3\r\n:\n\n\r\n"

main(lambda record, has_trouble: play_endless(record, CHUNK if has_trouble else b"", 4096),
     has_trouble=os.environ.get("TROUBLE", "1") != "0")
