"""Send usage reports to the platform."""

from gentianstair.store import lease_checked_sender

Sender = lease_checked_sender.Sender


def connect(
    base_url: str, lifetime_s: float, timeout_s: float
) -> lease_checked_sender.HttpSender:
    """Return a sender; undelivered bytes are dropped after lifetime_s."""
    url = f'{base_url}/v1/usage-reports'
    return lease_checked_sender.HttpSender(url, lifetime_s, timeout_s)


__all__ = ('Sender', 'connect')
