"""Odd values that another writer may leave, as the text of JSON documents."""

import itertools
import json

import pytest

MAX_EXACT = 2**53
"""Larger integers are not exact in the documents of other writers."""

DEEP = "[" * 100_000 + "]" * 100_000
"""Nested beyond the recursion limit of the decoder."""

NESTED = "[" * 800 + "]" * 800
"""Nested deeply, but so that the decoder takes it."""

ODD_VALUES = {
    "null": "null",
    "true": "true",
    "negative": "-1",
    "fraction": "0.5",
    "infinite": "1e999",
    "negative infinite": "-1e999",
    "nan": "NaN",
    "400 digits": "9" * 400,
    "5000 digits": "9" * 5000,
    "beyond 64 bits": str(2**70),
    "empty text": '""',
    "text": '"odd"',
    "digits as text": '"7"',
    "lone surrogate": '"\\ud800"',
    "line break": '"a\\r\\nX-Other: b"',
    "long text": json.dumps("x" * 100_000),
    "empty list": "[]",
    "list": "[1]",
    "empty object": "{}",
    "object": '{"a": [{}]}',
    "nested": NESTED,
    "deep": DEEP,
}

ODD_DOCUMENTS = {
    **ODD_VALUES,
    "no bytes": "",
    "cut off": '{"a": ',
    "deep object": '{"a":' * 100_000 + "1" + "}" * 100_000,
}
"""Whole documents that are not what was expected."""

ODD_BYTES = {**{name: text.encode() for name, text in ODD_DOCUMENTS.items()}, "binary": b"\xff\x80"}


def with_value(document, path, value):
    """Returns the JSON text of `document` with `value`, itself a JSON text, at a path of keys."""
    marker = "@odd@"
    copy = json.loads(json.dumps(document))
    target = copy
    for name in path[:-1]:
        target = target[name]
    target[path[-1]] = marker
    return json.dumps(copy).replace(f'"{marker}"', value)


def without(document, path):
    """Returns the JSON text of `document` without the field at a path of keys."""
    copy = json.loads(json.dumps(document))
    target = copy
    for name in path[:-1]:
        target = target[name]
    del target[path[-1]]
    return json.dumps(copy)


def variants(document, paths):
    """Returns (id, JSON text) of `document` with each odd value at each path, and with none."""
    found = [
        (f"{'.'.join(map(str, path))}={name}", with_value(document, path, value))
        for path, (name, value) in itertools.product(paths, ODD_VALUES.items())
    ]
    found += [(f"no {'.'.join(map(str, path))}", without(document, path)) for path in paths]
    return found


def table(cases):
    """Returns the parameters of a table of (id, value) pairs."""
    return [pytest.param(value, id=name) for name, value in cases]
