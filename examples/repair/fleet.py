"""Fleet of the repair service; prints its configuration as JSON.

Ten workers with 128 cores, 512 GB and 8 accelerators each, three workers a
rack, in three data centres of two regions. The store is in Almaty. One worker
of each data centre may fail at any time, so Almaty-Medeu counts for 24
accelerators, Almaty-Bostandyk and Astana-Yesil for 16 each. The tokens of the
demonstration are ``demo-`` and the account's name.
"""

from __future__ import annotations

from damaskpin.operator import library

WORKERS_PER_RACK = 3
ACCELERATORS = 8


def make_fleet() -> library.Fleet:
    """Return the fleet with its client accounts, shapes and jobs."""
    fleet = library.Fleet(failed_workers=1)
    almaty = fleet.add_region('almaty')
    medeu = almaty.add_data_centre('almaty-medeu')
    medeu.add_rack('medeu-1', WORKERS_PER_RACK, ACCELERATORS)
    medeu.add_rack('medeu-2', 1, ACCELERATORS)
    bostandyk = almaty.add_data_centre('almaty-bostandyk')
    bostandyk.add_rack('bostandyk-1', WORKERS_PER_RACK, ACCELERATORS)
    astana = fleet.add_region('astana')
    yesil = astana.add_data_centre('astana-yesil')
    yesil.add_rack('yesil-1', WORKERS_PER_RACK, ACCELERATORS)

    # Large: matching spans the workers of a data centre, and starves first
    # when small jobs scatter. 24 is all that Medeu has after a failure.
    matching = fleet.add_account(
        'matching',
        token_sha256=(
            'e3bfabaafd00e0fe4e9bb71c63a6e7412251782b95146533ec47155a37a31af3'
        ),
        quota=64,
        weight=4.0,
    )
    archive = matching.add_shape(
        'fabric-archive', 24, 'data_centre', almaty, data_centre=medeu
    )
    matching.add_job(
        'match-archive',
        24,
        archive,
        adjacency='data_centre',
        priority=1,
        run_seconds=10800.0,
    )

    # Large: the workshops' seam patterns are trained in one rack.
    workshops = fleet.add_account(
        'workshops',
        token_sha256=(
            '0ccfc3d573aebc3dd2a72e25cf8f7d33785b93fdff4eddd2a5bc318ffb382fd6'
        ),
        quota=40,
        weight=3.0,
    )
    seams = workshops.add_shape(
        'seam-patterns', 16, 'rack', astana, data_centre=yesil
    )
    workshops.add_job(
        'train-seams',
        16,
        seams,
        adjacency='rack',
        priority=2,
        run_seconds=21600.0,
    )

    # Intake comes in bursts of small jobs from many counters.
    counters = fleet.add_account(
        'counters',
        token_sha256=(
            '0eb7fef755d6bb1a5f44c2d121d8fee01463b82e569cdffa118d1681f2d3dd02'
        ),
        quota=24,
        weight=2.0,
        max_queued=5000,
        requests_per_second=300.0,
    )
    photos = counters.add_shape(
        'photo-intake', 2, 'worker', almaty, count=4, data_centre=bostandyk
    )
    counters.add_job('read-photos', 2, photos, priority=0, run_seconds=120.0)

    quotes = fleet.add_account(
        'quotes',
        token_sha256=(
            'a3aceaaffc738896940f84dda74561d05a5d1e9b2f177710c7214da04bece69a'
        ),
        quota=16,
        weight=1.0,
    )
    quotes.add_shape(
        'drafts', 4, 'worker', almaty, count=2, data_centre=bostandyk
    )
    return fleet


def main() -> None:
    """Print the configuration."""
    print(make_fleet().render(), end='')


if __name__ == '__main__':
    main()
