"""Tell which sources a process runs: a digest of the package's modules.

It is made of the files themselves, so it needs neither git nor a file that a
build may leave behind and the next one forget.
"""

import functools
import hashlib
import pathlib

import prometheus_client

import gentianstair

DIGEST_CHARS = 10

BUILD_INFO = prometheus_client.Gauge(
    'gentianstair_build_info',
    'Always 1; the label is a digest of the sources that this process runs',
    ['build'],
)


def digest_of(folder: pathlib.Path) -> str:
    """Return the digest of all Python files in a folder, by their paths."""
    found = hashlib.sha256()
    for file in sorted(folder.rglob('*.py')):
        content = file.read_bytes()
        found.update(b'%d ' % len(content))
        found.update(file.relative_to(folder).as_posix().encode())
        found.update(content)
    return found.hexdigest()[:DIGEST_CHARS]


@functools.cache
def build() -> str:
    """Return the digest of the sources that this process runs."""
    return digest_of(pathlib.Path(gentianstair.__file__).parent)


def publish() -> None:
    """Set the metric that tells the build."""
    BUILD_INFO.labels(build()).set(1)


__all__ = ['build', 'digest_of', 'publish']
