package org.comfreygap.gateway;

import java.util.List;

/**
 * Allow-list of the request headers forwarded to endpoints. All others, such as {@code Cookie} and
 * {@code Authorization}, are dropped.
 *
 * <p>Thread safety: immutable.
 */
final class EndpointHeaders {

  /** Header that identifies a call that must run at most once. */
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Headers forwarded for service calls. */
  static final List<String> SERVICE_CALL_HEADERS =
      List.of("Content-Type", "Accept", "X-Request-Id", IDEMPOTENCY_KEY);

  private EndpointHeaders() {}
}
