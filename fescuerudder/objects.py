"""Client of the platform's object store."""

from typing import Protocol
from urllib.parse import quote

import urllib3

from fescuerudder.errors import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

OBJECT_TIMEOUT_S = 5.0


class ObjectStore(Protocol):
    """Store of named byte strings."""

    def put(self, *, name: str, data: bytes, create_only: bool = False) -> None:
        """Stores `data` under `name`.

        Raises:
            ConflictError: `create_only` is set and the object exists.
            StoreUnavailableError: the store did not get the object.
            StoreOutcomeUnknownError: the answer was lost; the object may be stored.
        """

    def get(self, *, name: str) -> bytes | None:
        """Returns the object, or None if there is none.

        Raises:
            StoreUnavailableError: the store could not be read.
        """


class HttpObjectStore:
    """Object store over HTTP.

    Args:
        address: `ip:port` of the store.
        timeout_s: limit for connecting and for reading one answer, each.
    """

    def __init__(self, *, address: str, timeout_s: float = OBJECT_TIMEOUT_S) -> None:
        self._url = f"http://{address}/v1/objects/"
        self._pool = urllib3.PoolManager(
            num_pools=1, maxsize=4, retries=False, timeout=urllib3.Timeout(timeout_s)
        )

    def __enter__(self) -> "HttpObjectStore":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._pool.clear()

    def put(self, *, name: str, data: bytes, create_only: bool = False) -> None:
        """Stores an object; see `ObjectStore.put`."""
        headers = {"If-None-Match": "*"} if create_only else {}
        try:
            resp = self._pool.request("PUT", self._url_of(name), body=data, headers=headers)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise StoreUnavailableError(f"object store not reached: {exc}") from exc
        except urllib3.exceptions.HTTPError as exc:
            raise StoreOutcomeUnknownError(f"object store answer lost: {exc}") from exc
        if resp.status in (409, 412):
            raise ConflictError(failed_keys=[name])
        if resp.status == 503:
            raise StoreUnavailableError("object store is down")
        if not 200 <= resp.status < 300:
            raise StoreOutcomeUnknownError(f"object store answered {resp.status}")

    def get(self, *, name: str) -> bytes | None:
        """Reads an object; see `ObjectStore.get`."""
        try:
            resp = self._pool.request("GET", self._url_of(name))
        except urllib3.exceptions.HTTPError as exc:
            raise StoreUnavailableError(f"object not read: {exc}") from exc
        if resp.status == 404:
            return None
        if resp.status != 200:
            raise StoreUnavailableError(f"object store answered {resp.status}")
        return resp.data

    def _url_of(self, name: str) -> str:
        return self._url + quote(name)
