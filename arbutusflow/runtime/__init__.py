"""Tasks, timers and wiring of one entry process."""
