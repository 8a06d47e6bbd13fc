package org.comfreygap.gateway;

import com.google.inject.Inject;
import org.comfreygap.gateway.RequestContext.ResolvedRequest;
import org.comfreygap.protocol.generated.Route;

/**
 * Resolves the target of a request, checks that the customer may use it, and ensures that the key
 * is not sent to an endpoint.
 *
 * <p>Invariant: the adapter version is resolved once; retries do not resolve it again. Thread
 * safety: stateless apart from thread-safe collaborators.
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
