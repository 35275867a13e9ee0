"""The engine protocol and its OpenAI-compatible client."""
