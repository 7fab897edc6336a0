"""Servers that answer with bytes of a script."""

from .answer import Ending
from .answer import ScriptedAnswer
from .endless import EndlessServer
from .server import ScriptedServer

__all__ = ["Ending", "EndlessServer", "ScriptedAnswer", "ScriptedServer"]
