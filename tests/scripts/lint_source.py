"""Tests which edits of a source scripts/lint-source takes for the same text, so that clang-tidy isn't run again."""

import pathlib
import subprocess
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "lint-source"

SOURCE = """\
// Counts calls.
int count(int calls) // without retries
{
    /* Starts
       at one. */
    const auto* url = "http://one"; // an address
    // NOLINTNEXTLINE(bugprone-argument-comment)
    use('"', 1'000, R"(// raw " text)");
    return add(/*first=*/1, calls); // NOLINT(bugprone-branch-clone): reason
}
"""


def significant(source):
    return subprocess.run([SCRIPT, "--significant"], input=source.encode(), check=True, capture_output=True).stdout


class Significant(unittest.TestCase):
    def hit(self, old, new):
        self.assertIn(old, SOURCE)
        self.assertEqual(significant(SOURCE), significant(SOURCE.replace(old, new)))

    def miss(self, old, new):
        self.assertIn(old, SOURCE)
        self.assertNotEqual(significant(SOURCE), significant(SOURCE.replace(old, new)))

    def test_comments_are_left_out(self):
        self.hit("// Counts calls.", "// Counts the calls of a client account.\n// Retries don't count.")
        self.hit("// Counts calls.\n", "")
        self.hit(" // without retries", "")
        self.hit("Starts\n       at one.", "Starts at one.")
        self.hit("// an address", "// an address \"without quotes\" of a server's")

    def test_code_counts(self):
        self.miss("int calls", "int runs")
        self.miss("http://one", "http://two")
        self.miss("1'000", "1'001")
        self.miss("'\"'", "'/'")
        self.miss("// raw", "// other")
        self.miss("calls); //", "calls + 1); //")

    def test_markers_of_the_linter_count(self):
        self.miss("bugprone-branch-clone", "bugprone-other")
        self.miss(" // NOLINT(bugprone-branch-clone): reason", "")
        self.miss("    // NOLINTNEXTLINE(bugprone-argument-comment)\n", "")
        self.miss("argument-comment)\n", "argument-comment)\n    // A line between.\n")
        self.miss("// Counts calls.", "// NOLINTBEGIN")

    def test_argument_comments_count(self):
        self.miss("/*first=*/", "/*second=*/")
        self.miss("/*first=*/", "")


if __name__ == "__main__":
    unittest.main()
