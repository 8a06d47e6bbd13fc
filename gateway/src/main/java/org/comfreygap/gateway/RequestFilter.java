package org.comfreygap.gateway;

/**
 * One step of request processing.
 *
 * <p>Thread safety: implementations must be thread-safe.
 *
 * @since 0.1
 */
public interface RequestFilter {

  /**
   * Processes {@code context} and calls the rest of the chain unless the response was already sent.
   *
   * @throws RequestRefused when the request ends with an error response
   */
  void filter(RequestContext context, FilterChain chain) throws RequestRefused;
}
