package org.comfreygap.gateway;

import java.util.Locale;

/**
 * Errors returned to callers.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public enum CallerError {
  INVALID_REQUEST(400, "invalid_request_error", 0),
  KEY_IN_REQUEST(400, "invalid_request_error", 0),
  INVALID_KEY(401, "authentication_error", 0),
  FORBIDDEN(403, "permission_error", 0),
  NOT_FOUND(404, "not_found_error", 0),
  METHOD_NOT_ALLOWED(405, "invalid_request_error", 0),
  BODY_TIMEOUT(408, "invalid_request_error", 0),
  IDEMPOTENCY_KEY_REUSED(409, "conflict_error", 0),
  IDEMPOTENCY_KEY_IN_PROGRESS(409, "conflict_error", 1_000),
  OUTCOME_UNKNOWN(409, "conflict_error", 0),
  ANSWER_NOT_KEPT(409, "conflict_error", 0),
  BODY_TOO_LARGE(413, "invalid_request_error", 0),
  REQUEST_QUARANTINED(422, "invalid_request_error", 0),
  RATE_LIMITED(429, "rate_limit_error", 1_000),
  INTERNAL(500, "api_error", 0),
  ENDPOINT_FAILED(502, "api_error", 1_000),
  NO_ENDPOINT(503, "overloaded_error", 1_000),
  OVERLOADED(503, "overloaded_error", 1_000),
  SETTINGS_STALE(503, "overloaded_error", 1_000),
  LEDGER_UNAVAILABLE(503, "overloaded_error", 1_000),
  DEADLINE_EXCEEDED(504, "api_error", 1_000);

  private final int status;
  private final String type;
  private final long retryAfterMillis;

  CallerError(int status, String type, long retryAfterMillis) {
    this.status = status;
    this.type = type;
    this.retryAfterMillis = retryAfterMillis;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the value of {@code error.type} in the body. */
  public String type() {
    return type;
  }

  /** Returns the value of {@code error.code} in the body. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the delay before a retry is useful in milliseconds, or 0 when none is suggested. */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }
}
