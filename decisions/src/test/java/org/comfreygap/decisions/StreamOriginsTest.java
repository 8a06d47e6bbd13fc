package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.comfreygap.decisions.StreamOrigins.Origin;

/** Checks at which software version a stream may go on, and when nothing is known of it. */
class StreamOriginsTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long RETENTION = StreamOrigins.RETENTION.toNanos();
  private static final String PREFIX = StreamOrigins.key("shop.example", "/chat/");
  private static final String LONGER = StreamOrigins.key("shop.example", "/chat/long/");
  private static final String PATH = StreamOrigins.key("shop.example", "/chat/long/7");
  private static final String OTHER = StreamOrigins.key("shop.example", "/draw/");
  private static final Origin OLD = new Origin("app", "v1");
  private static final Origin NEW = new Origin("app", "v2");

  private final StreamOrigins origins = new StreamOrigins(3, 4);

  /** Guards against a stream that is joined to the version that most endpoints have. */
  @Example
  void resolvesRecordedStreamsAndAllOthersToTheBase() {
    origins.record("first", PREFIX, OLD, 0);
    origins.record("second", PREFIX, NEW, SECOND);

    assertThat(origins.base(PREFIX, SECOND)).contains(OLD);
    assertThat(origins.resolve("second", PREFIX, 2 * SECOND)).contains(NEW);
    assertThat(origins.resolve("unrecorded", PREFIX, 2 * SECOND)).contains(OLD);
    assertThat(origins.resolve("second", OTHER, 2 * SECOND)).contains(NEW);
    assertThat(origins.resolve("unrecorded", OTHER, 2 * SECOND)).isEmpty();
  }

  /** Guards against an attempt that brought nothing and that decides where the next one belongs. */
  @Example
  void keepsTheLastRecordOfARequest() {
    origins.record("other", PREFIX, OLD, 0);
    origins.record("request", PREFIX, NEW, SECOND);
    origins.record("request", PREFIX, OLD, 2 * SECOND);

    assertThat(origins.resolve("request", PREFIX, 3 * SECOND)).contains(OLD);
  }

  /**
   * Guards against a record whose call was delayed: applied after that of the attempt which brought
   * the first event, it would name the version of the attempt before.
   */
  @Example
  void knowsNoOriginWhenAnEarlierRecordOfTheRequestReturns() {
    origins.record("request", PREFIX, OLD, 0);
    origins.record("request", PREFIX, NEW, SECOND);
    origins.record("request", PREFIX, OLD, 2 * SECOND);

    assertThat(origins.resolve("request", PREFIX, 3 * SECOND)).isEmpty();
  }

  /** Guards against repeated calls that make a known origin unknown. */
  @Example
  void keepsAnOriginThatIsRecordedAgain() {
    origins.record("request", PREFIX, OLD, 0);
    origins.record("request", PREFIX, NEW, SECOND);
    origins.record("request", PREFIX, NEW, 2 * SECOND);

    assertThat(origins.resolve("request", PREFIX, 3 * SECOND)).contains(NEW);
  }

  /** Guards against a base that changes while a stream of the earlier one may be taken up. */
  @Example
  void changesBaseOnlyWhenItWasLongOutOfService() {
    origins.inService(PREFIX, List.of(OLD), 0);
    origins.record("request", PREFIX, NEW, SECOND);
    origins.inService(PREFIX, List.of(OLD, NEW), 100 * SECOND);

    long last = 100 * SECOND + RETENTION;
    origins.inService(PREFIX, List.of(NEW), last - 1);
    assertThat(origins.base(PREFIX, last - 1)).contains(OLD);
    origins.inService(PREFIX, List.of(NEW), last);
    assertThat(origins.base(PREFIX, last)).contains(NEW);

    // The earlier version comes back; its streams are recorded now.
    origins.record("again", PREFIX, OLD, 110 * SECOND + RETENTION);
    assertThat(origins.base(PREFIX, 110 * SECOND + RETENTION)).contains(NEW);
    assertThat(origins.resolve("again", PREFIX, 120 * SECOND + RETENTION)).contains(OLD);
  }

  /** Guards against a stream that is joined because its caller names no request. */
  @Example
  void resolvesUnnamedStreamOnlyIfASingleVersionServed() {
    assertThat(origins.resolveUnnamed(PREFIX, 0)).isEmpty();
    origins.inService(PREFIX, List.of(OLD), 0);
    assertThat(origins.resolveUnnamed(PREFIX, SECOND)).contains(OLD);

    origins.inService(PREFIX, List.of(OLD, NEW), 2 * SECOND);
    assertThat(origins.resolveUnnamed(PREFIX, 3 * SECOND)).isEmpty();
    origins.inService(PREFIX, List.of(OLD), 2 * SECOND + RETENTION);
    assertThat(origins.resolveUnnamed(PREFIX, 3 * SECOND + RETENTION)).contains(OLD);
  }

  /** Guards against a dropped record that makes a stream look like one of the base. */
  @Example
  void knowsNothingOfUnrecordedStreamsAfterDroppingRecords() {
    origins.inService(PREFIX, List.of(OLD), 0);
    for (int i = 0; i < 4; i++) {
      origins.record("request-" + i, PREFIX, NEW, SECOND);
    }

    assertThat(origins.entries()).hasSize(3);
    assertThat(origins.resolve("request-0", PREFIX, 2 * SECOND)).isEmpty();
    assertThat(origins.resolve("request-3", PREFIX, 2 * SECOND)).contains(NEW);
    assertThat(origins.resolve("request-0", PREFIX, SECOND + RETENTION)).contains(OLD);
  }

  /** Guards against replicas that differ after a snapshot. */
  @Example
  void restoresSnapshot() {
    origins.inService(PREFIX, List.of(OLD, NEW), 0);
    for (int i = 0; i < 4; i++) {
      origins.record("request-" + i, PREFIX, NEW, SECOND);
    }
    StreamOrigins restored = new StreamOrigins(3, 4);
    origins.entries().forEach(restored::restore);
    origins.routes().forEach(restored::restore);
    origins.droppedNanos().ifPresent(restored::restoreDropped);

    assertThat(restored.base(PREFIX, 2 * SECOND)).contains(OLD);
    assertThat(restored.resolve("request-0", PREFIX, 2 * SECOND)).isEmpty();
    assertThat(restored.resolve("request-2", PREFIX, 2 * SECOND)).contains(NEW);
  }

  /** Guards against a stream that is taken for one of the base of a route added after it began. */
  @Example
  void keepsTheBaseOfAPathWhenItGetsARouteOfItsOwn() {
    origins.inService(PREFIX, List.of(OLD), 0);
    origins.record("recorded", PREFIX, NEW, SECOND);

    origins.inService(LONGER, List.of(NEW, OLD), 2 * SECOND);

    assertThat(origins.base(LONGER, 2 * SECOND)).contains(OLD);
    assertThat(origins.resolve("unrecorded", PATH, 2 * SECOND)).contains(OLD);
    assertThat(origins.resolve("recorded", PATH, 2 * SECOND)).contains(NEW);
  }

  /** Guards against a stream of a removed route that is taken for one of the base of another. */
  @Example
  void keepsTheBaseOfAPathWhenItsRouteIsRemoved() {
    Origin elsewhere = new Origin("other", "v1");
    origins.inService(LONGER, List.of(elsewhere), 0);
    origins.inService(PREFIX, List.of(OLD), 0);

    assertThat(origins.resolve("unrecorded", PATH, SECOND)).contains(elsewhere);
    // A gateway without that route must not rely on the base of the shorter prefix there.
    assertThat(origins.bases(List.of(PREFIX), SECOND)).containsKeys(PREFIX, LONGER);
    assertThat(origins.bases(List.of(PREFIX), SECOND).get(LONGER)).isNotIn(OLD, NEW, elsewhere);

    long unused = RETENTION + StreamOrigins.BASE_LIFETIME.toNanos();
    origins.inService(PREFIX, List.of(OLD), unused);
    assertThat(origins.resolve("unrecorded", PATH, unused)).contains(OLD);
  }

  /** Guards against a gateway that relies on a base which changes before it asks again. */
  @Example
  void handsOutNoBaseThatMayChangeSoon() {
    origins.inService(PREFIX, List.of(OLD, NEW), 0);
    long late = RETENTION - StreamOrigins.BASE_LIFETIME.toNanos();

    origins.inService(PREFIX, List.of(NEW), late - 1);
    assertThat(origins.bases(List.of(PREFIX), late - 1)).containsEntry(PREFIX, OLD);
    origins.inService(PREFIX, List.of(NEW), late);
    assertThat(origins.bases(List.of(PREFIX), late)).isEmpty();
    assertThat(origins.resolve("unrecorded", PREFIX, late)).contains(OLD);
  }

  /** Guards against streams begun while they could not be resumed, whose origin nobody asked. */
  @Example
  void knowsNoBaseAfterStreamsBecameResumable() {
    origins.inService(PREFIX, List.of(OLD), 0);
    origins.routesChanged(Map.of(LONGER, false), Map.of(PREFIX, true), SECOND);
    origins.inService(LONGER, List.of(OLD), 2 * SECOND);
    origins.record("recorded", LONGER, NEW, 2 * SECOND);

    assertThat(origins.resolve("unrecorded", PATH, 3 * SECOND)).isEmpty();
    assertThat(origins.resolveUnnamed(PATH, 3 * SECOND)).isEmpty();
    assertThat(origins.bases(List.of(LONGER), 3 * SECOND)).isEmpty();
    assertThat(origins.resolve("recorded", PATH, 3 * SECOND)).contains(NEW);
    assertThat(origins.resolve("unrecorded", PREFIX, 3 * SECOND)).contains(OLD);
    origins.inService(LONGER, List.of(NEW), SECOND + RETENTION);
    assertThat(origins.base(LONGER, SECOND + RETENTION)).isPresent();
  }

  /** Guards against the same for a route added below one whose streams cannot be resumed. */
  @Example
  void knowsNoBaseOfARouteAddedBelowOneThatIsNotResumable() {
    Map<String, Boolean> before = Map.of(PREFIX, false, OTHER, true);
    origins.routesChanged(before, Map.of(PREFIX, false, OTHER, true, LONGER, true), 0);
    origins.inService(LONGER, List.of(OLD), SECOND);
    origins.inService(OTHER, List.of(OLD), SECOND);

    assertThat(origins.resolve("unrecorded", PATH, SECOND)).isEmpty();
    assertThat(origins.resolve("unrecorded", OTHER, SECOND)).contains(OLD);
  }

  /** Guards against the same below a prefix that is left of a removed route. */
  @Example
  void knowsNoBaseOfARemovedRouteWhosePathsWereNotResumable() {
    origins.inService(LONGER, List.of(OLD), 0);
    origins.routesChanged(Map.of(LONGER, true, PREFIX, false), Map.of(PREFIX, false), SECOND);
    assertThat(origins.resolve("unrecorded", PATH, SECOND)).contains(OLD);

    origins.routesChanged(Map.of(PREFIX, false), Map.of(PREFIX, true), 2 * SECOND);
    assertThat(origins.resolve("unrecorded", PATH, 2 * SECOND)).isEmpty();
  }

  /** Guards against replies that grow with the number of routes. */
  @Example
  void handsOutNoBaseOfAPrefixWithVeryManyLongerOnes() {
    StreamOrigins many = new StreamOrigins();
    many.inService(PREFIX, List.of(OLD), 0);
    for (int i = 0; i < 100; i++) {
      many.inService(StreamOrigins.key("shop.example", "/chat/" + i + "/"), List.of(OLD), 0);
    }
    assertThat(many.bases(List.of(PREFIX), 0)).hasSize(101);

    many.inService(LONGER, List.of(OLD), 0);
    assertThat(many.bases(List.of(PREFIX), 0)).isEmpty();
    assertThat(many.bases(List.of(LONGER), 0)).containsEntry(LONGER, OLD);
  }

  /** Guards against streams of a prefix that had to be forgotten and that look like another's. */
  @Example
  void addsNoPrefixBeyondTheBoundWhileOthersAreInUse() {
    for (int i = 0; i < 4; i++) {
      origins.inService(StreamOrigins.key("host-" + i, "/"), List.of(OLD), 0);
    }
    origins.inService(PREFIX, List.of(OLD), SECOND);

    assertThat(origins.resolve("unrecorded", StreamOrigins.key("host-0", "/1"), SECOND))
        .contains(OLD);
    assertThat(origins.base(PREFIX, SECOND)).isEmpty();
    long unused = RETENTION + StreamOrigins.BASE_LIFETIME.toNanos();
    origins.inService(PREFIX, List.of(OLD), unused);
    assertThat(origins.base(PREFIX, unused)).contains(OLD);
  }

  /** Guards against streams begun by gateways of a build that named routes instead of paths. */
  @Example
  void knowsNoBaseWhileStreamsOfNamedRoutesMayRun() {
    origins.inService("chat", List.of(NEW), 0);
    origins.inService(PREFIX, List.of(OLD), SECOND);

    assertThat(origins.resolve("unrecorded", PATH, 2 * SECOND)).isEmpty();
    assertThat(origins.resolve("unrecorded", "chat", 2 * SECOND)).isEmpty();
    origins.inService(PREFIX, List.of(OLD), RETENTION);
    assertThat(origins.resolve("unrecorded", PATH, RETENTION)).contains(OLD);
  }

  /** Guards against hosts whose names begin alike and that share a base. */
  @Example
  void keepsHostsApart() {
    origins.inService(StreamOrigins.key("shop", ""), List.of(OLD), 0);
    String longerHost = StreamOrigins.key("shop.example", "/");

    assertThat(origins.resolve("unrecorded", longerHost, SECOND)).isEmpty();
    assertThat(origins.bases(List.of(StreamOrigins.key("shop", "")), SECOND)).hasSize(1);
    assertThat(StreamOrigins.key("Shop.Example", "/")).isEqualTo(longerHost);
  }
}
