"""Fleet of the shortlist service; prints its configuration as JSON.

Ten workers with 128 cores, 256 GB and 8 accelerators each, three workers a
rack, in three data centres of two regions. The store is in Gauteng. One worker
of each data centre may fail at any time, so Sandton counts for 24
accelerators, Midrand and Observatory for 16 each. The tokens of the
demonstration are ``demo-`` and the account's name.
"""

from __future__ import annotations

from damaskpin.operator import library

WORKERS_PER_RACK = 3
ACCELERATORS = 8


def make_fleet() -> library.Fleet:
    """Return the fleet with its client accounts, shapes and jobs."""
    fleet = library.Fleet(failed_workers=1)
    gauteng = fleet.add_region('gauteng')
    sandton = gauteng.add_data_centre('sandton')
    sandton.add_rack('sandton-1', WORKERS_PER_RACK, ACCELERATORS)
    sandton.add_rack('sandton-2', 1, ACCELERATORS)
    midrand = gauteng.add_data_centre('midrand')
    midrand.add_rack('midrand-1', WORKERS_PER_RACK, ACCELERATORS)
    western_cape = fleet.add_region('western-cape')
    observatory = western_cape.add_data_centre('observatory')
    observatory.add_rack('observatory-1', WORKERS_PER_RACK, ACCELERATORS)

    # Large: pitches of agencies need a whole screening model in one place. A
    # shape of one rack would leave no room for the founders in Sandton.
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

    # Large: brand houses screen whole portfolios.
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

    # Scoring of the sound has no urgency, but runs for hours.
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
    """Print the configuration."""
    print(make_fleet().render(), end='')


if __name__ == '__main__':
    main()
