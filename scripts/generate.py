"""Generate committed code and pages from the schema directory."""

import argparse
import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS_TYPES = {
    'int': 'int',
    'float': 'float',
    'bool': 'bool',
    'str': 'str',
    'name': 'str',
    'url': 'str',
    'path': 'str',
    'address': 'str',
    'addresses': 'tuple[str, ...]',
}
PROGRAMS = ('entry', 'control')
HEADER = '"""{doc}\n\nGenerated from schema/ by scripts/generate.py."""\n\n'


def _read(folder: str) -> dict[str, dict]:
    """Return the tables of all files below schema/folder, in file order."""
    files = sorted((ROOT / 'schema' / folder).glob('*.toml'))
    return {path.stem: tomllib.loads(path.read_text()) for path in files}


def _settings() -> list[tuple[tuple[str, ...], str, dict]]:
    found = []
    for tables in _read('settings').values():
        programs = tuple(tables.pop('programs', PROGRAMS))
        for name, table in tables.items():
            for others, other, _ in found:
                if name == other and set(programs) & set(others):
                    raise SystemExit(f'schema: {name} is defined twice')
            found.append((programs, name, table))
    return found


def _setting_code(name: str, table: dict) -> str:
    required = 'default' not in table
    default = table.get('default')
    if table['type'] == 'addresses' and not required:
        default = tuple(default)
    fields = [
        f'name={name!r}',
        f'type={table["type"]!r}',
        f'help={table["help"]!r}',
        f'required={required!r}',
        f'default={default!r}',
        f'minimum={table.get("min")!r}',
        f'maximum={table.get("max")!r}',
        f'choices={tuple(table.get("choices", ()))!r}',
    ]
    return f'settings.Setting({", ".join(fields)})'


def settings_code() -> str:
    """Return the module with a NamedTuple and a table for each program."""
    lines = [HEADER.format(doc='Define the settings of each program.')]
    lines.append('import typing\n\nfrom gentianstair import settings\n\n')
    for program in PROGRAMS:
        mine = [(n, t) for p, n, t in _settings() if program in p]
        lines.append(f'class {program.title()}Settings(typing.NamedTuple):\n')
        lines.append(f'    """Settings of gentianstair-{program}."""\n\n')
        for name, table in mine:
            lines.append(f'    {name}: {SETTINGS_TYPES[table["type"]]}\n')
        rows = ', '.join(_setting_code(n, t) for n, t in mine)
        lines.append(f'\n{program.upper()} = ({rows},)\n\n')
    return ''.join(lines)


def messages_code() -> str:
    """Return the module with a TypedDict for each message and value."""
    lines = [HEADER.format(doc='Define messages and stored values.')]
    lines.append('import typing\n\n')
    names = []
    for tables in _read('messages').values():
        for name, table in tables.items():
            names.append(name)
            lines.append(f'class {name}(typing.TypedDict):\n')
            lines.append(f'    """{table.pop("doc")}"""\n\n')
            for field, kind in table.items():
                if kind.endswith('?'):
                    kind = f'typing.NotRequired[{kind[:-1]}]'
                lines.append(f'    {field}: {kind}\n')
            lines.append('\n')
    lines.append(f'__all__ = {tuple(names)!r}\n')
    return ''.join(lines)


def _events() -> dict[str, str]:
    """Return what each logged event means, by its name."""
    text = (ROOT / 'schema' / 'events.toml').read_text()
    return {name: table['help'] for name, table in tomllib.loads(text).items()}


def events_code() -> str:
    """Return the module with a constant for each logged event."""
    lines = [HEADER.format(doc='Name the events in the logs.')]
    lines.append('import typing\n\n')
    found = _events()
    for name in found:
        constant = name.replace('-', '_').upper()
        lines.append(f'{constant}: typing.Final = {name!r}\n')
    lines.append(f'\nALL: typing.Final = frozenset({tuple(found)!r})\n')
    return ''.join(lines)


def events_page() -> str:
    """Return the operators' page on logged events."""
    lines = [
        '# Events in the logs\n\n',
        'Generated from `schema/events.toml`. Each line of a gateway is one\n',
        'JSON object; `event` is one of these.\n\n',
        '| event | meaning |\n|---|---|\n',
    ]
    lines += [f'| `{name}` | {text} |\n' for name, text in _events().items()]
    return ''.join(lines)


def settings_page() -> str:
    """Return the operators' page on settings."""
    lines = [
        '# Settings\n\n',
        'Generated from `schema/settings/`. A setting is a flag or an\n',
        'environment variable; the flag goes first. Units end the names.\n\n',
        '| flag | variable | programs | type | default | allowed | use |\n',
        '|---|---|---|---|---|---|---|\n',
    ]
    for programs, name, table in _settings():
        allowed = ' or '.join(table.get('choices', ()))
        if 'min' in table:
            allowed = f'{table["min"]} to {table["max"]}'
        cells = [
            f'`--{name.replace("_", "-")}`',
            f'`GENTIANSTAIR_{name.upper()}`',
            ', '.join(programs),
            table['type'],
            f'`{table["default"]}`' if 'default' in table else 'required',
            allowed,
            table['help'],
        ]
        lines.append(f'| {" | ".join(cells)} |\n')
    return ''.join(lines)


def _format(code: str) -> str:
    command = [sys.executable, '-m', 'ruff', 'format', '--no-cache', '-q']
    done = subprocess.run(
        [*command, '--stdin-filename', 'generated.py', '-'],
        input=code,
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    return done.stdout


def main() -> int:
    """Write the generated files, or with --check only compare them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--check', action='store_true')
    check = parser.parse_args().check
    generated = ROOT / 'gentianstair' / 'generated'
    wanted = {
        generated / 'settings.py': _format(settings_code()),
        generated / 'messages.py': _format(messages_code()),
        generated / 'events.py': _format(events_code()),
        ROOT / 'docs' / 'operators' / 'settings.md': settings_page(),
        ROOT / 'docs' / 'operators' / 'events.md': events_page(),
    }
    stale = []
    for path, text in wanted.items():
        if path.exists() and path.read_text() == text:
            continue
        stale.append(str(path.relative_to(ROOT)))
        if not check:
            path.write_text(text)
    if stale and check:
        print(f'not current, run scripts/generate.py: {", ".join(stale)}')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
