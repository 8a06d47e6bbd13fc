package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * The gateway's own response to a request that did not run.
 *
 * <p>Invariant: a status that promises "not run" is true for every refusal. Thread safety:
 * immutable.
 *
 * @param reason label in logs and metrics
 * @param retryMillis time after which a retry may succeed; 0 when none may
 */
record Refusal(HttpResponseStatus status, String reason, String text, long retryMillis) {

  static final Refusal NO_ROUTE =
      new Refusal(HttpResponseStatus.NOT_FOUND, "no-route", "no route for this host and path", 0);

  static final Refusal NO_KEY =
      new Refusal(HttpResponseStatus.UNAUTHORIZED, "no-key", "missing or unknown key", 0);

  /** No settings are known, which lasts for seconds after a restart. */
  static final Refusal NO_TABLES =
      new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "no-tables", "not ready yet", 0);

  /** Control has not confirmed the settings recently; the lease is renewed about twice a second. */
  static final Refusal UNCONFIRMED =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE, "unconfirmed", "keys cannot be checked now", 0);

  static final Refusal NO_ENDPOINT =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE, "no-endpoint", "no endpoint accepts work now", 0);

  /** A run takes seconds, but with many of them one ends every few hundred milliseconds. */
  static final Refusal FULL =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE, "full", "every endpoint is at capacity", 400);

  /** The endpoints state how many requests they take, and take no further one in time. */
  static final Refusal LIMITED =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          "endpoints-limited",
          "every endpoint is at its request limit",
          0);

  /** An endpoint of the version may come back within a restart; the caller may also begin anew. */
  static final Refusal VERSION_GONE =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          "version-gone",
          "no endpoint of the software version that began the stream is there now",
          1_000);

  /** Going on at any version could join two of them, now and later. */
  static final Refusal ORIGIN_UNKNOWN =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          "origin-unknown",
          "it is not known which software version began the stream",
          0);

  /** Control did not decide in time whether the customer has credit. */
  static final Refusal CREDIT_TIMEOUT =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          "no-credit-answer",
          "the limit cannot be checked now",
          0);

  /** An error of this process in a step before the request was sent. */
  static final Refusal GATEWAY_ERROR =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          "gateway-error",
          "this gateway failed before the request was sent",
          20);

  /** Another gateway can accept the request at once. */
  static final Refusal STOPPING =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping", "this gateway is stopping", 20);

  static final Refusal TIMED_OUT =
      new Refusal(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          "time-over",
          "not started within the request's timeout",
          100);

  private static final Set<String> LACK_OF_ROOM =
      Set.of(NO_ENDPOINT.reason, FULL.reason, LIMITED.reason, TIMED_OUT.reason);

  private static final String QUARANTINED = "quarantined";
  private static final String PART_BANNED = "part-banned";
  private static final double MILLIS_PER_SECOND = 1_000;

  static Refusal overLimit(long retryMillis) {
    return new Refusal(
        HttpResponseStatus.TOO_MANY_REQUESTS,
        "over-limit",
        "the customer is over its limit",
        Math.max(1, retryMillis));
  }

  /** A request that crashed endpoints is not sent again until its quarantine ends. */
  static Refusal quarantined(Duration left) {
    return new Refusal(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        QUARANTINED,
        "endpoints crashed while they ran this request",
        Math.max(1, left.toMillis()));
  }

  /**
   * A request whose prompt holds a part that crashes endpoints is not sent while that is banned.
   */
  static Refusal partBanned(Duration left) {
    return new Refusal(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        PART_BANNED,
        "endpoints crashed while they ran requests with a part of this prompt",
        Math.max(1, left.toMillis()));
  }

  /** Returns true when more endpoints might have served the request. */
  boolean isLackOfRoom() {
    return LACK_OF_ROOM.contains(reason);
  }

  /** Returns true when the request is refused because a part of its prompt is banned. */
  boolean isPartBan() {
    return reason.equals(PART_BANNED);
  }

  /** Returns true when the request is refused because it is quarantined. */
  boolean isQuarantine() {
    return reason.equals(QUARANTINED);
  }

  /** Returns this refusal with the time after which a retry may succeed. */
  Refusal withRetryAfter(Duration after) {
    return new Refusal(status, reason, text, Math.max(1, after.toMillis()));
  }

  /** Returns the reason of a failed attempt that may have run; it is never sent as a promise. */
  static Refusal attemptFailed(String reason) {
    return new Refusal(HttpResponseStatus.BAD_GATEWAY, reason, "the response was interrupted", 0);
  }

  /**
   * Returns true for the statuses that promise a caller that its request did not and will not run.
   */
  static boolean promisesNotRun(int code) {
    return code == 408 || code == 421 || code == 429 || code == 503;
  }

  /** Returns the value of the Retry-After header, in seconds. */
  Optional<String> retryAfterHeader() {
    return retryMillis == 0
        ? Optional.empty()
        : Optional.of(String.format(Locale.ROOT, "%.3f", retryMillis / MILLIS_PER_SECOND));
  }

  HttpHeaders headers() {
    HttpHeaders headers = new DefaultHttpHeaders(false);
    retryAfterHeader().ifPresent(text -> headers.set(HttpHeaderNames.RETRY_AFTER, text));
    return headers;
  }

  ByteBuf body() {
    return text(text);
  }

  static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
  }
}
