"""Small pieces that every domain uses."""
