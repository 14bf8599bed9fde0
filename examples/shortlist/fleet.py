"""Defines the fleet of the shortlist service and prints its configuration.

The fleet has ten workers in three data centres of two regions, with at most
three workers a rack. Each worker has 128 cores, 256 GB of memory and 8
accelerators. The store is in Gauteng. Guarantees must hold while one worker of
each data centre has failed, so only 24 accelerators of Sandton and 16 each of
Midrand and Observatory can be guaranteed. In the demo, the token of an account
is ``demo-`` followed by the account's name.
"""

from __future__ import annotations

from damaskpin.operator import library

WORKERS_PER_RACK = 3
ACCELERATORS_PER_WORKER = 8


def make_fleet() -> library.Fleet:
    """Build the fleet with its client accounts, guaranteed shapes and jobs."""
    fleet = library.Fleet(failed_workers=1)
    gauteng = fleet.add_region('gauteng')
    sandton = gauteng.add_data_centre('sandton')
    sandton.add_rack('sandton-1', WORKERS_PER_RACK, ACCELERATORS_PER_WORKER)
    sandton.add_rack('sandton-2', 1, ACCELERATORS_PER_WORKER)
    midrand = gauteng.add_data_centre('midrand')
    midrand.add_rack('midrand-1', WORKERS_PER_RACK, ACCELERATORS_PER_WORKER)
    western_cape = fleet.add_region('western-cape')
    observatory = western_cape.add_data_centre('observatory')
    observatory.add_rack(
        'observatory-1', WORKERS_PER_RACK, ACCELERATORS_PER_WORKER
    )

    # Large jobs: agencies need a whole screening model in one data centre. If
    # the guarantee were for one rack, Sandton would have no room for the
    # guarantee of the founders.
    agencies = fleet.add_account(
        'agencies',
        token_sha256=(
            '2de4ba7aa4f91eab98dec93c4718f73147a7055ddb3938971fd7e0a2d1aea055'
        ),
        quota=56,
        weight=4.0,
        requests_per_second=200.0,
    )
    screening = agencies.add_shape(
        'screening', 16, 'data_centre', gauteng, data_centre=sandton
    )
    agencies.add_job(
        'screen-registers',
        16,
        screening,
        adjacency='data_centre',
        priority=0,
        run_seconds=3600.0,
    )

    # Large jobs: brand houses screen whole portfolios of brands.
    brand_houses = fleet.add_account(
        'brand-houses',
        token_sha256=(
            '954ba353c5991483fa5672fb301cfc4f6487bc23e045418a07fab6a8bec16637'
        ),
        quota=40,
        weight=3.0,
    )
    portfolio = brand_houses.add_shape(
        'portfolio', 16, 'rack', gauteng, data_centre=midrand
    )
    brand_houses.add_shape('late-pitch', 8, 'worker', western_cape)
    brand_houses.add_job(
        'screen-portfolio',
        16,
        portfolio,
        adjacency='rack',
        priority=1,
        run_seconds=14400.0,
    )

    founders = fleet.add_account(
        'founders',
        token_sha256=(
            '2874d3e36a7fe68657f55472ea866682b5af16db12ebeed3796f1cd89cc517f7'
        ),
        quota=16,
        weight=1.0,
    )
    founders.add_shape('first-names', 4, 'worker', gauteng, count=2)

    # Scoring the sound of names is not urgent, but runs for hours.
    sound_scoring = fleet.add_account(
        'sound-scoring',
        token_sha256=(
            '740a1fec0434de36e804607a9e287d303914cb26f04f62e5b6e8beb10c8cc5b5'
        ),
        quota=32,
        weight=1.0,
    )
    languages = sound_scoring.add_shape(
        'languages', 4, 'worker', western_cape, count=2
    )
    sound_scoring.add_job(
        'score-languages',
        4,
        languages,
        priority=3,
        run_seconds=28800.0,
    )
    return fleet


def main() -> None:
    """Print the fleet's configuration as JSON."""
    print(make_fleet().render(), end='')


if __name__ == '__main__':
    main()
