"""Tests of the limits on stored documents."""

import unittest

from reedspar.admin import DocumentHistory
from reedspar.configuration import ConfigurationDocument


class DocumentHistoryTest(unittest.TestCase):
    def test_oldest_document_is_evicted_first(self) -> None:
        history = DocumentHistory(max_documents=3)
        for version in range(1, 6):
            history.add(ConfigurationDocument(version=version))
        self.assertEqual(history.versions, (3, 4, 5))
        self.assertIsNone(history.find(2))
        self.assertEqual(history.find(4), ConfigurationDocument(version=4))

    def test_newest_document_is_kept_beyond_the_size_limit(self) -> None:
        history = DocumentHistory(max_total_bytes=10)
        history.add(ConfigurationDocument(version=1))
        history.add(ConfigurationDocument(version=2))
        self.assertEqual(history.versions, (2,))


if __name__ == "__main__":
    unittest.main()
