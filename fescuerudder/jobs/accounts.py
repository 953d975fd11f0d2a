"""Client accounts of a manifest: their keys, their weights and their caps.

Only the hashes of keys are kept, so that no key can appear in a log line, an error or a message
between instances, and a lookup by hash tells nothing of the contents of a key.
"""

import hashlib
from collections.abc import Iterable

import attrs

from fescuerudder.document import Size

NO_ACCOUNT = ""
"""Account of a job that was submitted without a key."""


@attrs.frozen(kw_only=True)
class Account:
    """A client account.

    Args:
        name: identity across revisions of the manifest.
        key_hashes: hashes of its keys; see `hash_key`.
        weight: weight of its share where there is too little capacity, and number of jobs a second
            that its callers are entitled to.
        cap: upper bounds on what it has running on all workers together; 0 is no bound.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    cap: Size = Size()


def hash_key(key: str) -> str:
    """Returns the hash under which a key is kept and found."""
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


def check_accounts(accounts: Iterable[Account]) -> None:
    """Checks that names and keys are unambiguous.

    Raises:
        ValueError: an account has no name, or two have the same name or the same key.
    """
    names: set[str] = set()
    owners: dict[str, str] = {}
    for account in accounts:
        if not account.name:
            raise ValueError("an account has no name")
        if account.name in names:
            raise ValueError(f"two accounts are called {account.name!r}")
        names.add(account.name)
        for key_hash in account.key_hashes:
            owner = owners.setdefault(key_hash, account.name)
            if owner != account.name:
                raise ValueError(f"accounts {owner!r} and {account.name!r} have the same key")


class AccountIndex:
    """Finds the account of a key.

    Args:
        accounts: all accounts; none are in force if there are none.
    """

    def __init__(self, *, accounts: Iterable[Account] = ()) -> None:
        self._by_hash = {
            key_hash: account.name for account in accounts for key_hash in account.key_hashes
        }

    def find(self, key: str) -> str | None:
        """Returns the name of the account that a key belongs to, None if there is none."""
        return self._by_hash.get(hash_key(key))
