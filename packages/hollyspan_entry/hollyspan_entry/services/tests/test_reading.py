import pytest

from hollyspan_entry.services.reading import normalize_path


@pytest.mark.parametrize(
    "path",
    [
        "/announce",
        "//announce",
        "/announce/",
        "/%61nnounce",
        "/./announce",
        "/x/../announce",
        "/%2e/announce",
    ],
)
def test_one_spelling(path):
    assert normalize_path(path) == "/announce"
