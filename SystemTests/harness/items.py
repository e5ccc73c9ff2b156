"""Edits of the configuration that the system tests use, in the format of
docs/CONFIGURATION.md."""

import hashlib
import json
import secrets
from dataclasses import dataclass, field


@dataclass
class Key:
    """A caller's key. The system stores only a salted digest of the secret."""

    name: str
    workspace: str
    secret: str = field(default_factory=lambda: secrets.token_hex(16))
    salt: str = field(default_factory=lambda: secrets.token_hex(16))

    @property
    def caller_key(self):
        """The key as a caller sends it."""
        return f"{self.name}.{self.secret}"

    def edit(self):
        """Returns an edit that stores the digest of this key."""
        digest = hashlib.sha256(f"{self.salt}.{self.secret}".encode())
        return set_item(
            "key",
            self.name,
            workspace=self.workspace,
            salt=self.salt,
            digest=digest.hexdigest(),
        )


def set_item(kind, name, **fields):
    """Returns an edit that creates or replaces a configuration entry."""
    return {"kind": kind, "name": name, "json": fields}


def remove_item(kind, name):
    """Returns an edit that removes a configuration entry."""
    return {"kind": kind, "name": name, "json": None}


def workspace(name, rate=1e6, burst=1e6, pools=("pre", "dec", "registry")):
    return set_item(
        "workspace",
        name,
        rate_tokens_per_second=rate,
        burst_tokens=burst,
        pools=list(pools),
    )


def pools(model="m1"):
    return [
        set_item("pool", "pre", role="prefill", model=model),
        set_item("pool", "dec", role="decode", model=model),
        set_item("pool", "registry", role="plain"),
    ]


def routes(deadline="30s"):
    """Returns a route of every kind: drafts on engines, lookups on plain
    services, a non-idempotent one, and one that needs no key."""
    engines = {"prefill_pool": "pre", "decode_pool": "dec", "deadline": deadline}
    plain = {"plain_pool": "registry", "deadline": deadline}
    return [
        set_item(
            "route", "chat", path="/v1/chat/completions", **{"class": "draft"}, **engines
        ),
        set_item(
            "route", "text", path="/v1/completions", **{"class": "draft"}, **engines
        ),
        set_item("route", "lookups", path="/lookups", **{"class": "lookup"}, **plain),
        set_item(
            "route",
            "certificates",
            path="/certificates",
            idempotent=False,
            **{"class": "non_idempotent"},
            **plain,
        ),
        set_item(
            "route", "notices", path="/notices", open_to_all=True,
            **{"class": "draft"}, **plain
        ),
    ]


def initial_config_rows(edits):
    """Returns the platform rows of the initial configuration, in the layout of
    docs/PLATFORM.md."""
    initial_change = {
        "version": 1, "operation": "seed", "operator": "seed", "edits": edits
    }
    return [
        {"key": "config/head", "value": json.dumps({"version": 1, "snapshot": 0})},
        {"key": "config/change/" + "1".zfill(20), "value": json.dumps(initial_change)},
        {"key": "config/operation/seed", "value": json.dumps({"version": 1})},
    ]
