"""Error of an invalid setting."""


class SettingError(Exception):
    """A setting is missing or invalid; the text is one line that names it."""

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(f"{name}: {reason}")
        self.name = name
