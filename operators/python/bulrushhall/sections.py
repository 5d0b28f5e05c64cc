"""The sections of a configuration, one class per kind."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, fields
from datetime import timedelta
from decimal import Decimal
from typing import ClassVar, Literal

from .problem import Place, caller_place
from .units import Rate, duration_text, price_text, size_text


# Maps fields to keys that can't be field names, since `type` and `kind` mean something else in a
# section class.
KEY_NAMES = {"service_type": "type", "route_kind": "kind"}


@dataclass(kw_only=True)
class Section:
    """A section of the configuration, with the program line that created it."""

    kind: ClassVar[str]
    place: Place = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        self.place = caller_place()

    @property
    def label(self) -> str:
        """Returns the name of the section, or an empty string for a kind without names."""
        return str(getattr(self, "name", ""))

    @classmethod
    def keys(cls) -> list[str]:
        """Returns the keys that a section of this kind accepts."""
        names = [item.name for item in fields(cls) if item.name not in ("name", "place")]
        return [KEY_NAMES.get(key, key) for key in names]

    def values(self) -> dict[str, str]:
        """Returns the keys that are set, with their values as text."""
        texts = {}
        for item in fields(self):
            value = getattr(self, item.name, None)
            if item.name in ("name", "place") or value is None:
                continue
            key = KEY_NAMES.get(item.name, item.name)
            texts[key] = value_text(key, value)
        return texts


@dataclass
class Zone(Section):
    """An availability zone."""

    kind = "zone"
    name: str
    region: str | None = None


@dataclass
class VmClass(Section):
    """A class of VMs, bought only up to the given hourly prices."""

    kind = "vm-class"
    name: str
    zones: Sequence[str] | None = None
    accelerators: int | None = None
    reclaimable_price: Decimal | None = None
    on_demand_price: Decimal | None = None


@dataclass
class Service(Section):
    """A service and its backend servers."""

    kind = "service"
    name: str
    service_type: Literal["model", "plain"] = "model"
    backends: Sequence[str] | None = None
    non_repeatable: Sequence[str] | None = None
    idempotent_methods: Sequence[str] | None = None
    fencing: Literal["ignored", "checked"] | None = None
    timeout: timedelta | None = None


@dataclass
class Engines(Section):
    """The engines of the service of the same name: their number, capacity and placement."""

    kind = "engines"
    name: str
    least: int | None = None
    most: int | None = None
    answers: int | None = None
    spare_zones: int | None = None
    vm_classes: Sequence[str] | None = None


@dataclass
class Model(Section):
    """A model."""

    kind = "model"
    name: str
    service: str
    version: str | None = None
    max_tokens: int | None = None


@dataclass
class Version(Section):
    """A version of a model; its size is in bytes."""

    kind = "version"
    name: str
    model: str
    weights: str | None = None
    size: int | None = None


@dataclass
class Adapter(Section):
    """An adapter that is loaded in addition to a model; its size is in bytes."""

    kind = "adapter"
    name: str
    model: str
    weights: str | None = None
    size: int | None = None


@dataclass
class Rollout(Section):
    """The gradual rollout of a model's version."""

    kind = "rollout"
    name: str
    model: str
    version: str
    step: int | None = None
    pause: timedelta | None = None


@dataclass
class Class(Section):
    """A class of requests; priority 0 is the most urgent."""

    kind = "class"
    name: str
    priority: int | None = None
    first_token: timedelta | None = None
    token_gap: timedelta | None = None
    deadline: timedelta | None = None
    patience: timedelta | None = None


@dataclass
class Team(Section):
    """A team of callers."""

    kind = "team"
    name: str
    share: int | None = None
    key_hash: str | None = None
    other_key_hash: str | None = None
    at_once: int | None = None
    requests: Rate | None = None
    tokens: Rate | None = None


@dataclass
class Route(Section):
    """A route from callers' requests to services."""

    kind = "route"
    name: str
    host: str | None = None
    prefix: str | None = None
    services: Sequence[str] | None = None
    route_kind: Literal["idempotent", "at-most-once", "stream", "resumable-stream"] | None = None
    attempts: int | None = None
    timeout: timedelta | None = None
    target_latency: timedelta | None = None
    target_gap: timedelta | None = None
    priority: int | None = None
    anonymous: bool | None = None


@dataclass
class Weights(Section):
    """The weights of cost and of recomputed tokens in decisions."""

    kind = "weights"
    cost: float | None = None
    recomputed: float | None = None


KINDS: tuple[type[Section], ...] = (
    Zone,
    VmClass,
    Service,
    Engines,
    Model,
    Version,
    Adapter,
    Rollout,
    Class,
    Team,
    Route,
    Weights,
)


def value_text(key: str, value: object) -> str:
    """Returns a value in the syntax of the configuration."""
    if isinstance(value, timedelta):
        return duration_text(value)
    if isinstance(value, Decimal):
        return price_text(value)
    if isinstance(value, bool):
        return str(value).lower()
    if key == "size" and isinstance(value, int):
        return size_text(value)
    if isinstance(value, Sequence) and not isinstance(value, str):
        return ", ".join(str(item) for item in value)
    return str(value)
