"""Router process for a platform that keeps all durable state in one object store."""
