"""Requests and parts of prompts that end the upstreams which answer them."""

from .block import Block
from .block import choose_trial_delay
from .common_cause import has_common_cause
from .decision import choose_blocks
from .decision import has_ended_upstreams
from .decision import list_explained_blocks
from .decision import list_implicated_keys
from .decision import may_be_coincidence
from .decision import narrow_block
from .evidence import CrashEvidence
from .record import EndRecord

__all__ = [
    "CrashEvidence",
    "EndRecord",
    "Block",
    "choose_blocks",
    "choose_trial_delay",
    "has_common_cause",
    "has_ended_upstreams",
    "list_explained_blocks",
    "list_implicated_keys",
    "may_be_coincidence",
    "narrow_block",
]
