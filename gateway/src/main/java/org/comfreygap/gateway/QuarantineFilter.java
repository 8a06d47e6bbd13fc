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

  @Inject
  QuarantineFilter(MembershipAgent agent) {
    this.agent = agent;
  }

  @Override
  public void filter(RequestContext context, FilterChain chain) throws RequestRefused {
    check(agent, context);
    chain.next(context);
  }

  /**
   * Checks the quarantine list in force now.
   *
   * @throws RequestRefused when the request is on it
   */
  static void check(MembershipAgent agent, RequestContext context) throws RequestRefused {
    if (agent.quarantined(context.work().fingerprint(), System.nanoTime())) {
      throw RequestRefused.of(
          CallerError.REQUEST_QUARANTINED,
          "the request is quarantined since endpoints crashed while they ran it",
          context.outcome());
    }
  }
}
