package org.comfreygap.relay.residency;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.decisions.AdapterSlots;

/**
 * An engine's report of its state.
 *
 * <p>Thread safety: immutable.
 *
 * @param instanceId id of this start, where stated
 * @param bornMillis time of this start by the engine's clock, Unix milliseconds
 * @param sequence number of commands that it has accepted since
 * @param executing true while it executes a command that excludes others
 * @param kvTokensUsed tokens in memory that cannot be evicted
 * @param coldMillis remaining cold time
 * @param models base models that are loaded
 * @param resident adapters that are loaded, with versions
 * @param loading adapters that are being loaded, with versions
 * @since 0.2
 */
public record EngineReport(
    Optional<String> instanceId,
    long bornMillis,
    long sequence,
    boolean executing,
    int running,
    int waiting,
    long kvTokensUsed,
    long kvTokensTotal,
    long coldMillis,
    boolean leaving,
    Set<String> models,
    Map<AdapterSlots.Name, Long> resident,
    Map<AdapterSlots.Name, Long> loading) {}
