"""Summary of the samples of a run."""

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["summarize_samples"]

MICROSECONDS_PER_SECOND = 1_000_000
MAX_RECORDED_US = 120 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


def summarize_samples(samples):
    """Return the figures of a run as JSON; times are in milliseconds.

    Parameters
    ----------
    samples : list of Sample

    Returns
    -------
    dict
    """
    first = [s.first_token for s in samples if s.first_token is not None]
    gaps = [gap for sample in samples for gap in sample.gaps]
    late = [s.sent - s.due for s in samples if s.sent is not None]
    failures = Counter(s.failure for s in samples if s.failure)
    refused = sum(s.status not in (None, 200) for s in samples)
    return {
        "requests": len(samples),
        "whole": sum(s.is_right is True for s in samples),
        "wrong": sum(s.is_right is False for s in samples),
        "refused": refused,
        "refused_share": refused / len(samples) if samples else 0.0,
        "failures": dict(failures),
        "tokens": sum(len(s.token_times) for s in samples),
        "first_token_ms": summarize_times(first),
        "between_tokens_ms": summarize_times(gaps),
        "sent_late_ms": summarize_times(late),
    }


def summarize_times(times):
    """Return percentiles, in milliseconds, of times in seconds."""
    histogram = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
    for time in times:
        value = max(1, int(time * MICROSECONDS_PER_SECOND))
        histogram.record_value(min(value, MAX_RECORDED_US))
    summary = {"count": len(times)}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile:.0f}"] = round(value / 1000, 3)
    return summary
