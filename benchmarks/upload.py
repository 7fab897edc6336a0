"""Memory of a daemon while files are uploaded and downloaded.

Uploads and downloads files of several sizes through one daemon and samples
its resident memory. If memory use does not depend on the size of the file, the
peaks are equal.
"""

import argparse
import json
from pathlib import Path
import time

import psutil
from upload_client import download
from upload_client import upload

from hollyspan_standins.deployment import DataCentreLayout
from hollyspan_standins.deployment import open_deployment

SETTLE_TIME_S = 3.0
CALLS_PER_SAMPLE = 16
BYTES_PER_MEGABYTE = 1_000_000


def main():
    """Run the measurement and write the result as JSON."""
    options = read_options()
    with open_deployment(
        layouts=[DataCentreLayout(data_centre="attiki-a", region="attiki")],
        seed=options.seed,
    ) as deployment:
        time.sleep(SETTLE_TIME_S)
        result = measure(deployment, options)
    print(json.dumps(result, indent=2))
    if options.output:
        Path(options.output).write_text(json.dumps(result, indent=2) + "\n")


def read_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--items", type=int, nargs="+", default=[10_000, 100_000, 300_000]
    )
    parser.add_argument("--prompt-bytes", type=int, default=400)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", metavar="PATH")
    return parser.parse_args()


def measure(deployment, options):
    """Upload and download a file of each size."""
    daemon = deployment.daemon_names[0]
    process = psutil.Process(deployment.find(daemon).child.pid)
    idle = process.memory_info().rss
    runs = [
        measure_file(
            deployment.url(daemon),
            process,
            items=items,
            prompt_bytes=options.prompt_bytes,
            seed=options.seed + number,
        )
        for number, items in enumerate(options.items)
    ]
    return {
        "seed": options.seed,
        "idle_megabytes": to_megabytes(idle),
        "files": runs,
    }


def measure_file(url, process, *, items, prompt_bytes, seed):
    """Upload and download one file; return size, times and memory peaks."""
    peak = PeakMemory(process=process)
    started = time.monotonic()
    file, digest = upload(
        url,
        items=items,
        prompt_bytes=prompt_bytes,
        seed=seed,
        on_piece=peak.sample,
    )
    uploaded = time.monotonic()
    upload_peak = peak.reset()
    is_same = digest == download(url, file["id"], on_piece=peak.sample)
    return {
        "items": items,
        "megabytes": to_megabytes(file["bytes"]),
        "upload_seconds": round(uploaded - started, 2),
        "upload_peak_megabytes": to_megabytes(upload_peak),
        "download_seconds": round(time.monotonic() - uploaded, 2),
        "download_peak_megabytes": to_megabytes(peak.reset()),
        "same_bytes": is_same,
    }


class PeakMemory:
    """Peak of the resident memory of a process.

    Parameters
    ----------
    process : psutil.Process
    """

    def __init__(self, *, process):
        self.process = process
        self.calls = 0
        self.highest = 0

    def sample(self):
        """Sample the memory at one of ``CALLS_PER_SAMPLE`` calls."""
        self.calls += 1
        if self.calls % CALLS_PER_SAMPLE == 0:
            self.update()

    def update(self):
        """Sample the memory."""
        self.highest = max(self.highest, self.process.memory_info().rss)

    def reset(self):
        """Return the peak and reset it."""
        self.update()
        highest, self.highest = self.highest, 0
        return highest


def to_megabytes(size):
    return round(size / BYTES_PER_MEGABYTE, 1)


if __name__ == "__main__":
    main()
