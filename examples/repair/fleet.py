"""Defines the fleet of the repair service and prints its configuration.

The fleet has ten workers in three data centres of two regions, with at most
three workers a rack. Each worker has 128 cores, 512 GB of memory and 8
accelerators. The store is in Almaty. Guarantees must hold while one worker of
each data centre has failed, so only 24 accelerators of Almaty-Medeu and 16
each of Almaty-Bostandyk and Astana-Yesil can be guaranteed. In the demo, the
token of an account is ``demo-`` followed by the account's name.
"""

from __future__ import annotations

from damaskpin.operator import library

WORKERS_PER_RACK = 3
ACCELERATORS_PER_WORKER = 8


def make_fleet() -> library.Fleet:
    """Build the fleet with its client accounts, guaranteed shapes and jobs."""
    fleet = library.Fleet(failed_workers=1)
    almaty = fleet.add_region('almaty')
    medeu = almaty.add_data_centre('almaty-medeu')
    medeu.add_rack('medeu-1', WORKERS_PER_RACK, ACCELERATORS_PER_WORKER)
    medeu.add_rack('medeu-2', 1, ACCELERATORS_PER_WORKER)
    bostandyk = almaty.add_data_centre('almaty-bostandyk')
    bostandyk.add_rack(
        'bostandyk-1', WORKERS_PER_RACK, ACCELERATORS_PER_WORKER
    )
    astana = fleet.add_region('astana')
    yesil = astana.add_data_centre('astana-yesil')
    yesil.add_rack('yesil-1', WORKERS_PER_RACK, ACCELERATORS_PER_WORKER)

    # Large jobs: matching needs several workers of one data centre, so it is
    # the first to wait when small jobs are scattered over the workers. Medeu
    # has 24 accelerators left after the failure of a worker.
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

    # Large jobs: seam patterns of the workshops are trained in one rack.
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

    # Small jobs: the counters submit photos in bursts.
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
    """Print the fleet's configuration as JSON."""
    print(make_fleet().render(), end='')


if __name__ == '__main__':
    main()
