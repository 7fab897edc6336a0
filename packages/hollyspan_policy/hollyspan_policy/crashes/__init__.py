"""Parts of prompts that end the upstreams which answer them."""

from .block import choose_trial_delay
from .block import PartBlock
from .decision import choose_blocks
from .decision import list_implicated_parts
from .decision import narrow_block
from .evidence import CrashEvidence
from .record import EndRecord

__all__ = [
    "CrashEvidence",
    "EndRecord",
    "PartBlock",
    "choose_blocks",
    "choose_trial_delay",
    "list_implicated_parts",
    "narrow_block",
]
