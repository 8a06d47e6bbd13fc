package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Guards against a process that keeps admitting work under settings that control has replaced. */
class SettingsLeaseTest {

  private static final Duration BOUND = Duration.ofSeconds(5);
  private static final long SECOND = 1_000_000_000L;

  private final SettingsLease lease = new SettingsLease(BOUND);

  @Test
  void isNotValidBeforeTheFirstConfirmation() {
    assertThat(lease.valid(0)).isFalse();
  }

  @Test
  void countsFromTheSendTimeOfTheHeartbeat() {
    lease.heartbeatAcknowledged(10 * SECOND, 0);

    assertThat(lease.valid(15 * SECOND)).isTrue();
    assertThat(lease.valid(15 * SECOND + 1)).isFalse();
  }

  @Test
  void doesNotConfirmARevisionThatIsNotYetInForce() {
    lease.heartbeatAcknowledged(0, 3);
    lease.revisionInForce(2);
    assertThat(lease.valid(SECOND)).isFalse();

    lease.revisionInForce(3);
    assertThat(lease.valid(SECOND)).isTrue();
  }

  @Test
  void confirmsProcessThatAlwaysLagsByOneRevision() {
    for (int i = 1; i <= 20; i++) {
      lease.heartbeatAcknowledged(i * SECOND, i);
      lease.revisionInForce(i - 1L);
    }
    assertThat(lease.valid(20 * SECOND)).isTrue();
  }

  @Property(seed = "20261204")
  void isNeverValidLongerThanTheBoundAfterAMissedRevision(
      @ForAll("events") List<Event> events, @ForAll("times") long now) {
    SettingsLease subject = new SettingsLease(BOUND);
    events.forEach(event -> event.applyTo(subject));
    long inForce = subject.revision();
    // Naive rule: some heartbeat not older than the bound named a revision that is in force.
    boolean expected =
        events.stream()
            .filter(event -> event.heartbeat)
            .anyMatch(e -> e.revision <= inForce && now - e.sentAt <= BOUND.toNanos());

    assertThat(!subject.valid(now) || expected)
        .as("valid only when the naive rule allows it")
        .isTrue();
  }

  @Provide
  Arbitrary<List<Event>> events() {
    return Combinators.combine(
            Arbitraries.of(true, false), times(), Arbitraries.longs().between(0, 8))
        .as(Event::new)
        .list()
        .ofMaxSize(20);
  }

  @Provide
  Arbitrary<Long> times() {
    return Arbitraries.longs().between(0, 20).map(s -> s * SECOND);
  }

  record Event(boolean heartbeat, long sentAt, long revision) {

    void applyTo(SettingsLease lease) {
      if (heartbeat) {
        lease.heartbeatAcknowledged(sentAt, revision);
      } else {
        lease.revisionInForce(revision);
      }
    }
  }
}
