"""Gateway process for platforms whose durable state is kept in one object store."""
