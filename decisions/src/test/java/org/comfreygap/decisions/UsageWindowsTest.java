package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.comfreygap.decisions.UsageWindows.Closing;
import org.comfreygap.decisions.UsageWindows.Kept;
import org.comfreygap.decisions.UsageWindows.Source;
import org.junit.jupiter.api.Test;

/** Tests when windows of usage are closed, and with what counts. */
class UsageWindowsTest {

  private static final Source A = new Source("a", "1");
  private static final Source B = new Source("b", "1");
  private static final long WINDOW = 7;
  private static final long END = (WINDOW + 1) * 5_000;

  private final UsageWindows windows =
      new UsageWindows(Duration.ofSeconds(5), Duration.ofSeconds(10));

  @Test
  void windowIsClosedOnceAllHaveCountedBeyondIt() {
    report(A, WINDOW, 3);
    report(B, WINDOW, 4);
    report(A, WINDOW + 1, 0);
    assertThat(windows.due(WINDOW, END - 1, source -> false)).isFalse();
    assertThat(windows.due(WINDOW, END + 100, source -> false)).isFalse();
    report(B, WINDOW, 5);
    report(B, WINDOW + 1, 0);
    assertThat(windows.due(WINDOW, END + 100, source -> false)).isTrue();

    Closing closing = windows.close(WINDOW, Kept.NOTHING, source -> false);

    assertThat(closing.begun()).isEqualTo(Map.of("c", 8L));
    assertThat(closing.isIncomplete()).isFalse();
  }

  @Test
  void silentSourceDelaysAWindowOnlyUntilItsReportWouldBeLate() {
    report(A, WINDOW + 1, 0);
    report(B, WINDOW, 4);
    assertThat(windows.due(WINDOW, END + 5_999, source -> false)).isFalse();
    assertThat(windows.due(WINDOW, END + 6_000, source -> false)).isTrue();
    Closing closing = windows.close(WINDOW, Kept.NOTHING, source -> false);
    assertThat(closing.begun()).isEqualTo(Map.of("c", 4L));
    assertThat(closing.missing()).isEqualTo(List.of(B));

    // What it reports later is told, once.
    assertThat(windows.report(B, Map.of(WINDOW, Map.of("c", 6L)), false, WINDOW)).isEqualTo(2);
    assertThat(windows.report(B, Map.of(WINDOW, Map.of("c", 6L)), false, WINDOW)).isZero();
  }

  @Test
  void endedSourceDelaysNothingAndIsCountedOnce() {
    report(A, WINDOW, 3);
    report(B, WINDOW, 4);
    report(B, WINDOW + 1, 0);
    assertThat(windows.due(WINDOW, END, A::equals)).isTrue();

    Kept kept = new Kept(Set.of(A.key(), "z/1"), Map.of("c", 10L));
    Closing closing = windows.close(WINDOW, kept, A::equals);

    assertThat(closing.begun()).isEqualTo(Map.of("c", 14L));
    assertThat(closing.missing()).isEqualTo(List.of(A));
    assertThat(windows.sources(source -> true)).isEqualTo(List.of(B));
  }

  @Test
  void windowThatNobodyCountedIsTold() {
    report(A, WINDOW + 1, 3);
    Closing closing = windows.close(WINDOW, Kept.NOTHING, source -> false);
    assertThat(closing.counted()).isFalse();
    assertThat(closing.isIncomplete()).isTrue();
  }

  private void report(Source source, long window, long begun) {
    windows.report(source, Map.of(window, Map.of("c", begun)), false, WINDOW - 1);
  }
}
