"""Decision core: deterministic state machines that do no I/O."""
