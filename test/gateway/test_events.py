"""Test that the logged events are those of the schema."""

import pathlib
import re

import gentianstair
from gentianstair.generated import events

ROOT = pathlib.Path(gentianstair.__file__).parent
CONSTANT = re.compile(r'\bevents\.([A-Z][A-Z_]+)\b')
LITERAL = re.compile(r"\bevent=['\"]")


def sources():
    for path in ROOT.rglob('*.py'):
        if 'generated' not in path.parts:
            yield path, path.read_text()


def test_events_in_code_and_schema_are_the_same():
    used = {
        name
        for path, text in sources()
        if path.name != 'stories.py'
        for name in CONSTANT.findall(text)
    }
    named = {name.replace('-', '_').upper() for name in events.ALL}
    assert used - {'ALL'} == named


def test_no_event_is_logged_under_a_literal_name():
    found = [path.name for path, text in sources() if LITERAL.search(text)]
    assert found == []
