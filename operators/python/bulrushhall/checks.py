"""What can be told wrong without asking a node."""

from __future__ import annotations

import difflib
import re
from collections.abc import Iterable, Sequence
from datetime import timedelta
from decimal import Decimal

from .problem import Problem
from .sections import Class, Section, Service, Team

_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
_HASH = re.compile(r"[0-9a-fA-F]{64}")
# Which key of which kind of section names a section of which kind.
_REFERENCES = {
    ("engines", "name"): "service",
    ("engines", "vm_classes"): "vm-class",
    ("vm-class", "zones"): "zone",
    ("model", "service"): "service",
    ("version", "model"): "model",
    ("adapter", "model"): "model",
    ("rollout", "model"): "model",
    ("rollout", "version"): "version",
}
_LEAST_ONE = {"share", "max_tokens", "step", "answers", "accelerators"}


def find_problems(sections: Sequence[Section]) -> list[Problem]:
    """Returns everything that is wrong, in the order of the lines."""
    problems: list[Problem] = []
    names: dict[str, set[str]] = {}
    for section in sections:
        names.setdefault(section.kind, set()).add(section.label)
    seen: dict[tuple[str, str], Section] = {}
    for section in sections:
        problems += _name(section)
        problems += _values(section)
        problems += _references(section, names)
        first = seen.setdefault((section.kind, section.label), section)
        if first is not section:
            message = f"{section.kind} {section.label} stands twice, first at {first.place}"
            problems.append(Problem(section.place, message, "remove one of them"))
    return sorted(problems, key=lambda problem: (problem.place.file, problem.place.line))


def _name(section: Section) -> Iterable[Problem]:
    if section.kind != "weights" and not _NAME.fullmatch(section.label):
        message = f"malformed name of a {section.kind}: {section.label!r}"
        yield Problem(section.place, message, "use 1 to 64 letters, digits, '.', '_' or '-'")


def _values(section: Section) -> Iterable[Problem]:
    of = f"{section.kind} {section.label}"
    for key, value in vars(section).items():
        if isinstance(value, timedelta) and value <= timedelta(0):
            yield Problem(section.place, f"{of}: {key} is not positive", "write a longer time")
        if isinstance(value, Decimal) and (value < 0 or value != round(value, 3)):
            hint = "write at least 0, with at most three decimals"
            yield Problem(section.place, f"{of}: {key} is {value}", hint)
        number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if number and value < (1 if key in _LEAST_ONE else 0):
            hint = f"write at least {1 if key in _LEAST_ONE else 0}"
            yield Problem(section.place, f"{of}: {key} is {value}", hint)
        if isinstance(value, str) and ("\n" in value or "\r" in value):
            yield Problem(section.place, f"{of}: {key} has a line break", "remove it")
    if isinstance(section, Class) and section.deadline and section.first_token:
        if section.deadline < section.first_token:
            message = f"{of}: the deadline is before the first token"
            yield Problem(section.place, message, "make the deadline longer")
    if isinstance(section, Service):
        for path in section.non_repeatable or ():
            if not path.startswith("/"):
                message = f"{of}: the path {path!r} does not start with /"
                yield Problem(section.place, message, f"write /{path}")
    if isinstance(section, Team) and section.key_hash and not _HASH.fullmatch(section.key_hash):
        yield Problem(section.place, f"{of}: key_hash is no SHA-256 hash", "use hash_key(KEY)")


def _references(section: Section, names: dict[str, set[str]]) -> Iterable[Problem]:
    for (kind, key), target in _REFERENCES.items():
        if section.kind != kind:
            continue
        value = getattr(section, key)
        wanted = [value] if isinstance(value, str) else list(value or ())
        known = names.get(target, set())
        for name in wanted:
            if name in known:
                continue
            message = f"{kind} {section.label} names the {target} {name}, which is missing"
            near = difflib.get_close_matches(name, sorted(known), n=1)
            hint = f"did you mean {near[0]}?" if near else f"add a {target} called {name}"
            yield Problem(section.place, message, hint)
