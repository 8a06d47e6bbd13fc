package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.comfreygap.control.ControlSettings.Operator;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.settings.KeyHash;

/**
 * Authenticates operators by bearer token and restricts them to their subtrees.
 *
 * <p>Invariant: tokens are compared by hash in constant time and never appear in messages. Thread
 * safety: immutable.
 */
@Singleton
final class Operators {

  private static final String SCHEME = "Bearer ";

  private final List<Operator> operators;
  private final EventLog events;

  @Inject
  Operators(ControlSettings settings, EventLog events) {
    this.operators = settings.operators();
    this.events = events;
  }

  /** Returns the operator of an {@code Authorization} header; fails with 401 when there is none. */
  Operator authenticate(String authorization) {
    if (authorization != null && authorization.startsWith(SCHEME)) {
      byte[] hash =
          sha256(authorization.substring(SCHEME.length()).strip())
              .getBytes(StandardCharsets.US_ASCII);
      Optional<Operator> found =
          operators.stream()
              .filter(
                  o ->
                      MessageDigest.isEqual(
                          hash, o.tokenSha256().getBytes(StandardCharsets.US_ASCII)))
              .findFirst();
      if (found.isPresent()) {
        return found.get();
      }
    }
    events.record(ControlEvent.OPERATOR_REJECTED, Field.of("reason", "unknown token"));
    throw ApiException.of(
        401,
        "unauthorized",
        "given no known operator token, expected Authorization: Bearer with a valid token");
  }

  /** Fails with 403 when {@code path} is outside the operator's subtree. */
  void requireAccess(Operator operator, String path) {
    if (!operator.covers(path)) {
      events.record(
          ControlEvent.OPERATOR_REJECTED,
          Field.of("operator", operator.name()),
          Field.of("path", path));
      throw ApiException.of(
          403, "forbidden", "given " + path + ", expected a path within " + operator.subtree());
    }
  }

  /** Returns the lower-case hexadecimal SHA-256 of {@code text}. */
  static String sha256(String text) {
    return KeyHash.of(text);
  }
}
