"""Client of the platform's lagging list of instances."""

from typing import Any, Literal, Protocol

import attrs
import cattrs
import structlog
import urllib3

from fescuerudder import checked
from fescuerudder.errors import ListUnavailableError

LIST_TIMEOUT_S = 1.0
MAX_REPORTED_ENTRIES = 1000
"""Number of malformed entries that are remembered as logged."""


@attrs.frozen(kw_only=True)
class Member:
    """An instance as the list shows it, some time ago.

    Args:
        id: instance id.
        kind: `entry` or `worker`.
        zone: availability zone.
        region: region of the zone.
        rack: rack of a worker, empty for entry instances.
        control: control `ip:port` of a worker, peer `ip:port` of an entry instance.
        data: `ip:port` for requests.
        state: `live` or `leaving`.
    """

    id: str
    kind: Literal["entry", "worker"]
    zone: str
    region: str
    rack: str = ""
    control: str = ""
    data: str = ""
    state: Literal["live", "leaving"] = "live"


class MemberList(Protocol):
    """Lagging list of instances."""

    def read(self) -> list[Member]:
        """Returns the list.

        Raises:
            ListUnavailableError: the list could not be read.
        """


_CONVERTER = cattrs.Converter()
_CONVERTER.register_structure_hook(str, lambda value, _: checked.text(value))

_log = structlog.get_logger(__name__)


class HttpMemberList:
    """List of instances over HTTP with JSON.

    Args:
        address: `ip:port` of the list.
        timeout_s: limit for connecting and for reading the answer, each.
    """

    def __init__(self, *, address: str, timeout_s: float = LIST_TIMEOUT_S) -> None:
        self._url = f"http://{address}/v1/members"
        self._pool = urllib3.PoolManager(num_pools=1, retries=False, timeout=timeout_s)
        self._reported: set[str] = set()

    def __enter__(self) -> "HttpMemberList":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._pool.clear()

    def read(self) -> list[Member]:
        """Returns the list; see `MemberList.read`."""
        try:
            resp = self._pool.request("GET", self._url)
        except urllib3.exceptions.HTTPError as exc:
            raise ListUnavailableError(f"instance list not read: {exc}") from exc
        if resp.status != 200:
            raise ListUnavailableError(f"instance list answered {resp.status}")
        try:
            rows = checked.items(checked.load_json(resp.data)["members"])
        except (LookupError, TypeError, ValueError) as exc:
            raise ListUnavailableError("instance list is malformed") from exc
        found = [self._parse(row) for row in rows]
        return [member for member in found if member is not None]

    def _parse(self, row: Any) -> Member | None:
        """Returns an entry of the list, None if it is malformed; it must not hide the others."""
        try:
            return _CONVERTER.structure(row, Member)
        except Exception as exc:
            name = row.get("id") if isinstance(row, dict) else None
            self._report(name if isinstance(name, str) else "", exc)
            return None

    def _report(self, name: str, exc: Exception) -> None:
        """Logs a malformed entry once; the list is read each second."""
        if name in self._reported:
            return
        if len(self._reported) >= MAX_REPORTED_ENTRIES:
            self._reported.clear()
        self._reported.add(name)
        _log.warning(
            "entry of the instance list is malformed",
            entry=name[: checked.MAX_ID_LENGTH],
            reason=checked.reason(exc),
        )
