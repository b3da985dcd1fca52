"""Checks the operators' page and the examples against the program."""

import re
import subprocess
import unittest

from deployment import DAEMON, ROOT, Deployment

PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")


class Pages(unittest.TestCase):

    def test_each_flag_is_on_the_page_with_its_default(self):
        """Guards against flags that are added or changed without the page."""
        text = subprocess.run([DAEMON, "serve", "--help"], capture_output=True, text=True,
                              check=True).stdout
        words = " ".join(text.split())
        flags = re.findall(r"--([a-z-]+) VALUE .*?(?:default: (\S+)|required);", words)
        self.assertGreater(len(flags), 20)
        self.assertEqual(len(flags), text.count("VALUE"))
        for flag, default in flags:
            with self.subTest(flag=flag):
                row = re.search(rf"^\| `--{flag}` \|.*\| (\S+) \|$", PAGE, re.MULTILINE)
                self.assertIsNotNone(row)
                self.assertEqual(row[1], default.rstrip(";") or "required")
        for flag in ("--check", "--help", "--version"):
            self.assertIn(f"`{flag}`", PAGE)

    def test_each_error_kind_is_on_the_page_with_its_status(self):
        source = (ROOT / "gooseberrypath" / "errors.cc").read_text(encoding="utf-8")
        kinds = re.findall(r'ErrorInfo\{ \w+, "(\w+)", (\d+),', source)
        self.assertEqual(len(kinds), source.count("ErrorInfo{ "))
        for kind, status in kinds:
            with self.subTest(kind=kind):
                self.assertIn(f"| `{kind}` | {status} |", PAGE)

    def test_examples_are_accepted(self):
        """Guards against examples that the daemon refuses."""
        for name in ("serrana", "khaoklong"):
            with self.subTest(name=name), Deployment(engines=1, services=1, daemons=1) as d:
                code, out, errors = d.client("apply", "-f",
                                             str(ROOT / "examples" / f"{name}.json"))
                self.assertEqual(code, 0, out + errors)


if __name__ == "__main__":
    unittest.main(verbosity=2)
