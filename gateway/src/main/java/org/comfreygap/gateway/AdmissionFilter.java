package org.comfreygap.gateway;

import com.google.inject.Inject;
import org.comfreygap.runtime.MembershipAgent;

/**
 * Refuses requests while the gateway holds no valid settings lease, and requests whose
 * Content-Length exceeds the limit.
 *
 * <p>Thread safety: stateless apart from thread-safe collaborators.
 */
final class AdmissionFilter implements RequestFilter {

  private final MembershipAgent agent;
  private final BodyReader bodies;

  @Inject
  AdmissionFilter(MembershipAgent agent, BodyReader bodies) {
    this.agent = agent;
    this.bodies = bodies;
  }

  @Override
  public void filter(RequestContext context, FilterChain chain) throws RequestRefused {
    if (!agent.admits()) {
      throw RequestRefused.notRun(
          CallerError.SETTINGS_STALE, "the gateway holds no valid settings lease from control");
    }
    bodies.checkLength(context.servletRequest());
    chain.next(context);
  }
}
