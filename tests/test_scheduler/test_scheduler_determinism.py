"""Test that equal inputs give equal decisions."""

import os
import subprocess
import sys

CODE = """
from tests.test_scheduler import simulation
config = simulation.make_config(seed=1)
run = simulation.Simulation(config, 1)
carry_out = run.carry_out
def record(now, decision):
    print(now, decision)
    carry_out(now, decision)
run.carry_out = record
day = simulation.make_day_of_jobs(config, 400, 1, 2.0)
run.run(day, simulation.DAY * 0.4)
"""


def test_decisions_do_not_depend_on_the_hash_seed():
    """Guards against decisions that depend on the iteration order of sets."""
    outputs = [
        subprocess.run(
            [sys.executable, '-c', CODE],
            env={**os.environ, 'PYTHONHASHSEED': seed, 'PYTHONPATH': '.'},
            capture_output=True,
            check=True,
            timeout=60,
        ).stdout
        for seed in ('1', '2')
    ]
    assert outputs[0].count(b'Place(') > 100
    assert outputs[0] == outputs[1]
