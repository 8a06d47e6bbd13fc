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
    ResolvedRequest work;
    if (context.route() == Route.SERVICE) {
      ServiceResolver.ServiceCall call = services.find(context);
      work = services.resolve(context, call, bodies.read(context.servletRequest()));
    } else {
      work = completions.resolve(context, bodies.read(context.servletRequest()));
    }
    if (context.presentedKey().isPresent()) {
      String key = context.presentedKey().get();
      KeyGuard.check(key, work.path(), work.headers(), work.body());
      context.clearPresentedKey();
    }
    context.resolvedRequest(work);
    chain.next(context);
  }
}
