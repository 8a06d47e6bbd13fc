package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.comfreygap.decisions.StreamOrigins.Origin;

/** Checks at which software version a stream may go on, and when nothing is known of it. */
class StreamOriginsTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long RETENTION = StreamOrigins.RETENTION.toNanos();
  private static final Origin OLD = new Origin("app", "v1");
  private static final Origin NEW = new Origin("app", "v2");

  private final StreamOrigins origins = new StreamOrigins(3);

  /** Guards against a stream that is joined to the version that most endpoints have. */
  @Example
  void resolvesRecordedStreamsAndAllOthersToTheBase() {
    origins.record("first", "route", OLD, 0);
    origins.record("second", "route", NEW, SECOND);

    assertThat(origins.base("route")).contains(OLD);
    assertThat(origins.resolve("second", "route", 2 * SECOND)).contains(NEW);
    assertThat(origins.resolve("unrecorded", "route", 2 * SECOND)).contains(OLD);
    assertThat(origins.resolve("second", "other", 2 * SECOND)).isEmpty();
    assertThat(origins.resolve("second", "unknown", 2 * SECOND)).isEmpty();
  }

  /** Guards against an attempt that brought nothing and that decides where the next one belongs. */
  @Example
  void keepsTheLastRecordOfARequest() {
    origins.record("other", "route", OLD, 0);
    origins.record("request", "route", NEW, SECOND);
    origins.record("request", "route", OLD, 2 * SECOND);

    assertThat(origins.resolve("request", "route", 3 * SECOND)).contains(OLD);
  }

  /**
   * Guards against a record whose call was delayed: applied after that of the attempt which brought
   * the first event, it would name the version of the attempt before.
   */
  @Example
  void knowsNoOriginWhenAnEarlierRecordOfTheRequestReturns() {
    origins.record("request", "route", OLD, 0);
    origins.record("request", "route", NEW, SECOND);
    origins.record("request", "route", OLD, 2 * SECOND);

    assertThat(origins.resolve("request", "route", 3 * SECOND)).isEmpty();
  }

  /** Guards against repeated calls that make a known origin unknown. */
  @Example
  void keepsAnOriginThatIsRecordedAgain() {
    origins.record("request", "route", OLD, 0);
    origins.record("request", "route", NEW, SECOND);
    origins.record("request", "route", NEW, 2 * SECOND);

    assertThat(origins.resolve("request", "route", 3 * SECOND)).contains(NEW);
  }

  /** Guards against a base that changes while a stream of the earlier one may be taken up. */
  @Example
  void changesBaseOnlyWhenItWasLongOutOfService() {
    origins.inService("route", List.of(OLD), 0);
    origins.record("request", "route", NEW, SECOND);
    origins.inService("route", List.of(OLD, NEW), 100 * SECOND);

    origins.inService("route", List.of(NEW), 100 * SECOND + RETENTION - 1);
    assertThat(origins.base("route")).contains(OLD);
    origins.inService("route", List.of(NEW), 100 * SECOND + RETENTION);
    assertThat(origins.base("route")).contains(NEW);

    // The earlier version comes back; its streams are recorded now.
    origins.record("again", "route", OLD, 110 * SECOND + RETENTION);
    assertThat(origins.base("route")).contains(NEW);
    assertThat(origins.resolve("again", "route", 120 * SECOND + RETENTION)).contains(OLD);
  }

  /** Guards against a stream that is joined because its caller names no request. */
  @Example
  void resolvesUnnamedStreamOnlyIfASingleVersionServed() {
    assertThat(origins.resolveUnnamed("route", 0)).isEmpty();
    origins.inService("route", List.of(OLD), 0);
    assertThat(origins.resolveUnnamed("route", SECOND)).contains(OLD);

    origins.inService("route", List.of(OLD, NEW), 2 * SECOND);
    assertThat(origins.resolveUnnamed("route", 3 * SECOND)).isEmpty();
    origins.inService("route", List.of(OLD), 2 * SECOND + RETENTION);
    assertThat(origins.resolveUnnamed("route", 3 * SECOND + RETENTION)).contains(OLD);
  }

  /** Guards against a dropped record that makes a stream look like one of the base. */
  @Example
  void knowsNothingOfUnrecordedStreamsAfterDroppingRecords() {
    origins.inService("route", List.of(OLD), 0);
    for (int i = 0; i < 4; i++) {
      origins.record("request-" + i, "route", NEW, SECOND);
    }

    assertThat(origins.entries()).hasSize(3);
    assertThat(origins.resolve("request-0", "route", 2 * SECOND)).isEmpty();
    assertThat(origins.resolve("request-3", "route", 2 * SECOND)).contains(NEW);
    assertThat(origins.resolve("request-0", "route", SECOND + RETENTION)).contains(OLD);
  }

  /** Guards against replicas that differ after a snapshot. */
  @Example
  void restoresSnapshot() {
    origins.inService("route", List.of(OLD, NEW), 0);
    for (int i = 0; i < 4; i++) {
      origins.record("request-" + i, "route", NEW, SECOND);
    }
    StreamOrigins restored = new StreamOrigins(3);
    origins.entries().forEach(restored::restore);
    origins.routes().forEach(restored::restore);
    origins.droppedNanos().ifPresent(restored::restoreDropped);

    assertThat(restored.base("route")).contains(OLD);
    assertThat(restored.resolve("request-0", "route", 2 * SECOND)).isEmpty();
    assertThat(restored.resolve("request-2", "route", 2 * SECOND)).contains(NEW);
  }
}
