"""The settings of one daemon."""

__all__ = ["Settings"]


class Settings:
    """Settings that a daemon reads at its start.

    Parameters
    ----------
    instance : str
        Name of the instance.
    data_centre, region : str
        Location of the instance.
    http_address : str
    http_port : int
        Address and port for callers.
    peer_address : str
    peer_port : int
        Address and port for other daemons, TCP and UDP.
    peer_key : bytes
        Key that all daemons share.
    store_url, instances_url : str
        URLs of the platform's store and instance list.
    operator_key : str
        Key for the operator interface.
    signing_key : bytes
        Key that signs callers' keys.
    data_folder : str or None
        Folder for bulk data; None without a disk.
    log_path : str or None
        File for the log; None for standard output.
    timing : Timing
        Intervals and timeouts in seconds.
    """

    __slots__ = (
        "instance",
        "data_centre",
        "region",
        "http_address",
        "http_port",
        "peer_address",
        "peer_port",
        "peer_key",
        "store_url",
        "instances_url",
        "operator_key",
        "signing_key",
        "data_folder",
        "log_path",
        "timing",
    )

    def __init__(
        self,
        *,
        instance,
        data_centre,
        region,
        http_address,
        http_port,
        peer_address,
        peer_port,
        peer_key,
        store_url,
        instances_url,
        operator_key,
        signing_key,
        data_folder,
        log_path,
        timing,
    ):
        self.instance = instance
        self.data_centre = data_centre
        self.region = region
        self.http_address = http_address
        self.http_port = http_port
        self.peer_address = peer_address
        self.peer_port = peer_port
        self.peer_key = peer_key
        self.store_url = store_url
        self.instances_url = instances_url
        self.operator_key = operator_key
        self.signing_key = signing_key
        self.data_folder = data_folder
        self.log_path = log_path
        self.timing = timing
