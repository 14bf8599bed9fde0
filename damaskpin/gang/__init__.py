"""Start of gang jobs on all of their accelerators or on none.

Terms of this package:

- A gang is the set of members that run one attempt of a job together.
- A member is the part of a gang on one worker; the agent of the worker acts
  for it.
- The lead is the first member of a gang. Its agent decides whether the gang
  starts, monitors the other members and reports the end of the gang.
- An attempt is one try to reserve accelerators for a job's gang, to start the
  gang and to run it. A retry of the job is a new attempt with a new id.
- The owner of a job is the entry that accepted or adopted the job. It grants
  attempts, which permits them to start, and decides the job's verdict.
- The verdict of a job is its final result for the caller: it ran, it may have
  run, or it did not run.
- The coordinator runs in one of the entries and places gangs: it collects
  reservations from the agents, requests the grant from the owner and sends the
  commit to the lead.
- The token of a reservation is a random text that the agent makes for each
  reservation. A commit must name it, so that a commit for a reservation of an
  earlier process of the agent is recognized.
- An incarnation of an agent is one process of it, from start to exit.
- Orphans are the members of a gang whose lead is lost.
- A tombstone is the record of an attempt that can't start on a worker any
  more.
"""
