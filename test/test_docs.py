"""Test that what the operators' pages name is there."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted((ROOT / 'docs' / 'operators').glob('*.md'))
CODE = '\n'.join(
    path.read_text() for path in sorted((ROOT / 'gentianstair').rglob('*.py'))
)
SETTINGS = (ROOT / 'docs' / 'operators' / 'settings.md').read_text()
# Flags of the command line, which are not settings of a daemon.
COMMAND_FLAGS = {
    f'--{name.replace("_", "-")}'
    for path in (ROOT / 'gentianstair' / 'ui').rglob('*.py')
    for name in re.findall(
        r'^    (\w+): typing\.Annotated', path.read_text(), re.MULTILINE
    )
} | {'--help', '--version', '--completion'}


@pytest.mark.parametrize('page', PAGES, ids=lambda path: path.name)
def test_metrics_flags_and_links_on_a_page_exist(page):
    text = page.read_text()
    metrics = set(re.findall(r'\bgentianstair_[a-z_]+', text))
    names = {re.sub(r'_total$', '', name) for name in metrics}
    assert {name for name in names if f"'{name}'" not in CODE} == set()
    flags = set(re.findall(r'(?<![\w-])--[a-z][a-z-]+', text))
    unknown = {flag for flag in flags if f'`{flag}`' not in SETTINGS}
    assert unknown - COMMAND_FLAGS == set()
    links = re.findall(r'\]\(([a-z./-]+\.md)\)', text)
    assert [link for link in links if not (page.parent / link).exists()] == []


def test_quoted_log_messages_exist():
    text = (ROOT / 'docs' / 'operators' / 'alerts.md').read_text()
    table = text.partition('## Logs')[2]
    for quoted in re.findall(r'^\| `([^`]+)`', table, re.MULTILINE):
        words = quoted.replace('bundle N ', '')
        assert words in CODE, quoted
