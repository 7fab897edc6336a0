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
def test_spellings_of_a_path_are_normalized(path):
    assert normalize_path(path) == "/announce"
