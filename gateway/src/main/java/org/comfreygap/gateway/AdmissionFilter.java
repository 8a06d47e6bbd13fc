package org.comfreygap.gateway;

import com.google.inject.Inject;
import org.comfreygap.runtime.MembershipAgent;

/**
 * Refuses new work while the settings in force are not confirmed, and bodies announced as too
 * large.
 *
 * <p>Thread safety: stateless but for thread-safe collaborators.
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
          CallerError.SETTINGS_STALE, "the settings are not confirmed by control");
    }
    bodies.checkLength(context.servletRequest());
    chain.next(context);
  }
}
