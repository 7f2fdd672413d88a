"""Tests that kept documents stay within their bounds."""

import unittest

from reedspar.admin import DocumentHistory
from reedspar.configuration import ConfigurationDocument


class DocumentHistoryTest(unittest.TestCase):
    def test_oldest_goes_first(self) -> None:
        history = DocumentHistory(versions_max=3)
        for version in range(1, 6):
            history.add(ConfigurationDocument(version=version))
        self.assertEqual(history.versions, (3, 4, 5))
        self.assertIsNone(history.find(2))
        self.assertEqual(history.find(4), ConfigurationDocument(version=4))

    def test_size_is_bounded_but_the_newest_stays(self) -> None:
        history = DocumentHistory(size_max_bytes=10)
        history.add(ConfigurationDocument(version=1))
        history.add(ConfigurationDocument(version=2))
        self.assertEqual(history.versions, (2,))


if __name__ == "__main__":
    unittest.main()
