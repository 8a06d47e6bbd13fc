package org.comfreygap.gateway;

import jakarta.servlet.http.HttpServletRequest;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.protocol.generated.Route;
import org.comfreygap.protocol.generated.StoredAnswer;
import org.comfreygap.settings.Documents.AdapterVersion;
import org.comfreygap.settings.Documents.Key;
import org.comfreygap.settings.Priority;
import org.comfreygap.settings.SettingsView;

/**
 * State of one request while it passes through the filter chain.
 *
 * <p>Invariant: the caller's plaintext key is held only until authorization is complete. Thread
 * safety: not thread-safe; one thread at a time.
 *
 * @since 0.1
 */
public final class RequestContext {

  private final String requestId;
  private final Route route;
  private final HttpServletRequest servletRequest;
  private final CallerResponse response;
  private final SettingsView settings;
  private final long arrivedAtNanos;
  private final long deadlineNanos;
  private Optional<String> presentedKey = Optional.empty();
  private Optional<Key> key = Optional.empty();
  private Optional<ResolvedRequest> resolvedRequest = Optional.empty();
  private Outcome outcome = Outcome.NOT_RUN;
  private long tokensUsed;
  private Optional<ReservedCredit> credit = Optional.empty();
  private Optional<Consumer<StoredAnswer>> beforeResponseCallback = Optional.empty();

  RequestContext(
      String requestId,
      Route route,
      HttpServletRequest http,
      CallerResponse response,
      SettingsView settings,
      long arrivedAtNanos,
      long deadlineNanos) {
    this.requestId = requestId;
    this.route = route;
    this.servletRequest = http;
    this.response = response;
    this.settings = settings;
    this.arrivedAtNanos = arrivedAtNanos;
    this.deadlineNanos = deadlineNanos;
  }

  /**
   * A request as resolved at admission: its target, adapter version and the data sent to the
   * endpoint.
   *
   * @param target base model, or {@code team/service}
   * @param adapter adapter version of a completion
   * @param method HTTP method of a service call, empty for a completion
   * @param path path and query below the service, empty for a completion
   * @param headers headers for the endpoint, all on the allow-list
   * @param idempotent true when the request may safely run more than once
   * @param deterministic true when a second run is expected to return the same bytes
   * @param stream true when the caller asked for server-sent events
   * @param reservedTokens tokens of the prompt plus the maximum output
   * @param prefixHash hash of the first characters of the prompt, 0 for none
   * @param fingerprint hash over customer, adapter, version and body
   */
  public record ResolvedRequest(
      String target,
      Optional<AdapterVersion> adapter,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      Priority priority,
      boolean idempotent,
      boolean deterministic,
      boolean stream,
      long reservedTokens,
      long prefixHash,
      String fingerprint) {}

  /** Returns the id that identifies the request in responses, events and attempts. */
  public String requestId() {
    return requestId;
  }

  /** Returns the route of the request. */
  public Route route() {
    return route;
  }

  /** Returns the request as received. */
  public HttpServletRequest servletRequest() {
    return servletRequest;
  }

  /** Returns the response to the caller. */
  public CallerResponse response() {
    return response;
  }

  /** Returns the settings under which the request was admitted. */
  public SettingsView settings() {
    return settings;
  }

  /** Returns the {@link System#nanoTime} at arrival. */
  public long arrivedAtNanos() {
    return arrivedAtNanos;
  }

  /** Returns the {@link System#nanoTime} by which the request must have ended. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns the plaintext key that the caller presented, until it is cleared. */
  public Optional<String> presentedKey() {
    return presentedKey;
  }

  /** Records the presented key and its settings document. */
  public void recordAuthentication(String presented, Key found) {
    presentedKey = Optional.of(presented);
    key = Optional.of(found);
  }

  /** Clears the presented key. */
  public void clearPresentedKey() {
    presentedKey = Optional.empty();
  }

  /** Returns the settings document of the caller's key; empty on an open route. */
  public Optional<Key> key() {
    return key;
  }

  /** Returns the customer id, or an empty string on an open route. */
  public String customer() {
    return key.map(Key::customer).orElse("");
  }

  /** Sets the resolved request. */
  public void resolvedRequest(ResolvedRequest resolved) {
    resolvedRequest = Optional.of(resolved);
  }

  /** Returns the resolved request; present after resolution. */
  public ResolvedRequest resolvedRequest() {
    return resolvedRequest.orElseThrow();
  }

  /** Returns true once the request is resolved. */
  public boolean isResolved() {
    return resolvedRequest.isPresent();
  }

  /** Returns whether the request ran, as far as known. */
  public Outcome outcome() {
    return outcome;
  }

  /** Sets whether the request ran. */
  public void outcome(Outcome known) {
    outcome = known;
  }

  /** Returns the tokens used, as reported by the endpoint or assumed. */
  public long tokensUsed() {
    return tokensUsed;
  }

  /** Sets the tokens used from the current reservation. */
  public void tokensUsed(long tokens) {
    tokensUsed = tokens;
  }

  /** Returns the credit reserved for the request; empty when the customer has no limits. */
  public Optional<ReservedCredit> credit() {
    return credit;
  }

  /** Sets the credit reserved for the request. */
  public void credit(ReservedCredit reserved) {
    credit = Optional.of(reserved);
  }

  /**
   * Sets the callback that receives the complete response before it is sent to the caller; its
   * argument is null for a response that was streamed.
   */
  public void beforeResponseCallback(Consumer<StoredAnswer> listener) {
    beforeResponseCallback = Optional.of(listener);
  }

  /** Returns the callback that receives the complete response before it is sent to the caller. */
  public Optional<Consumer<StoredAnswer>> beforeResponseCallback() {
    return beforeResponseCallback;
  }
}
