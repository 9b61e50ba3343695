"""The error of a bad setting."""


class SettingError(Exception):
    """A setting is missing or bad; the text names it in one line."""

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(f"{name}: {reason}")
        self.name = name
