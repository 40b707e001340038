"""Parse addresses of the form host:port."""


def parse(text: str) -> tuple[str, int]:
    """Return the host and port of ``host:port``.

    >>> parse('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    host, colon, port = text.rpartition(':')
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError('an address as host:port')
    return host.strip('[]'), int(port)
