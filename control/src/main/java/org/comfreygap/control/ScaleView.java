package org.comfreygap.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Predicate;
import org.comfreygap.decisions.MembershipView;
import org.comfreygap.decisions.PoolLoads;
import org.comfreygap.decisions.PoolLoads.Load;
import org.comfreygap.decisions.PoolLoads.Subject;
import org.comfreygap.decisions.ScalePolicy;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;

/**
 * What a leader learned in its term of the loads of pools.
 *
 * <p>Invariant: nothing is taken over from another term. Thread safety: guarded by the monitor of
 * {@link ScaleController}.
 */
final class ScaleView {

  /** Time from the first sight of a term until every gateway has reported, some of them twice. */
  private static final Duration SETTLING = Duration.ofSeconds(5);

  private final LeaderTerm term;
  private final long beganNanos;
  private final PoolLoads loads = new PoolLoads();
  private final Map<Subject, ScalePolicy> policies = new HashMap<>();
  private final Map<Subject, Known> known = new HashMap<>();

  ScaleView(LeaderTerm term, long nowNanos) {
    this.term = term;
    this.beganNanos = nowNanos;
  }

  /** The newest decision on a pool in a zone and what it rests on. */
  record Known(ScalePolicy.Decision decision, Load load, OptionalInt needed) {}

  /**
   * The gateways on whose reports decisions rest.
   *
   * @param known those of the membership, that fell silent in the last minutes included
   * @param fresh those whose reports count
   */
  record Gateways(boolean settled, int known, int fresh) {

    ScalePolicy.Knowledge knowledge(boolean zoneIn) {
      return new ScalePolicy.Knowledge(settled, known, fresh, zoneIn);
    }
  }

  boolean isOf(LeaderTerm other) {
    return term == other;
  }

  PoolLoads loads() {
    return loads;
  }

  ScalePolicy policy(Subject subject, ScalePolicy.Settings settings) {
    return policies.computeIfAbsent(subject, s -> new ScalePolicy(settings));
  }

  Map<Subject, Known> known() {
    return known;
  }

  /** Replaces what is known of a subject, and returns what was known before. */
  Optional<Known> known(Subject subject, Known newest) {
    return Optional.ofNullable(known.put(subject, newest));
  }

  /** Forgets the subjects for which {@code kept} does not hold. */
  void retain(Predicate<Subject> kept) {
    policies.keySet().removeIf(kept.negate());
    known.keySet().removeIf(kept.negate());
  }

  Gateways gateways(LeaderTerm leader, long nowNanos) {
    int members = 0;
    boolean settled;
    synchronized (leader.members()) {
      for (MembershipView.Status<ProcessIdentity> status : leader.members().all()) {
        members += status.identity().description().getKind() == ProcessKind.GATEWAY ? 1 : 0;
      }
      settled = leader.members().settled(nowNanos);
    }
    boolean isOldEnough = nowNanos - beganNanos >= SETTLING.toNanos();
    return new Gateways(settled && isOldEnough, members, loads.freshGateways(nowNanos));
  }
}
