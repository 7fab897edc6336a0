"""Tests of the load report."""

from twisted.internet.task import Clock

from hollyspan_standins.engine.report import LoadReport


def test_the_report_lags():
    clock = Clock()
    load = [8, 0, 0, 0]
    report = LoadReport(
        clock=clock, lag_seconds=0.5, measure=lambda: tuple(load)
    )
    load[1] = 5
    for _ in range(4):
        clock.advance(0.1)
        report.sample()
    assert report.read()["running"] == 0
    for _ in range(3):
        clock.advance(0.1)
        report.sample()
    assert report.read()["running"] == 5
