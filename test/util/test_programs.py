"""Test that the programs can be loaded together."""

import subprocess
import sys

TIMEOUT_S = 30.0


def test_no_two_modules_define_the_same_metric():
    # A program whose modules do ends at its start.
    done = subprocess.run(
        [
            sys.executable,
            '-c',
            'import gentianstair.gateway.main\n'
            'import gentianstair.entry.main\n'
            'import gentianstair.control.main\n',
        ],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 0, done.stderr
