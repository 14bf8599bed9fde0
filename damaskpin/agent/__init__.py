"""Decisions of the agent that controls one worker, without I/O.

Terms of this package:

- A run is one execution attempt of a work item.
- A lifetime identifies one worker process; after a restart the worker has
  another lifetime, even if it keeps its id.
- A fencing token is a number that is higher for each new coordinator. Agents
  and workers refuse messages with a lower token than the highest that they
  have seen, so that a previous coordinator can't give orders any more.
- A serial is the sequence number of an ended run in the worker's list. Each
  worker process counts its ended runs from 1.
"""
