"""Tests of dahliabridge."""
