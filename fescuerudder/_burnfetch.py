"""Collects the burn data of several instances."""

from collections.abc import Sequence

from fescuerudder.burn import BurnData, BurnError, BurnReport, load_data, make_report, merge_data
from fescuerudder.client import Client, ClientError


def fetch_report(*, servers: Sequence[str], operator_key: str) -> BurnReport:
    """Returns the report over all instances that answer; it names those that do not.

    Raises:
        ClientError: an instance refused the key, or none answered.
    """
    parts: list[BurnData] = []
    missing: list[str] = []
    for server in servers:
        try:
            client = Client(server=server, operator_key=operator_key)
            parts.append(load_data(client.read_burn()))
        except (ClientError, BurnError) as exc:
            if getattr(exc, "status", 0) in (401, 403):
                raise
            missing.append(server)
    if not parts:
        raise ClientError(f"no burn data from {', '.join(missing)}")
    return make_report(merge_data(parts, missing=missing))
