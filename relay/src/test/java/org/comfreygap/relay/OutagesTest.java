package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.comfreygap.settings.Documents.Engine;
import org.comfreygap.settings.Documents.Pool;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: everything restarts while callers with one more attempt arrive. Guards against
 * callers that retry before the engines are ready, and against requests that wait for an endpoint
 * that will not be available in time.
 */
class OutagesTest {

  private static final Pool SERVICE = pool("app", Optional.empty());
  private static final Pool ENGINES =
      pool("llm", Optional.of(new Engine(64, 100_000, 17, 75_000, 5, List.of())));

  private final Outages outages = new Outages();

  @Test
  void engineRequestsRetryLaterUntilARequestWasSent() {
    outages.updateControl(false, 0);
    long service = outages.retryAfterControl(Refusal.NO_TABLES, false, 0).retryMillis();
    long engine = new Outages().retryAfterControl(Refusal.NO_TABLES, true, 0).retryMillis();

    assertThat(service).isLessThan(Outages.ENGINE_RECOVERY.toMillis());
    assertThat(engine).isGreaterThan(Outages.ENGINE_RECOVERY.toMillis());
  }

  @Test
  void engineRequestsRetryLikeOthersOnceARequestWasSent() {
    outages.requestSent("llm", 0);
    outages.updateControl(false, nanos(10_000));

    long engine = outages.retryAfterControl(Refusal.UNCONFIRMED, true, nanos(10_000)).retryMillis();

    assertThat(engine).isLessThan(Outages.ENGINE_RECOVERY.toMillis());
  }

  @Test
  void requestsDoNotWaitWhileAPoolIsExpectedToStayEmpty() {
    assertThat(outages.expectedEmptyUntil("llm", nanos(1_000), 0)).isFalse();

    outages.noEndpoint(Optional.of(ENGINES), 0);
    outages.noEndpoint(Optional.of(SERVICE), 0);

    assertThat(outages.expectedEmptyUntil("llm", nanos(1_000), 0)).isTrue();
    assertThat(outages.expectedEmptyUntil("app", nanos(1_000), 0)).isFalse();
  }

  @Test
  void sentRequestEndsTheOutageOfItsPool() {
    outages.noEndpoint(Optional.of(ENGINES), 0);

    outages.requestSent("llm", nanos(500));

    assertThat(outages.expectedEmptyUntil("llm", nanos(1_500), nanos(500))).isFalse();
  }

  @Test
  void refusalKeepsItsReasonAndStatus() {
    Refusal refusal = outages.noEndpoint(Optional.empty(), 0);

    assertThat(refusal.reason()).isEqualTo(Refusal.NO_ENDPOINT.reason());
    assertThat(refusal.status()).isEqualTo(Refusal.NO_ENDPOINT.status());
    assertThat(refusal.retryAfterHeader()).isPresent();
  }

  private static Pool pool(String name, Optional<Engine> engine) {
    return new Pool(name, "/health", 100, 0, 0, engine);
  }

  private static long nanos(long millis) {
    return Duration.ofMillis(millis).toNanos();
  }
}
