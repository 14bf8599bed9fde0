"""Routing of service requests to the slots of announced targets.

Terms of this package:

- A target is a back end process that serves requests for one service. It
  announces itself to an agent, with its number of slots.
- A slot is a target's capacity to serve one request at a time.
- An attempt is the sending of a request to one agent. Its id names the
  incarnation of the agent, which runs it at most once.
- An incarnation of an agent or entry is one process of it, from start to exit;
  the uptime of an agent is the time since the start of its process.
- An attempt is open while its outcome is expected. It is uncertain if it may
  have run, but its outcome will probably never be known.
- The verdict of a request is its final result for the caller: it ran, it may
  have run, or it did not run.
- The claim of an idempotency key is a record in the store that binds the key
  to one attempt. An issued key contains its attempt and needs no claim.
"""
