"""Create TLS contexts from files, and reload them when files change."""

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
    """Paths of PEM files; ``ca`` is empty if peers are not verified."""

    cert: str
    key: str
    ca: str = ''


def is_enabled(files: CertificateFiles, what: str) -> bool:
    """Return whether TLS is on.

    Raise SettingsError if only one of certificate and key is given.
    """
    if not any(files):
        return False
    if not files.cert or not files.key:
        raise errors.SettingsError(
            f'{what}: certificate and key must be given together'
        )
    return True


def check_plaintext_allowed(address: str, allowed: bool, flag: str) -> None:
    """Raise SettingsError unless an address may be used without TLS.

    A caller's key could be read in transit, so this is limited to loopback
    unless ``--insecure-plain`` is given.
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
        # This includes ssl.SSLError, whose message does not name the file.
        raise errors.SettingsError(
            f'{", ".join(filter(None, files))}: not usable; {error}'
        ) from error
    return context


def make_server_context(files: CertificateFiles) -> ssl.SSLContext:
    """Return a server context; with ``ca`` it requires client certificates.

    Raise SettingsError if a file cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.set_alpn_protocols(['http/1.1'])
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if files.ca:
        context.verify_mode = ssl.CERT_REQUIRED
        # Resumed sessions are not verified again, so without this a peer
        # could reconnect with a ticket after its authority was removed.
        context.num_tickets = 0
        context.options |= ssl.OP_NO_TICKET
        context.minimum_version = ssl.TLSVersion.TLSv1_3
    return _load(context, files)


def make_client_context(files: CertificateFiles) -> ssl.SSLContext:
    """Return a client context for peers, with a client certificate.

    Peers are authenticated by the private authority that signed their
    certificate, not by host name, as VMs are replaced and addressed by IP
    address. Raise SettingsError if a file cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    return _load(context, files)


def _file_versions(
    files: CertificateFiles,
) -> tuple[tuple[int, int, int], ...]:
    """Return file attributes that change when a file is replaced."""
    found = []
    for name in filter(None, files):
        stat = pathlib.Path(name).stat()
        found.append((stat.st_mtime_ns, stat.st_size, stat.st_ino))
    return tuple(found)


class Credentials:
    """TLS contexts of one set of files, replaced when the files change.

    ``server`` stays the same object, so that a listener can keep it; it
    switches each new connection to the current context. Files are not
    loaded into an existing context, as a certificate of another key type or
    a removed authority would stay in it. Read ``client`` for each new
    connection; it is None without an authority to verify servers with.
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
        """Switch a new connection to the current context."""
        connection.context = self._current

    def reload_if_changed(self) -> bool:
        """Reload the files if they changed; return whether they did.

        While the files are being replaced, one may be incomplete or not
        match the other. Loading then fails, the old contexts stay in use,
        and the next call tries again.
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
        """Reload changed files periodically, forever."""
        while True:
            await trio.sleep(interval_s)
            self.reload_if_changed()


def make_caller_credentials(
    cert: str, key: str, listen: str, insecure_plain: bool
) -> Credentials | None:
    """Return the credentials for serving callers, or None without TLS.

    Raise SettingsError if a file is missing or cannot be used, or if the
    address must not be served without TLS.
    """
    files = CertificateFiles(cert, key)
    if is_enabled(files, '--tls-cert-file, --tls-key-file'):
        return _make(files)
    check_plaintext_allowed(listen, insecure_plain, '--listen')
    return None


def make_peer_credentials(files: CertificateFiles) -> Credentials | None:
    """Return the credentials for peer connections, or None without TLS.

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
