"""A whole deployment and the configuration text that it stands for."""

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
"""The exit code for a deployment with problems, as `bulrush check` has it."""


class Deployment:
    """A whole deployment."""

    def __init__(self) -> None:
        self.sections: list[Section] = []

    def add(self, *sections: Section) -> None:
        """Adds parts to the deployment."""
        self.sections.extend(sections)

    def render(self) -> str:
        """Returns the configuration; raises `DeploymentError` with everything that is wrong."""
        problems = find_problems(self.sections)
        if problems:
            raise DeploymentError(problems)
        order = {kind.kind: at for at, kind in enumerate(KINDS)}
        lines: list[str] = []
        for section in sorted(self.sections, key=lambda section: order[section.kind]):
            # `bulrush check` tells a line of this text; the comment leads on to the program.
            lines.append(f"; {os.path.basename(section.place.file)}:{section.place.line}")
            lines.append(f"[{section.kind} {section.label}".rstrip() + "]")
            lines += [f"{key} = {value}".rstrip() for key, value in section.values().items()]
            lines.append("")
        return "\n".join(lines)

    def print(self, out: TextIO | None = None) -> None:
        """Prints the configuration, or what is wrong, in which case the program ends."""
        try:
            text = self.render()
        except DeploymentError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_INVALID)
        print(text, file=out or sys.stdout)


def backends_from(path: str | Path) -> dict[str, list[str]]:
    """Returns the backend servers of each service out of what `bulrush show --json` printed."""
    text = sys.stdin.read() if str(path) == "-" else Path(path).read_text(encoding="utf-8")
    services = json.loads(text)["configuration"]["services"]
    found = {}
    for name, service in services.items():
        found[name] = [item.strip() for item in service["backends"].split(",") if item.strip()]
    return found
