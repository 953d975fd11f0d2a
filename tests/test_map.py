"""The map of the code names every module, and its arrows are the imports."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "fescuerudder"


def read_map():
    """Returns the modules and the allowed imports of each group."""
    modules, allowed = {}, {}
    for line in (ROOT / "docs" / "map.md").read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if not line.startswith("| ") or len(cells) != 3 or cells[0] in ("Group", "---"):
            continue
        group, names, imports = cells
        modules.update(dict.fromkeys(re.findall(r"[\w.]+", names), group))
        allowed[group] = {name.strip() for name in imports.split(",") if name.strip()}
    return modules, allowed


def read_imports():
    """Returns the modules of the package that each module imports."""
    names = {path: _name(path) for path in PACKAGE.rglob("*.py") if path.name != "__init__.py"}
    known = set(names.values())
    found = {}
    for path, name in names.items():
        nodes = [n for n in ast.walk(ast.parse(path.read_text())) if isinstance(n, ast.ImportFrom)]
        targets = set()
        for node in nodes:
            if node.module and f"{node.module}.".startswith("fescuerudder."):
                inside = node.module.removeprefix("fescuerudder").removeprefix(".")
                direct = {".".join(filter(None, (inside, a.name))) for a in node.names}
                targets |= ({inside} | direct) & known
        found[name] = targets
    return found


def _name(path):
    return ".".join(path.relative_to(PACKAGE).with_suffix("").parts)


def test_every_module_is_on_the_map():
    """Guards against a map that newcomers can't rely on."""
    modules, _ = read_map()
    assert set(modules) == set(read_imports())


def test_arrows_match_the_imports():
    """Guards against modules that reach into groups that should not know of each other."""
    modules, allowed = read_map()
    seen = {group: set() for group in allowed}
    for module, targets in read_imports().items():
        seen[modules[module]] |= {modules[target] for target in targets} - {modules[module]}
    assert seen == allowed
