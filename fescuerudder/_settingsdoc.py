"""Reference page of the settings, made from the code."""

import attrs

from fescuerudder.settings import Settings, env_name


def settings_page() -> str:
    """Returns the reference of all settings as Markdown."""
    rows = [_row(field) for field in attrs.fields(Settings)]
    return "\n".join([_HEAD, *rows]) + "\n"


def describe_setting(field: attrs.Attribute) -> str:
    """Returns the help text of one setting with its default."""
    return f"{field.metadata['help']} {_default_text(field)}"


def _row(field: attrs.Attribute) -> str:
    flag = field.name.replace("_", "-")
    cells = (
        f"`--{flag}`",
        f"`{env_name(field.name)}`",
        field.type.__name__,
        _default_text(field),
        field.metadata["help"],
    )
    return f"| {' | '.join(cells)} |"


def _default_text(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return "Required."
    if isinstance(field.default, attrs.Factory):
        return "Default: chosen at start."
    return f"Default: {field.default!r}."


_HEAD = """# Settings of an entry instance

Made by `fescuerudder settings`; do not edit by hand. A flag of `fescuerudder entry` goes before its
environment variable. All faults are reported at once, before anything starts.

| Flag | Environment variable | Type | Default | Meaning |
| --- | --- | --- | --- | --- |"""
