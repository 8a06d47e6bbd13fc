package org.comfreygap.gateway;

import java.util.List;

/**
 * The remaining filters for a request.
 *
 * <p>Invariant: each filter handles a request at most once. Thread safety: immutable.
 *
 * @since 0.1
 */
public final class FilterChain {

  private final List<RequestFilter> filters;
  private final int position;

  private FilterChain(List<RequestFilter> filters, int position) {
    this.filters = filters;
    this.position = position;
  }

  /** Returns the chain of {@code filters} in order. */
  public static FilterChain of(List<RequestFilter> filters) {
    return new FilterChain(List.copyOf(filters), 0);
  }

  /**
   * Passes {@code context} to the next filter; does nothing at the end of the chain.
   *
   * @throws RequestRefused when the request ends with an error response
   */
  public void next(RequestContext context) throws RequestRefused {
    if (position < filters.size()) {
      filters.get(position).filter(context, new FilterChain(filters, position + 1));
    }
  }
}
