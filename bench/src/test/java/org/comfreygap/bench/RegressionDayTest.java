package org.comfreygap.bench;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a day that counts as held though it broke a rule or was not replayed. */
class RegressionDayTest {

  private static final RegressionDay DAY =
      new RegressionDay("sites/a.toml", "scale-1", Optional.of("7"), "LOST", "a reason");

  @TempDir private Path folder;

  @Test
  void readsTheListOfTheRepository() throws IOException {
    assertThat(RegressionDay.read(Path.of("../deploy/days/regressions.yaml")))
        .isNotEmpty()
        .allMatch(day -> day.site().endsWith(".toml"));
  }

  @Test
  void errorNamesTheMissingField() throws IOException {
    Path list = Files.writeString(folder.resolve("list"), "- {site: a, day: b, rule: LOST}\n");

    assertThatThrownBy(() -> RegressionDay.read(list)).hasMessageContaining("cause");
  }

  @Test
  void passesTheSeedOfVariedDaysAndTheNameOfDrawnDays() {
    RegressionDay drawn =
        new RegressionDay("sites/a.toml", "hunt-1-3", Optional.empty(), "LOST", "a reason");

    assertThat(DAY.benchArguments(Path.of("/x"), 2))
        .startsWith("run", "/x/sites/a.toml", "scale-1", "--seed", "7", "--jobs", "2");
    assertThat(drawn.benchArguments(Path.of("/x"), 2)).startsWith("replay", "/x/sites/a.toml");
  }

  @Test
  void derivesTheVerdictFromTheJournalEntry() throws IOException {
    assertThat(DAY.verdict(entry("{\"rules\": {}}"))).isEqualTo(RegressionDay.Verdict.HELD);
    assertThat(DAY.verdict(entry("{\"rules\": {\"LOST\": 1}}")))
        .isEqualTo(RegressionDay.Verdict.BROKEN);
    assertThat(DAY.verdict(entry("{\"rules\": {\"TWICE\": 1}}")))
        .isEqualTo(RegressionDay.Verdict.OTHER_RULE);
    assertThat(DAY.verdict(entry("{}"))).isEqualTo(RegressionDay.Verdict.NOT_PLAYED);
    assertThat(DAY.verdict(Optional.empty())).isEqualTo(RegressionDay.Verdict.NOT_PLAYED);
  }

  private static Optional<JsonNode> entry(String day) throws IOException {
    return Optional.of(new ObjectMapper().readTree("{\"days\": [" + day + "]}"));
  }
}
