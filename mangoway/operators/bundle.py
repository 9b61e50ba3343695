"""Unmerged documents of one configuration version."""

from collections.abc import Mapping
from typing import NewType

from attrs import field, frozen
from xxhash import xxh3_64_hexdigest

from ..models.identifiers import ConfigVersion
from ..models.offer import Configuration
from .const import BASE_PART, OVERLAY_PART_PREFIX
from .merger import load_configuration

PartName = NewType("PartName", str)
"""`base`, or `overlay/` followed by the name of a site."""

BASE: PartName = PartName(BASE_PART)


def name_overlay(site: str) -> PartName:
    """Return the part name of a site's overlay."""
    return PartName(f"{OVERLAY_PART_PREFIX}{site}")


def digest_text(text: str) -> str:
    """Return a digest of a document's text, to detect that two texts differ."""
    return xxh3_64_hexdigest(text.encode())


@frozen(kw_only=True)
class Part:
    """Document with the configuration version that last changed it."""

    version: ConfigVersion
    text: str


@frozen(kw_only=True)
class ConfigurationBundle:
    """All documents in the key-value service, or those that one process needs."""

    version: ConfigVersion = ConfigVersion(0)
    """Version in force; not lower than that of any part."""

    parts: Mapping[PartName, Part] = field(factory=dict)

    def list_sites(self) -> tuple[str, ...]:
        """Return the sites that have an overlay, sorted by name."""
        prefix = OVERLAY_PART_PREFIX
        return tuple(
            sorted(
                part[len(prefix) :] for part in self.parts if part.startswith(prefix)
            )
        )

    def find_text(self, part: PartName) -> str:
        """Return the text of a part, or an empty text if there is none."""
        found = self.parts.get(part)
        return found.text if found else ""

    def select_site(self, site: str) -> "ConfigurationBundle":
        """Return the bundle with only the parts that a process of a site needs."""
        wanted = (BASE, name_overlay(site))
        parts = {name: self.parts[name] for name in wanted if name in self.parts}
        return ConfigurationBundle(version=self.version, parts=parts)

    def replace_part(
        self, part: PartName, text: str, version: ConfigVersion
    ) -> "ConfigurationBundle":
        """Return the bundle at a new version with one part changed."""
        parts = {**self.parts, part: Part(version=version, text=text)}
        return ConfigurationBundle(version=version, parts=parts)

    def load(self, site: str) -> Configuration:
        """Return the merged configuration of a site.

        Raises:
            MangowayError: See `load_configuration`.
        """
        overlay = name_overlay(site)
        return load_configuration(
            self.find_text(BASE),
            self.find_text(overlay),
            self.version,
            BASE,
            overlay,
        )
