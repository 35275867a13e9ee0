"""Configuration adoption, sessions, scopes, membership and usage."""
