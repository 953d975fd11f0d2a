"""Client of the platform's lagging list of instances."""

from typing import Literal, Protocol

import attrs
import cattrs
import urllib3

from fescuerudder.errors import ListUnavailableError

LIST_TIMEOUT_S = 1.0


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


class HttpMemberList:
    """List of instances over HTTP with JSON.

    Args:
        address: `ip:port` of the list.
        timeout_s: limit for connecting and for reading the answer, each.
    """

    def __init__(self, *, address: str, timeout_s: float = LIST_TIMEOUT_S) -> None:
        self._url = f"http://{address}/v1/members"
        self._pool = urllib3.PoolManager(num_pools=1, retries=False, timeout=timeout_s)

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
            return _CONVERTER.structure(resp.json()["members"], list[Member])
        except Exception as exc:
            raise ListUnavailableError("instance list is malformed") from exc
