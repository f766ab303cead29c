"""Adaptive admission of call set-ups at session controllers in front of a few clearing servers."""
