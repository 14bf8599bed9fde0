"""Entry and agent processes: connect state machines to the network."""
