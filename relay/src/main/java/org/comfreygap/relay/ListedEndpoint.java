package org.comfreygap.relay;

import java.util.Map;
import java.util.Set;
import org.comfreygap.decisions.AdapterSlots;

/**
 * An endpoint as the platform's list shows it, some time late.
 *
 * <p>Thread safety: immutable.
 *
 * @param instanceId id of this start of the endpoint
 * @param pool pool that it belongs to
 * @param address {@code ip:port}
 * @param slots requests that run at once
 * @param leaving true when it takes no new work
 * @param coldMillis time for which it stays cold
 * @param models base models that it holds
 * @param adapters adapters that it holds, with their versions
 * @since 0.2
 */
public record ListedEndpoint(
    String instanceId,
    String pool,
    String address,
    String zone,
    int slots,
    boolean leaving,
    long coldMillis,
    Set<String> models,
    Map<AdapterSlots.Name, Long> adapters) {}
