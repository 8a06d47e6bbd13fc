package org.comfreygap.gateway;

import com.google.inject.Inject;
import org.comfreygap.runtime.MembershipAgent;

/**
 * Refuses requests that crashed endpoints before, whichever gateway handled them.
 *
 * <p>Thread safety: stateless apart from thread-safe collaborators.
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
   * Checks the current quarantine list and the crashes observed by this gateway.
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
          "the request is quarantined because endpoints crashed while running it",
          context.outcome());
    }
  }
}
