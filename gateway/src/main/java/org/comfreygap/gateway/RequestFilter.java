package org.comfreygap.gateway;

/**
 * One step in the handling of a request.
 *
 * <p>Thread safety: implementations are called by many threads at once.
 *
 * @since 0.1
 */
public interface RequestFilter {

  /**
   * Handles {@code context} and calls the rest of the chain unless the answer is already given.
   *
   * @throws RequestRefused when the request gets an error
   */
  void filter(RequestContext context, FilterChain chain) throws RequestRefused;
}
