"""Lays whole sites for the operators' bench from the project's own values and one of the operators' sites.

    python -m benchmarks.sites ../given/kit/sites/caxias-principal.toml deploy/sites/*.toml

Each goes to `laid/NAME/NAME.toml` beside its values, with the JSON files and `unlock.txt` of the operators'
site. What is laid holds their text, so it is never committed.

The values' tables replace those of the site key by key, lists of tables as a whole; `tier` is one table for
all tiers. A key that the site lacks is a slip, unless `adds` names it. Exit: 0 laid, 2 bad input, with one
line that names the field.
"""

from __future__ import annotations

import shutil
import sys
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import tomli_w

LAID = "laid"
BESIDE = ("real.json", "wire.json", "unlock.txt")


class BadSite(ValueError):
    """Values or a site that can't be used; the text names file and field."""


def read(path: Path) -> dict[str, Any]:
    """A TOML file; a BadSite tells why it can't be read."""
    try:
        return tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise BadSite(f"{path}: {error}") from None


def _fits(old: Any, new: Any) -> bool:
    """Whether a value is of the kind that the site has there: numbers or a range, words or a list of them."""
    kinds = [{type(v) for v in (x if isinstance(x, list) else [x])} for x in (old, new)]
    numbers = {int, float}
    return kinds[1] <= (numbers if kinds[0] <= numbers else kinds[0])


def merge(site: dict[str, Any], values: dict[str, Any], adds: Iterable[str], at: str = "") -> None:
    """Put the values into the site; a BadSite names the field that does not fit."""
    for key, new in values.items():
        field = f"{at}{key}"
        if key not in site and field not in adds:
            raise BadSite(f"{field}: the site has no such field")
        old = site.get(key)
        if isinstance(new, dict):
            for table in old if isinstance(old, list) else [old]:
                if not isinstance(table, dict):
                    raise BadSite(f"{field}: is no table in the site")
                merge(table, new, adds, f"{field}.")
        elif isinstance(old, dict) or (_tables(old) and not _tables(new)):
            raise BadSite(f"{field}: is a table in the site")
        elif old is not None and not _tables(old) and not _fits(old, new):
            raise BadSite(f"{field}: {new!r} is of another kind than {old!r}")
        else:
            site[key] = new


def _tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(v, dict) for v in value)


def lay(site: Path, values: Path) -> Path:
    """Lay one whole site; returns its file."""
    own = read(values)
    whole = read(site)
    adds = own.pop("adds", [])
    name = own.get("name")
    if not isinstance(name, str) or name != values.stem:
        raise BadSite(f"{values}: name: {name!r} is not that of the file")
    if not isinstance(adds, list) or not all(isinstance(field, str) for field in adds):
        raise BadSite(f"{values}: adds: {adds!r} is no list of fields")
    try:
        merge(whole, own, adds)
    except BadSite as error:
        raise BadSite(f"{values}: {error}") from None
    folder = values.parent / LAID / name
    folder.mkdir(parents=True, exist_ok=True)
    for beside in BESIDE:
        try:
            (folder / beside).unlink(missing_ok=True)
            shutil.copyfile(site.parent / beside, folder / beside)  # without its mode: it may be read-only
        except OSError as error:
            raise BadSite(f"{site.parent / beside}: {error.strerror}") from None
    laid = folder / f"{name}.toml"
    laid.write_text(tomli_w.dumps(whole))
    return laid


def main(args: list[str]) -> int:
    if len(args) < 2:
        print("usage: python -m benchmarks.sites SITE VALUES...", file=sys.stderr)
        return 2
    try:
        for values in args[1:]:
            print(lay(Path(args[0]), Path(values)))
    except BadSite as error:
        print(f"sites: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
