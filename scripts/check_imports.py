"""Check that every import names a module, as OpenStack's guide asks."""

import ast
import importlib.util
import pathlib
import sys


def _is_module(package: str, name: str) -> bool:
    try:
        return importlib.util.find_spec(f'{package}.{name}') is not None
    except (ImportError, AttributeError, ValueError):
        return False


def check_file(path: pathlib.Path) -> list[str]:
    """Return one line for each import in path that breaks the rule.

    An ``__init__`` may re-export names that it lists in ``__all__``.
    """
    problems = []
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.level:
            problems.append(f'{path}:{node.lineno}: relative import')
            continue
        if node.module == '__future__' or path.name == '__init__.py':
            continue
        for alias in node.names:
            if not _is_module(node.module or '', alias.name):
                problems.append(
                    f'{path}:{node.lineno}: {alias.name} is not a module'
                )
    return problems


def main(roots: list[str]) -> int:
    """Check all Python files below roots and return the exit code."""
    problems = []
    for root in roots:
        for path in sorted(pathlib.Path(root).rglob('*.py')):
            problems += check_file(path)
    print('\n'.join(problems), end='\n' if problems else '')
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
