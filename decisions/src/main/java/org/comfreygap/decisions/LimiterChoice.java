package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the one gateway, the limiter, that grants the sends to an endpoint with a request limit.
 *
 * <p>Rendezvous hashing over the live gateways, those of the endpoint's zone first. The views of
 * gateways differ while the membership changes, so a gateway grants only when it has been the
 * choice in each of its views for as long as a predecessor may have an outdated one. A predecessor
 * stops when its view is no longer confirmed by control, so no two gateways grant at the same time.
 *
 * <pre>{@code
 * choice.update(gateways, confirmed, now);
 * Optional<Candidate> limiter = choice.limiter(AdapterHomes.hash(instanceId), zone);
 * }</pre>
 *
 * <p>Invariant: without a confirmed view, after a gap between updates, and in the handover time
 * after either, {@link #mayGrant} is false. Thread safety: not thread-safe.
 *
 * @since 0.4
 */
public final class LimiterChoice {

  /**
   * Time for which a gateway that is missing from the view remains a candidate: a new leader of
   * control learns of all processes by their next heartbeats.
   */
  public static final Duration ABSENCE_GRACE = Duration.ofMillis(1_500);

  /** Gap between two updates, which come several times a second, that shows a suspension. */
  public static final Duration MAX_UPDATE_GAP = Duration.ofMillis(1_000);

  private final String ownId;
  private final long handoverNanos;
  private final Deque<PastView> past = new ArrayDeque<>();
  private final Map<String, Long> lastSeen = new HashMap<>();
  private List<Candidate> view = List.of();
  private boolean confirmed;
  private boolean updated;
  private long updatedNanos;
  private long confirmedSinceNanos;

  /**
   * Creates a choice without candidates.
   *
   * @param handover longest time for which a gateway trusts a view that is not confirmed again
   */
  public LimiterChoice(String ownId, Duration handover) {
    this.ownId = ownId;
    this.handoverNanos = handover.toNanos();
  }

  /**
   * A gateway.
   *
   * @param address {@code ip:port} at which it grants sends
   */
  public record Candidate(String processId, String zone, String address, long hash) {

    /** Creates a candidate with the hash of its id. */
    public Candidate(String processId, String zone, String address) {
      this(processId, zone, address, AdapterHomes.hash(processId));
    }
  }

  private record PastView(List<Candidate> candidates, long endNanos) {}

  /**
   * Applies the present view.
   *
   * @param live gateways that are live, this one included
   * @param departed ids of those that control reports as suspect or leaving
   * @param isConfirmed true while control has confirmed the view recently enough
   */
  public void update(
      Collection<Candidate> live, Collection<String> departed, boolean isConfirmed, long nowNanos) {
    boolean gap = !updated || nowNanos - updatedNanos > MAX_UPDATE_GAP.toNanos();
    if (isConfirmed && (!confirmed || gap)) {
      confirmedSinceNanos = nowNanos;
    }
    confirmed = isConfirmed;
    updated = true;
    updatedNanos = nowNanos;
    List<Candidate> next = new ArrayList<>(live);
    live.forEach(one -> lastSeen.put(one.processId(), nowNanos));
    lastSeen.keySet().removeAll(departed);
    for (Candidate one : view) {
      Long seen = lastSeen.get(one.processId());
      boolean absent = seen != null && seen != nowNanos;
      if (absent && nowNanos - seen <= ABSENCE_GRACE.toNanos()) {
        next.add(one);
      }
    }
    lastSeen.values().removeIf(seen -> nowNanos - seen > ABSENCE_GRACE.toNanos());
    if (!next.equals(view) && !new HashSet<>(next).equals(new HashSet<>(view))) {
      past.addLast(new PastView(view, nowNanos));
      view = List.copyOf(next);
    }
    while (!past.isEmpty() && nowNanos - past.getFirst().endNanos() > handoverNanos) {
      past.removeFirst();
    }
  }

  /** Returns the gateways of the present view. */
  public List<Candidate> candidates() {
    return view;
  }

  /** Returns the gateway to ask for sends; empty while none is known. */
  public Optional<Candidate> limiter(long endpointHash, String zone) {
    return Optional.ofNullable(choose(view, endpointHash, zone));
  }

  /** Returns true when this gateway grants sends to an endpoint now. */
  public boolean mayGrant(long endpointHash, String zone, long nowNanos) {
    boolean settled =
        confirmed
            && nowNanos - updatedNanos <= MAX_UPDATE_GAP.toNanos()
            && nowNanos - confirmedSinceNanos >= handoverNanos;
    if (!settled || !isOwn(choose(view, endpointHash, zone))) {
      return false;
    }
    for (PastView before : past) {
      boolean relevant = nowNanos - before.endNanos() <= handoverNanos;
      if (relevant && !isOwn(choose(before.candidates(), endpointHash, zone))) {
        return false;
      }
    }
    return true;
  }

  private boolean isOwn(Candidate candidate) {
    return candidate != null && candidate.processId().equals(ownId);
  }

  private static Candidate choose(List<Candidate> candidates, long endpointHash, String zone) {
    Candidate best = null;
    boolean bestInZone = false;
    long bestWeight = 0;
    for (int i = 0; i < candidates.size(); i++) {
      Candidate one = candidates.get(i);
      boolean inZone = one.zone().equals(zone);
      long weight = AdapterHomes.weight(endpointHash, one.hash());
      boolean better = inZone == bestInZone ? weight > bestWeight : inZone;
      if (best == null || better) {
        best = one;
        bestInZone = inZone;
        bestWeight = weight;
      }
    }
    return best;
  }
}
