package org.comfreygap.relay;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.decisions.AdapterSlots;

/**
 * An endpoint as shown by the platform's list, which lags behind its state.
 *
 * <p>Thread safety: immutable.
 *
 * @param instanceId id of this start of the endpoint
 * @param pool pool that it belongs to
 * @param address {@code ip:port}
 * @param version version of its software, where the list states it
 * @param slots number of requests that can run at once
 * @param departure whether it accepts new work, and how it ends otherwise
 * @param coldMillis remaining cold time
 * @param models base models that it holds
 * @param adapters adapters that it holds, with their versions
 * @since 0.2
 */
public record ListedEndpoint(
    String instanceId,
    String pool,
    String address,
    String zone,
    Optional<String> version,
    int slots,
    Departure departure,
    long coldMillis,
    Set<String> models,
    Map<AdapterSlots.Name, Long> adapters) {

  /** How an endpoint leaves. */
  public enum Departure {
    /** It stays. */
    NONE,
    /** It completes its requests and ends then. */
    AFTER_ITS_REQUESTS,
    /** It ends at a set time, whatever it runs then. */
    AT_A_DEADLINE
  }

  /** Returns true when it accepts no new work. */
  public boolean leaving() {
    return departure != Departure.NONE;
  }
}
