"""What the workers of a fleet have run."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Run:
    """A run on a worker, with times of the machine's monotonic clock.

    :ivar ended: time of its end; infinite while it runs.
    :ivar how: how it ended; empty while it runs.
    """

    worker: str
    task: str
    number: int
    began: float
    ended: float = float('inf')
    how: str = ''


def list_runs(events):
    """Return the runs in the events of the workers."""
    runs = []
    for event in events:
        if event['event'] == 'start':
            runs.append(
                Run(event['worker'], event['task'], event['run'], event['at'])
            )
        if event['event'] != 'end':
            continue
        for run in runs:
            key = (run.worker, run.task, run.number)
            if key == (event['worker'], event['task'], event['run']):
                run.ended, run.how = event['at'], event['how']
    return runs


def record_events(record, events):
    """Write the events of the workers to the record of a script."""
    for event in events:
        rest = {k: v for k, v in event.items() if k not in ('at', 'event')}
        record.write(f'worker: {event["event"]}', at=event['at'], **rest)
