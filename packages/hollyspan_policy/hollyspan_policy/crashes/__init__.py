"""Requests and parts of prompts that end the upstreams which answer them."""

from .block import Block
from .block import is_refuted
from .block import list_matching_blocks
from .calm import find_calm_time
from .calm import has_met_losses
from .common_cause import has_common_cause
from .decision import choose_blocks
from .decision import has_ended_upstreams
from .decision import list_explained_blocks
from .decision import list_implicated_keys
from .decision import may_be_coincidence
from .decision import narrow_block
from .evidence import CrashEvidence
from .record import EndRecord
from .record import has_request
from .trial_times import choose_trial_delay
from .trial_times import choose_trial_slot
from .trial_times import CLAIM_SPREAD_S
from .trial_times import SPREAD_WITHOUT_STORE_S

__all__ = [
    "CrashEvidence",
    "EndRecord",
    "Block",
    "CLAIM_SPREAD_S",
    "SPREAD_WITHOUT_STORE_S",
    "choose_blocks",
    "choose_trial_delay",
    "choose_trial_slot",
    "find_calm_time",
    "has_common_cause",
    "has_ended_upstreams",
    "has_met_losses",
    "has_request",
    "is_refuted",
    "list_explained_blocks",
    "list_implicated_keys",
    "list_matching_blocks",
    "may_be_coincidence",
    "narrow_block",
]
