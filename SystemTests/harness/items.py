"""Configuration items of the system tests, as docs/CONFIGURATION.md has them."""

import hashlib
import json
import secrets
from dataclasses import dataclass, field


@dataclass
class Key:
    """A caller's key and the record that the system keeps."""

    name: str
    workspace: str
    secret: str = field(default_factory=lambda: secrets.token_hex(16))
    salt: str = field(default_factory=lambda: secrets.token_hex(16))

    @property
    def text(self):
        return f"{self.name}.{self.secret}"

    def edit(self):
        digest = hashlib.sha256(f"{self.salt}.{self.secret}".encode())
        return item(
            "key",
            self.name,
            workspace=self.workspace,
            salt=self.salt,
            digest=digest.hexdigest(),
        )


def item(kind, name, **fields):
    """An edit that sets an item."""
    return {"kind": kind, "name": name, "json": fields}


def removal(kind, name):
    """An edit that removes an item."""
    return {"kind": kind, "name": name, "json": None}


def workspace(name, rate=1e6, burst=1e6, pools=("pre", "dec", "registry")):
    return item(
        "workspace",
        name,
        rate_tokens_per_second=rate,
        burst_tokens=burst,
        pools=list(pools),
    )


def pools(model="m1"):
    return [
        item("pool", "pre", role="prefill", model=model),
        item("pool", "dec", role="decode", model=model),
        item("pool", "registry", role="plain"),
    ]


def routes(deadline="30s"):
    """Routes of every kind: drafts and lookups on engines and plain services,
    one that must not repeat, one that is open to all."""
    engines = {"prefill_pool": "pre", "decode_pool": "dec", "deadline": deadline}
    plain = {"plain_pool": "registry", "deadline": deadline}
    return [
        item("route", "chat", path="/v1/chat/completions", **{"class": "draft"}, **engines),
        item("route", "text", path="/v1/completions", **{"class": "draft"}, **engines),
        item("route", "lookups", path="/lookups", **{"class": "lookup"}, **plain),
        item(
            "route",
            "certificates",
            path="/certificates",
            idempotent=False,
            **{"class": "non_idempotent"},
            **plain,
        ),
        item("route", "notices", path="/notices", open_to_all=True, **{"class": "draft"}, **plain),
    ]


def seed_rows(edits):
    """Rows of a first configuration, as docs/PLATFORM.md lays them out."""
    change = {"version": 1, "operation": "seed", "operator": "seed", "edits": edits}
    return [
        {"key": "config/head", "value": json.dumps({"version": 1, "snapshot": 0})},
        {"key": "config/change/" + "1".zfill(20), "value": json.dumps(change)},
        {"key": "config/operation/seed", "value": json.dumps({"version": 1})},
    ]
