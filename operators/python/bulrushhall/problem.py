"""Problems of a deployment and their places in the operator's program."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path

_PACKAGE = Path(__file__).resolve().parent


@dataclass(frozen=True)
class Place:
    """A line of the operator's program."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True)
class Problem:
    """A problem of a deployment, with an optional hint how to fix it."""

    place: Place
    message: str
    hint: str | None = None

    def __str__(self) -> str:
        text = f"{self.place}: {self.message}"
        return text if self.hint is None else f"{text} (hint: {self.hint})"


class DeploymentError(Exception):
    """Raised for a deployment with problems; holds all of them, ordered by file and line."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def caller_place() -> Place:
    """Returns the place of the nearest caller outside this package."""
    frame = sys._getframe(1)
    while frame.f_back is not None and _is_package_code(frame.f_code.co_filename):
        frame = frame.f_back
    return Place(frame.f_code.co_filename, frame.f_lineno)


def _is_package_code(file: str) -> bool:
    # Generated constructors of data classes have a placeholder such as <string> as their file.
    return file.startswith("<") or Path(file).resolve().parent == _PACKAGE
