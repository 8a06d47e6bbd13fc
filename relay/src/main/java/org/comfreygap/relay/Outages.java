package org.comfreygap.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.decisions.OutageForecast;
import org.comfreygap.settings.Documents.Pool;

/**
 * Tracks outages of control and of pools, and when callers should retry because of them.
 *
 * <p>Invariant: an outage of control lasts exactly while its settings are not confirmed here; an
 * outage of a pool lasts from the first request that found no endpoint until a request is sent to
 * the pool. Thread safety: used on the event loop only.
 */
final class Outages {

  /**
   * Time until settings are confirmed after a restart of all instances: control has a leader 0.85 s
   * after the gateways run.
   */
  static final Duration CONTROL_RECOVERY = Duration.ofMillis(1_000);

  /**
   * Time until an engine serves again; loading its weights takes 1.5 to 5.7 s by the capacity
   * sheets.
   */
  static final Duration ENGINE_RECOVERY = Duration.ofMillis(2_500);

  /** Time in which plain services' health checks are repeated and lost endpoints replaced. */
  static final Duration SERVICE_RECOVERY = Duration.ofMillis(300);

  private final OutageForecast control = new OutageForecast(CONTROL_RECOVERY);
  private final Map<String, OutageForecast> pools = new HashMap<>();
  private boolean sentOnce;

  /** Records whether settings are present and confirmed; called a few times a second. */
  void updateControl(boolean confirmed, long nowNanos) {
    if (confirmed) {
      control.outageEnded(nowNanos);
    } else {
      control.outageObserved(nowNanos);
    }
  }

  /** Records that a request is sent to an endpoint of {@code pool}. */
  void requestSent(String pool, long nowNanos) {
    sentOnce = true;
    OutageForecast forecast = pools.get(pool);
    if (forecast != null) {
      forecast.outageEnded(nowNanos);
    }
  }

  /**
   * Returns {@code refusal}, due to unconfirmed settings, with the time after which to retry.
   *
   * @param forEngine true when an engine has to serve it; until this gateway has sent a request,
   *     engines may have restarted as well
   */
  Refusal retryAfterControl(Refusal refusal, boolean forEngine, long nowNanos) {
    control.outageObserved(nowNanos);
    Duration wait = control.retryAfter(nowNanos);
    return refusal.withRetryAfter(
        forEngine && !sentOnce ? wait.plus(ENGINE_RECOVERY.minus(CONTROL_RECOVERY)) : wait);
  }

  /**
   * Returns true when {@code pool} has no endpoint and none is expected before {@code untilNanos}.
   */
  boolean expectedEmptyUntil(String pool, long untilNanos, long nowNanos) {
    OutageForecast forecast = pools.get(pool);
    return forecast != null
        && forecast.expectedRemaining(nowNanos).toNanos() > untilNanos - nowNanos;
  }

  /** Returns the refusal of a request that found no endpoint, or whose pool no longer exists. */
  Refusal noEndpoint(Optional<Pool> pool, long nowNanos) {
    String name = pool.map(Pool::name).orElse("");
    Duration usual = pool.flatMap(Pool::engine).isPresent() ? ENGINE_RECOVERY : SERVICE_RECOVERY;
    OutageForecast forecast = pools.computeIfAbsent(name, key -> new OutageForecast(usual));
    forecast.outageObserved(nowNanos);
    return Refusal.NO_ENDPOINT.withRetryAfter(forecast.retryAfter(nowNanos));
  }
}
