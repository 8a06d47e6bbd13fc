package org.comfreygap.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against rounds that are missing from the report or lack their broken rules. */
class JournalReportTest {

  @TempDir Path folder;

  @Test
  void showsEachRoundWithItsWorthAndBrokenRules() throws IOException {
    Files.writeString(
        folder.resolve("1.json"),
        """
        {"id": "aaaa", "at": ["2026-12-04T05:00:00Z"], "cmd": "score", "site": "small",
         "why": "first <try>", "score": 0.1,
         "days": [{"name": "quiet-1", "G": 0.5, "rules": {"LOST": 2}, "prices": []}]}
        """);
    Files.writeString(
        folder.resolve("2.json"),
        """
        {"id": "bbbb", "at": ["2026-12-04T06:00:00Z"], "cmd": "score", "site": "small",
         "why": "second", "score": 0.3,
         "days": [{"name": "quiet-1", "G": 0.7, "rules": {},
                   "prices": [["processor seconds", 12.0, 0.01]]}]}
        """);
    Files.writeString(folder.resolve("3.json"), "cut o");
    Path page = folder.resolve("page.html");

    JournalReport.main(new String[] {"--journal", folder.toString(), "--output", page.toString()});

    assertThat(Files.readString(page))
        .contains("quiet-1: 0.500", "quiet-1: 0.700", "LOST 2", "first &lt;try&gt;")
        .contains("<polyline", "3.json");
  }
}
