"""Tests of cowslipwood."""
