package org.comfreygap.gateway;

import com.google.inject.Inject;
import java.util.Optional;
import org.comfreygap.gateway.RequestContext.ResolvedRequest;
import org.comfreygap.settings.Documents.Limits;

/**
 * Reserves the customer's credit before the request runs and returns the unused part.
 *
 * <p>Customers without a limits document and open routes are not limited. Thread safety: stateless
 * apart from thread-safe collaborators.
 */
final class CreditFilter implements RequestFilter {

  private final CreditController credit;

  @Inject
  CreditFilter(CreditController credit) {
    this.credit = credit;
  }

  @Override
  public void filter(RequestContext context, FilterChain chain) throws RequestRefused {
    Optional<Limits> limits = context.settings().limits(context.customer());
    if (limits.isEmpty()) {
      chain.next(context);
      return;
    }
    ResolvedRequest resolved = context.resolvedRequest();
    if (resolved.reservedTokens() > limits.get().burstTokens()) {
      throw RequestRefused.notRun(
          CallerError.INVALID_REQUEST,
          "the request needs up to "
              + resolved.reservedTokens()
              + " tokens, expected at most the customer's burst of "
              + limits.get().burstTokens());
    }
    context.credit(
        credit.reserve(context.customer(), resolved.reservedTokens(), resolved.priority()));
    context.tokensUsed(resolved.reservedTokens());
    try {
      chain.next(context);
    } finally {
      // A retry may have replaced the reservation.
      context
          .credit()
          .ifPresent(held -> credit.settle(held, context.outcome(), context.tokensUsed()));
    }
  }
}
