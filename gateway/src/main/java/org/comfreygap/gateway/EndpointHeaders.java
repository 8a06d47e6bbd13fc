package org.comfreygap.gateway;

import java.util.List;

/**
 * The headers that may reach an endpoint. All others, such as {@code Cookie} and {@code
 * Authorization}, are dropped.
 *
 * <p>Thread safety: immutable.
 */
final class EndpointHeaders {

  /** Key of a call that must run at most once. */
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** For calls of plain services. */
  static final List<String> SERVICE_CALL_HEADERS =
      List.of("Content-Type", "Accept", "X-Request-Id", IDEMPOTENCY_KEY);

  private EndpointHeaders() {}
}
