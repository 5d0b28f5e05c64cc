"""The Fiji Heritage Tile Guild's deployment: the pattern desk and the order ledger."""

import argparse
from datetime import timedelta
from decimal import Decimal

from bulrushhall import (
    Class,
    Deployment,
    Engines,
    Model,
    Rate,
    Service,
    Team,
    Version,
    VmClass,
    Weights,
    Zone,
    backends_from,
    gib,
)

REGION = "viti-central"
ZONES = ["suva-a", "suva-b", "nausori", "navua"]


def guild(backends: dict[str, list[str]]) -> Deployment:
    """Returns the deployment, with backend servers at fixed addresses where some are given."""
    deployment = Deployment()
    deployment.add(*(Zone(name, region=REGION) for name in ZONES))
    deployment.add(
        VmClass(
            "accelerated",
            accelerators=8,
            reclaimable_price=Decimal("0.90"),
            on_demand_price=Decimal("2.70"),
        ),
        Service("pattern-desk", backends=backends.get("pattern-desk")),
        Engines("pattern-desk", least=8, most=16, vm_classes=["accelerated"]),
        Model("motif-7b", service="pattern-desk", version="motif-7b-3"),
        Version("motif-7b-3", model="motif-7b", weights="motif-7b/3", size=gib(14)),
        # Orders run at most once; stock lookups are idempotent.
        Service(
            "guild-ledger",
            service_type="plain",
            backends=backends.get("guild-ledger"),
            non_repeatable=["/orders"],
            timeout=timedelta(seconds=5),
        ),
    )
    deployment.add(
        # Glaze consultations and catalogue queries from the workshop floor.
        Class("urgent", priority=0, first_token=timedelta(seconds=1.9)),
        # Archive surveys.
        Class(
            "patient",
            priority=5,
            first_token=timedelta(minutes=2),
            deadline=timedelta(minutes=20),
            patience=timedelta(minutes=5),
        ),
    )
    deployment.add(
        Team("workshop", share=4, at_once=200),
        Team("archive", share=4, requests=Rate(per_minute=90)),
        Team("restorers", share=2),
        Team("churches", share=1),
        Team("shopfronts", share=1),
        Weights(cost=2.0, recomputed=1.0),
    )
    return deployment


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--backends-from", metavar="FILE", help="output of `bulrush show --json`")
    args = parser.parse_args()
    guild(backends_from(args.backends_from) if args.backends_from else {}).print()
