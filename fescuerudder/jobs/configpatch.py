"""Difference between two configurations, so that a change of a large manifest costs few bytes."""

import attrs

from fescuerudder.jobs.accounts import Account
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.manifest import Manifest, Pool, Queue


@attrs.frozen(kw_only=True)
class ConfigPatch:
    """Changes from one configuration to another.

    Args:
        base_revision: revision of the manifest to which the patch applies.
        revision: revision of the manifest that results.
        queues: queues that are new or have changed.
        removed: names of the queues that are removed.
        pools: all worker pools.
        zones_out: all zones that are out of service.
        version: version of the store of the resulting configuration.
        accounts: accounts that are new or have changed.
        removed_accounts: names of the accounts that are removed.
    """

    base_revision: int
    revision: int
    queues: tuple[Queue, ...]
    removed: tuple[str, ...]
    pools: tuple[Pool, ...]
    zones_out: frozenset[str]
    version: int
    accounts: tuple[Account, ...] = ()
    removed_accounts: tuple[str, ...] = ()


def make_patch(base: ConfigView, view: ConfigView) -> ConfigPatch | None:
    """Returns the changes from `base` to `view`, None if one of them has no manifest."""
    if base.manifest is None or view.manifest is None:
        return None
    known = {queue.name: queue for queue in base.manifest.queues}
    names = {queue.name for queue in view.manifest.queues}
    accounts = {account.name: account for account in base.manifest.accounts}
    kept = {account.name for account in view.manifest.accounts}
    return ConfigPatch(
        base_revision=base.manifest.revision,
        revision=view.manifest.revision,
        queues=tuple(q for q in view.manifest.queues if known.get(q.name) != q),
        removed=tuple(name for name in known if name not in names),
        pools=view.manifest.pools,
        zones_out=view.zones_out,
        version=view.version,
        accounts=tuple(a for a in view.manifest.accounts if accounts.get(a.name) != a),
        removed_accounts=tuple(name for name in accounts if name not in kept),
    )


def apply_patch(view: ConfigView, patch: ConfigPatch) -> ConfigView | None:
    """Returns the configuration that results, None if the patch is for another manifest.

    A manifest's content never changes under one revision, so the revision identifies the base.
    """
    manifest = view.manifest
    if manifest is None or manifest.revision != patch.base_revision:
        return None
    queues = {queue.name: queue for queue in manifest.queues}
    for name in patch.removed:
        queues.pop(name, None)
    queues.update({queue.name: queue for queue in patch.queues})
    accounts = {a.name: a for a in manifest.accounts if a.name not in patch.removed_accounts}
    accounts.update({account.name: account for account in patch.accounts})
    return ConfigView(
        manifest=Manifest(
            revision=patch.revision,
            queues=tuple(queues.values()),
            pools=patch.pools,
            accounts=tuple(accounts.values()),
        ),
        zones_out=patch.zones_out,
        version=patch.version,
    )
