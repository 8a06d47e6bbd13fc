package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import org.comfreygap.runtime.InvalidSettingsException;
import org.comfreygap.settings.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against limits of second attempts that differ from what the operator wrote. */
class RelaySettingsTest {

  private static final String COMMON =
      """
      processId: gateway-0
      zone: a
      callerAddress: "127.0.0.1:1"
      readyAddress: "127.0.0.1:2"
      adminAddress: "127.0.0.1:3"
      linkAddress: "127.0.0.1:4"
      listAddress: "127.0.0.1:5"
      control: ["127.0.0.1:6"]
      security: {sharedKeyFile: "key"}
      """;

  @TempDir private Path folder;

  @Test
  void allowsNoSecondAttemptsUnlessGiven() throws Exception {
    assertThat(load("").secondAttempts()).isEmpty();
  }

  @Test
  void readsWhatIsAllowedOfSecondAttempts() throws Exception {
    var limits =
        load("secondAttempts: {share: 0.02, minDelayMillis: 40, quantile: 0.95, kinds: [stream]}")
            .secondAttempts()
            .orElseThrow();

    assertThat(limits.share()).isEqualTo(0.02);
    assertThat(limits.minDelay()).isEqualTo(Duration.ofMillis(40));
    assertThat(limits.quantile()).isEqualTo(0.95);
    assertThat(limits.kinds()).isEqualTo(Set.of(RequestKind.STREAM));
  }

  @Test
  void saysOfEachBadValueWhatWasGivenAndWhatIsAllowed() {
    Throwable refused =
        catchThrowable(
            () -> load("secondAttempts: {share: 0.5, minDelayMillis: 0, kinds: [unsafe], x: 1}"));

    assertThat(refused)
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining("secondAttempts.share")
        .hasMessageContaining("0.5")
        .hasMessageContaining("a number from 0.0 to 0.2")
        .hasMessageContaining("secondAttempts.minDelayMillis")
        .hasMessageContaining("a whole number from 1 to 60000")
        .hasMessageContaining("secondAttempts.quantile")
        .hasMessageContaining("secondAttempts.kinds[0]")
        .hasMessageContaining("\"unsafe\"")
        .hasMessageContaining("one of safe, stream")
        .hasMessageContaining("secondAttempts.x");
  }

  private RelaySettings load(String lines) throws Exception {
    return RelaySettings.load(Files.writeString(folder.resolve("gateway.yaml"), COMMON + lines));
  }
}
