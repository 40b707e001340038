"""Make TLS contexts from files and renew them when the files change."""

import ipaddress
import pathlib
import ssl
import typing

import loguru
import trio

from gentianstair import errors
from gentianstair.util import addresses

RELOAD_INTERVAL_S = 5.0


class CertificateFiles(typing.NamedTuple):
    """The PEM files of one side; ``ca`` is empty unless peers are checked."""

    cert: str
    key: str
    ca: str = ''


def is_enabled(files: CertificateFiles, what: str) -> bool:
    """Return whether TLS is on; raise SettingsError if files are missing."""
    if not any(files):
        return False
    if not files.cert or not files.key:
        raise errors.SettingsError(
            f'{what}: certificate and key must be given together'
        )
    return True


def check_plaintext_allowed(address: str, allowed: bool, flag: str) -> None:
    """Raise SettingsError unless plain connections may use an address.

    Without TLS a caller's key could be read on the way, so only loopback is
    served plain, or any address by the explicit ``--insecure-plain``.
    """
    host, _ = addresses.parse(address)
    if allowed or host == 'localhost':
        return
    try:
        if ipaddress.ip_address(host).is_loopback:
            return
    except ValueError:
        pass
    raise errors.SettingsError(
        f'{flag}: {address!r} is not loopback; give certificate files or'
        ' --insecure-plain'
    )


def _load(context: ssl.SSLContext, files: CertificateFiles) -> ssl.SSLContext:
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
    try:
        context.load_cert_chain(files.cert, files.key)
        if files.ca:
            context.load_verify_locations(files.ca)
    except OSError as error:
        # ssl.SSLError is an OSError too. Its text names no file.
        raise errors.SettingsError(
            f'{", ".join(filter(None, files))}: not usable; {error}'
        ) from error
    return context


def make_server_context(files: CertificateFiles) -> ssl.SSLContext:
    """Return a context that serves; it asks for certificates if ca is set.

    Raise SettingsError if a file cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.set_alpn_protocols(['http/1.1'])
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if files.ca:
        context.verify_mode = ssl.CERT_REQUIRED
        # A resumed session is not verified again, so a peer whose authority
        # was withdrawn could come back with a ticket of before.
        context.num_tickets = 0
        context.options |= ssl.OP_NO_TICKET
        context.minimum_version = ssl.TLSVersion.TLSv1_3
    return _load(context, files)


def make_client_context(files: CertificateFiles) -> ssl.SSLContext:
    """Return a context that connects to peers and shows a certificate.

    A peer is known by the authority that signed its certificate, not by a
    name: VMs are replaced and addressed by IP number, and whoever holds a
    certificate of the private authority is of the fleet. Raise
    SettingsError if a file cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    return _load(context, files)


def _file_versions(
    files: CertificateFiles,
) -> tuple[tuple[int, int, int], ...]:
    """Return what changes when a file is written or replaced."""
    found = []
    for name in filter(None, files):
        stat = pathlib.Path(name).stat()
        found.append((stat.st_mtime_ns, stat.st_size, stat.st_ino))
    return tuple(found)


class Credentials:
    """The contexts of one set of files, made again when the files change.

    ``server`` stays the same object, so that it can be given to a listener
    once; it hands each new connection to the newest context. Loading new
    files into a context in use would not do: a certificate of another key
    type and a withdrawn authority would both stay in it. ``client`` is to
    be read for each connection; it is None when there is no authority to
    check a server with.
    """

    def __init__(self, files: CertificateFiles) -> None:
        self.files = files
        self._versions = _file_versions(files)
        self.server = make_server_context(files)
        self.server.sni_callback = self._switch_context
        self._current = self.server
        self.client = make_client_context(files) if files.ca else None

    def _switch_context(
        self, connection: ssl.SSLObject, name: str | None, _: ssl.SSLContext
    ) -> None:
        """Move a connection that says hello to the newest context."""
        connection.context = self._current

    def reload_if_changed(self) -> bool:
        """Take up changed files; return whether there were any.

        Between the writes of two files the pair does not match, or one is
        cut short. It then fails to load, the old contexts stay in use and
        the files are tried again at the next check.
        """
        try:
            versions = _file_versions(self.files)
            if versions == self._versions:
                return False
            server = make_server_context(self.files)
            client = make_client_context(self.files) if self.files.ca else None
        except (OSError, errors.SettingsError) as error:
            loguru.logger.warning('certificate not renewed: {}', error)
            return False
        self._current, self.client, self._versions = server, client, versions
        loguru.logger.info('certificate renewed from {}', self.files.cert)
        return True

    async def watch_files(self, interval_s: float = RELOAD_INTERVAL_S) -> None:
        """Check forever."""
        while True:
            await trio.sleep(interval_s)
            self.reload_if_changed()


def make_caller_credentials(
    cert: str, key: str, listen: str, insecure_plain: bool
) -> Credentials | None:
    """Return what callers are served with, or None if TLS is off.

    Raise SettingsError if a file is missing or cannot be used, or if TLS is
    off where only loopback may be served plain.
    """
    files = CertificateFiles(cert, key)
    if is_enabled(files, '--tls-cert-file, --tls-key-file'):
        return _make(files)
    check_plaintext_allowed(listen, insecure_plain, '--listen')
    return None


def make_peer_credentials(files: CertificateFiles) -> Credentials | None:
    """Return what peers meet each other with, or None if TLS is off.

    Raise SettingsError if a file is missing or cannot be used.
    """
    if not is_enabled(files, '--peer-tls-cert-file, --peer-tls-key-file'):
        return None
    if not files.ca:
        raise errors.SettingsError(
            '--peer-tls-ca-file: must be given with a peer certificate'
        )
    return _make(files)


def _make(files: CertificateFiles) -> Credentials:
    try:
        return Credentials(files)
    except OSError as error:
        raise errors.SettingsError(str(error)) from error
