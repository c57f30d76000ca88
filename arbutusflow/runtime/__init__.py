"""Timer service, tasks and the wiring of one entry process."""
