"""Control of one worker, decided without I/O."""
