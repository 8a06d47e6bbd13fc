package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * The gateway's own answer to a request that did not run.
 *
 * <p>Invariant: a status that promises "not run" is true for every refusal. Thread safety:
 * immutable.
 *
 * @param reason short word for logs and metrics
 * @param retryMillis time after which another try is useful; 0 when none is
 */
record Refusal(HttpResponseStatus status, String reason, String text, long retryMillis) {

  static final Refusal NO_ROUTE =
      new Refusal(HttpResponseStatus.NOT_FOUND, "no-route", "no route for this host and path", 0);

  static final Refusal NO_KEY =
      new Refusal(HttpResponseStatus.UNAUTHORIZED, "no-key", "no key, or one that is unknown", 0);

  /** No settings are known, which a restart ends within seconds. */
  static final Refusal NO_TABLES =
      new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "no-tables", "not ready yet", 0);

  /** Control has not confirmed the settings lately; the lease is renewed about twice a second. */
  static final Refusal UNCONFIRMED =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE, "unconfirmed", "keys cannot be checked now", 0);

  static final Refusal NO_ENDPOINT =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE, "no-endpoint", "no endpoint takes work now", 0);

  /** A run takes seconds, but with many of them one ends every few hundred milliseconds. */
  static final Refusal FULL =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE, "full", "every endpoint is fully used", 400);

  /** Control did not answer in time whether the customer has credit. */
  static final Refusal CREDIT_TIMEOUT =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          "no-credit-answer",
          "the limit cannot be checked now",
          0);

  /** Another gateway takes the request at once. */
  static final Refusal STOPPING =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping", "this gateway is stopping", 20);

  static final Refusal TIMED_OUT =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE, "time-over", "not begun in the given time", 100);

  private static final String QUARANTINED = "quarantined";
  private static final double MILLIS_PER_SECOND = 1_000;

  static Refusal overLimit(long retryMillis) {
    return new Refusal(
        HttpResponseStatus.TOO_MANY_REQUESTS,
        "over-limit",
        "the customer is over its limit",
        Math.max(1, retryMillis));
  }

  /** A request that crashed endpoints is not sent again until its quarantine is over. */
  static Refusal quarantined(Duration left) {
    return new Refusal(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        QUARANTINED,
        "endpoints crashed while they ran this request",
        Math.max(1, left.toMillis()));
  }

  /** Returns true when the request is refused for what equal ones did. */
  boolean isQuarantine() {
    return reason.equals(QUARANTINED);
  }

  /** Returns this refusal with the time after which another try is useful. */
  Refusal withRetryAfter(Duration after) {
    return new Refusal(status, reason, text, Math.max(1, after.toMillis()));
  }

  /** Returns what stands for an attempt that may have run; it is never sent as a promise. */
  static Refusal attemptFailed(String reason) {
    return new Refusal(HttpResponseStatus.BAD_GATEWAY, reason, "the answer broke off", 0);
  }

  /** Returns true for the statuses that tell a caller that its request did not and will not run. */
  static boolean promisesNotRun(int code) {
    return code == 408 || code == 421 || code == 429 || code == 503;
  }

  /** Returns the value of the Retry-After header, in seconds. */
  Optional<String> retryAfterHeader() {
    return retryMillis == 0
        ? Optional.empty()
        : Optional.of(String.format(Locale.ROOT, "%.3f", retryMillis / MILLIS_PER_SECOND));
  }

  ByteBuf body() {
    return text(text);
  }

  static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
  }
}
