package org.comfreygap.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import jakarta.ws.rs.core.UriInfo;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.comfreygap.consensus.ReplicatedLog;
import org.comfreygap.control.ControlSettings.Operator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shared steps of the resources of the administration API: authorization, redirection to the
 * leader, and responses to changes.
 *
 * <p>Thread safety: any thread may call.
 */
@Singleton
final class ApiSupport {

  private static final Logger LOG = LoggerFactory.getLogger(ApiSupport.class);

  private static final long DEFAULT_WAIT_MILLIS = 7_000;
  private static final long MAX_WAIT_MILLIS = 30_000;

  private final Operators operators;
  private final Leadership leadership;
  private final MembershipController membership;
  private final ReplicatedLog log;

  @Inject
  ApiSupport(
      Operators operators,
      Leadership leadership,
      MembershipController membership,
      ReplicatedLog log) {
    this.operators = operators;
    this.leadership = leadership;
    this.membership = membership;
    this.log = log;
  }

  /** Response to a change. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record ChangeResponse(
      String path, long revision, String operationId, Boolean inForce, List<String> laggards) {}

  Operators operators() {
    return operators;
  }

  /**
   * Returns the operator of a call that only the leader serves; fails like {@link #requireLeader}
   * at other instances.
   */
  Operator authenticateAtLeader(String authorization, UriInfo uri) {
    Operator operator = operators.authenticate(authorization);
    requireLeader(uri);
    if (isAwaited(uri)) {
      // Refuses a malformed time before the change, not after its commit.
      timeout(uri);
    }
    return operator;
  }

  /**
   * Returns the leader's state; fails with a redirect to the leader, or with 503 when none is
   * known.
   */
  LeaderTerm requireLeader(UriInfo uri) {
    return leadership
        .current()
        .orElseThrow(
            () ->
                leaderHttpAddress()
                    .map(address -> ApiException.redirect(redirect(uri, address)))
                    .orElseGet(ApiException::noLeader));
  }

  /**
   * Returns the response to a committed change; with {@code wait=true} only after waiting until
   * every process has it in force, or until this instance no longer leads. The change then counts
   * as not in force, without laggards; a redirect or an error would have the caller repeat it.
   */
  ChangeResponse changeResponse(UriInfo uri, ChangeResult result, String path, String operationId) {
    if (!isAwaited(uri)) {
      return new ChangeResponse(path, result.revision(), operationId, null, null);
    }
    Optional<List<String>> laggards = Optional.empty();
    Optional<LeaderTerm> term = leadership.current();
    try {
      if (term.isPresent()) {
        laggards =
            Optional.of(membership.awaitInForce(term.get(), result.revision(), timeout(uri)));
      }
    } catch (LeadershipLost e) {
      LOG.debug("cannot tell whether revision {} is in force", result.revision(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return new ChangeResponse(
        path,
        result.revision(),
        operationId,
        laggards.map(List::isEmpty).orElse(false),
        laggards.orElse(List.of()));
  }

  /** Returns the body as a JSON object; fails with 400 when it is not one. */
  static JsonNode parseBody(String text) {
    try {
      JsonNode node = Codec.MAPPER.readTree(text == null ? "" : text);
      if (node != null && node.isObject()) {
        return node;
      }
    } catch (JsonProcessingException e) {
      throw ApiException.of(
          400,
          "badRequest",
          "given malformed JSON at line "
              + e.getLocation().getLineNr()
              + ", expected a JSON object");
    }
    throw ApiException.of(
        400, "badRequest", "given no JSON object, expected one as the request body");
  }

  /**
   * Returns {@code text} as a whole number, or {@code absent} when it is blank; fails with 400 when
   * it is not a number.
   */
  static long parseNumber(String name, String text, long absent) {
    if (text == null || text.isBlank()) {
      return absent;
    }
    try {
      return Long.parseLong(text.strip().replace("\"", ""));
    } catch (NumberFormatException e) {
      throw ApiException.of(
          400, "badRequest", name + ": given " + text + ", expected a whole number");
    }
  }

  private static boolean isAwaited(UriInfo uri) {
    return Boolean.parseBoolean(uri.getQueryParameters().getFirst("wait"));
  }

  private static Duration timeout(UriInfo uri) {
    String given = uri.getQueryParameters().getFirst("timeoutMillis");
    long millis = parseNumber("timeoutMillis", given, DEFAULT_WAIT_MILLIS);
    return Duration.ofMillis(Math.max(0, Math.min(MAX_WAIT_MILLIS, millis)));
  }

  private Optional<String> leaderHttpAddress() {
    return leadership
        .leaderAddresses()
        .map(ControlState.ReplicaAddresses::httpAddress)
        .or(() -> log.leader().map(leader -> leader.getAdminAddress()));
  }

  private static URI redirect(UriInfo uri, String address) {
    String path = uri.getRequestUri().getRawPath();
    String query = uri.getRequestUri().getRawQuery();
    String scheme = uri.getRequestUri().getScheme();
    return URI.create(scheme + "://" + address + path + (query == null ? "" : "?" + query));
  }
}
