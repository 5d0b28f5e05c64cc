"""Deployments and their rendering as configuration text."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TextIO

from .checks import find_problems
from .problem import DeploymentError
from .sections import KINDS, Section

EXIT_INVALID = 3
"""The exit code for a deployment with problems, the same as that of `bulrush check`."""


class Deployment:
    """A deployment, described by its sections."""

    def __init__(self) -> None:
        self.sections: list[Section] = []

    def add(self, *sections: Section) -> None:
        """Adds sections to the deployment."""
        self.sections.extend(sections)

    def render(self) -> str:
        """Returns the configuration text; raises `DeploymentError` if there are problems."""
        problems = find_problems(self.sections)
        if problems:
            raise DeploymentError(problems)
        order = {kind.kind: index for index, kind in enumerate(KINDS)}
        lines: list[str] = []
        for section in sorted(self.sections, key=lambda section: order[section.kind]):
            # `bulrush check` reports lines of this text; the comment points to the program.
            lines.append(f"; {os.path.basename(section.place.file)}:{section.place.line}")
            lines.append(f"[{section.kind} {section.label}".rstrip() + "]")
            lines += [f"{key} = {value}".rstrip() for key, value in section.values().items()]
            lines.append("")
        return "\n".join(lines)

    def print(self, out: TextIO | None = None) -> None:
        """Prints the configuration; if there are problems, prints these to stderr and exits."""
        try:
            text = self.render()
        except DeploymentError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_INVALID)
        print(text, file=out or sys.stdout)


def backends_from(path: str | Path) -> dict[str, list[str]]:
    """Returns the backend servers of each service from the output of `bulrush show --json`."""
    text = sys.stdin.read() if str(path) == "-" else Path(path).read_text(encoding="utf-8")
    services = json.loads(text)["configuration"]["services"]
    backends = {}
    for name, service in services.items():
        backends[name] = [item.strip() for item in service["backends"].split(",") if item.strip()]
    return backends
