package org.comfreygap.gateway;

import com.google.inject.Inject;
import org.comfreygap.gateway.RequestContext.ResolvedRequest;
import org.comfreygap.protocol.generated.Route;

/**
 * Finds what the request names, decides whether the customer may use it, and makes sure that the
 * key goes no further.
 *
 * <p>Invariant: the adapter version is resolved here once; retries never resolve it again. Thread
 * safety: stateless but for thread-safe collaborators.
 */
final class ResolutionFilter implements RequestFilter {

  private final BodyReader bodies;
  private final CompletionResolver completions;
  private final ServiceResolver services;

  @Inject
  ResolutionFilter(BodyReader bodies, CompletionResolver completions, ServiceResolver services) {
    this.bodies = bodies;
    this.completions = completions;
    this.services = services;
  }

  @Override
  public void filter(RequestContext context, FilterChain chain) throws RequestRefused {
    ResolvedRequest resolved;
    if (context.route() == Route.SERVICE) {
      ServiceResolver.ServiceCall call = services.find(context);
      resolved = services.resolve(context, call, bodies.read(context.servletRequest()));
    } else {
      resolved = completions.resolve(context, bodies.read(context.servletRequest()));
    }
    if (context.presentedKey().isPresent()) {
      String key = context.presentedKey().get();
      KeyGuard.check(key, resolved.path(), resolved.headers(), resolved.body());
      context.clearPresentedKey();
    }
    context.resolvedRequest(resolved);
    chain.next(context);
  }
}
