"""Let a run pass over the tests that KNOWN-RED.txt lists, and no others."""

import re

import pytest

FILE = 'KNOWN-RED.txt'
# The id of a test at the start of an entry: of one row, or of all its rows.
NODE_ID = re.compile(r'^\S+\.py::[^\s\[]+(?:\[[^\]]*\])?', re.MULTILINE)


class Stale(pytest.Item):
    """A failure for a listed id that no test has."""

    # Plugins look at each test's function.
    obj = None

    def runtest(self):
        pytest.fail(f'{FILE} lists {self.name}: no such test', pytrace=False)


def read(folder):
    """Return the ids of the tests that the file in folder lists."""
    file = folder / FILE
    return NODE_ID.findall(file.read_text()) if file.exists() else []


def mark(session, items):
    """Expect each listed test to fail; add a failure for each stale id."""
    listed = read(session.config.rootpath)
    found = set()
    for item in items:
        ids = {item.nodeid, item.nodeid.partition('[')[0]}
        for known in ids.intersection(listed):
            found.add(known)
            reason = f'listed in {FILE}'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
    for known in listed:
        if known not in found and _is_collected(session.config, known):
            items.append(Stale.from_parent(session, name=known))


def _is_collected(config, node_id):
    """Return whether this run was asked for all tests of the id's file."""
    file = config.rootpath / node_id.partition('::')[0]
    asked = [arg for arg in config.args if '::' not in arg]
    folder = config.invocation_params.dir
    return any(file.is_relative_to(folder / arg) for arg in asked)
