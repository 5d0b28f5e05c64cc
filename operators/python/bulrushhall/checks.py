"""Checks that find the problems of a deployment without contacting a node."""

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
# Maps the kind and key of a section to the kind of section that the key's value names.
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
_POSITIVE_KEYS = {"share", "max_tokens", "step", "answers", "accelerators"}


def find_problems(sections: Sequence[Section]) -> list[Problem]:
    """Returns all problems, ordered by file and line."""
    problems: list[Problem] = []
    names_by_kind: dict[str, set[str]] = {}
    for section in sections:
        names_by_kind.setdefault(section.kind, set()).add(section.label)
    first_sections: dict[tuple[str, str], Section] = {}
    for section in sections:
        problems += _check_name(section)
        problems += _check_values(section)
        problems += _check_references(section, names_by_kind)
        first = first_sections.setdefault((section.kind, section.label), section)
        if first is not section:
            message = f"{section.kind} {section.label} is defined twice, first at {first.place}"
            problems.append(Problem(section.place, message, "remove one of them"))
    return sorted(problems, key=lambda problem: (problem.place.file, problem.place.line))


def _check_name(section: Section) -> Iterable[Problem]:
    if section.kind != "weights" and not _NAME.fullmatch(section.label):
        message = f"malformed name of a {section.kind}: {section.label!r}"
        yield Problem(section.place, message, "use 1 to 64 letters, digits, '.', '_' or '-'")


def _check_values(section: Section) -> Iterable[Problem]:
    prefix = f"{section.kind} {section.label}"
    for key, value in vars(section).items():
        if isinstance(value, timedelta) and value <= timedelta(0):
            yield Problem(section.place, f"{prefix}: {key} is not positive", "write a longer time")
        if isinstance(value, Decimal) and (value < 0 or value != round(value, 3)):
            hint = "write at least 0, with at most three decimals"
            yield Problem(section.place, f"{prefix}: {key} is {value}", hint)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if is_number and value < (1 if key in _POSITIVE_KEYS else 0):
            hint = f"write at least {1 if key in _POSITIVE_KEYS else 0}"
            yield Problem(section.place, f"{prefix}: {key} is {value}", hint)
        if isinstance(value, str) and ("\n" in value or "\r" in value):
            yield Problem(section.place, f"{prefix}: {key} has a line break", "remove it")
    if isinstance(section, Class) and section.deadline and section.first_token:
        if section.deadline < section.first_token:
            message = f"{prefix}: the deadline is before the first token"
            yield Problem(section.place, message, "make the deadline longer")
    if isinstance(section, Service):
        for path in section.non_repeatable or ():
            if not path.startswith("/"):
                message = f"{prefix}: the path {path!r} does not start with /"
                yield Problem(section.place, message, f"write /{path}")
    if isinstance(section, Team) and section.key_hash and not _HASH.fullmatch(section.key_hash):
        yield Problem(section.place, f"{prefix}: key_hash is no SHA-256 hash", "use hash_key(KEY)")


def _check_references(section: Section, names_by_kind: dict[str, set[str]]) -> Iterable[Problem]:
    for (kind, key), target in _REFERENCES.items():
        if section.kind != kind:
            continue
        value = getattr(section, key)
        referenced = [value] if isinstance(value, str) else list(value or ())
        known = names_by_kind.get(target, set())
        for name in referenced:
            if name in known:
                continue
            message = f"{kind} {section.label} names the {target} {name}, which is missing"
            similar = difflib.get_close_matches(name, sorted(known), n=1)
            hint = f"did you mean {similar[0]}?" if similar else f"add a {target} called {name}"
            yield Problem(section.place, message, hint)
