package org.comfreygap.gateway;

import com.google.inject.Inject;
import org.comfreygap.runtime.MembershipAgent;

/**
 * Refuses a request that crashed endpoints before, at whichever gateway it arrives.
 *
 * <p>Thread safety: stateless but for thread-safe collaborators.
 */
final class QuarantineFilter implements RequestFilter {

  private final MembershipAgent agent;
  private final CrashController crashes;

  @Inject
  QuarantineFilter(MembershipAgent agent, CrashController crashes) {
    this.agent = agent;
    this.crashes = crashes;
  }

  @Override
  public void filter(RequestContext context, FilterChain chain) throws RequestRefused {
    check(agent, crashes, context);
    chain.next(context);
  }

  /**
   * Checks the quarantine list in force now, and what this gateway saw alone.
   *
   * @throws RequestRefused when the request is quarantined
   */
  static void check(MembershipAgent agent, CrashController crashes, RequestContext context)
      throws RequestRefused {
    long now = System.nanoTime();
    String fingerprint = context.resolvedRequest().fingerprint();
    if (agent.quarantined(fingerprint, now) || crashes.isQuarantined(fingerprint, now)) {
      throw RequestRefused.of(
          CallerError.REQUEST_QUARANTINED,
          "the request is quarantined since endpoints crashed while they ran it",
          context.outcome());
    }
  }
}
