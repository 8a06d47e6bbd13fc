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
 * What is known of one request while it passes the filters.
 *
 * <p>Invariant: the caller's key itself is held only until authorization is complete. Thread
 * safety: one thread at a time.
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
   * What is to be run, resolved once at admission.
   *
   * @param target base model, or {@code team/service}
   * @param adapter adapter version of a completion
   * @param method HTTP method of a service call, empty for a completion
   * @param path path and query below the service, empty for a completion
   * @param headers headers for the endpoint, all on the allow-list
   * @param idempotent true when running it twice does no harm
   * @param deterministic true when a second run gives the same bytes
   * @param stream true when the caller asked for server-sent events
   * @param reservedTokens prompt plus maximum output
   * @param prefix hash of the beginning of the prompt, 0 for none
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

  /** Returns the id under which the request appears in answers, events and attempts. */
  public String requestId() {
    return requestId;
  }

  /** Returns how the request reaches an endpoint. */
  public Route route() {
    return route;
  }

  /** Returns the request as received. */
  public HttpServletRequest servletRequest() {
    return servletRequest;
  }

  /** Returns the answer to the caller. */
  public CallerResponse response() {
    return response;
  }

  /** Returns the settings under which the request was admitted. */
  public SettingsView settings() {
    return settings;
  }

  /** Returns the monotonic time of arrival. */
  public long arrivedAtNanos() {
    return arrivedAtNanos;
  }

  /** Returns the monotonic time at which the request must have ended. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns the key that the caller presented, until it is dropped. */
  public Optional<String> presentedKey() {
    return presentedKey;
  }

  /** Records the presented key and the settings document found for it. */
  public void recordAuthentication(String presented, Key found) {
    presentedKey = Optional.of(presented);
    key = Optional.of(found);
  }

  /** Forgets the presented key. */
  public void clearPresentedKey() {
    presentedKey = Optional.empty();
  }

  /** Returns the document of the caller's key; empty on an open route. */
  public Optional<Key> key() {
    return key;
  }

  /** Returns the customer id, or an empty string on an open route. */
  public String customer() {
    return key.map(Key::customer).orElse("");
  }

  /** Sets what is to be run. */
  public void resolvedRequest(ResolvedRequest resolved) {
    resolvedRequest = Optional.of(resolved);
  }

  /** Returns what is to be run; present after resolution. */
  public ResolvedRequest resolvedRequest() {
    return resolvedRequest.orElseThrow();
  }

  /** Returns true once it is known what is to be run. */
  public boolean isResolved() {
    return resolvedRequest.isPresent();
  }

  /** Returns whether the request ran, as far as known now. */
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

  /** Sets the tokens used by the present reservation. */
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

  /** Sets what is called with a complete answer before the caller gets it. */
  public void beforeResponseCallback(Consumer<StoredAnswer> listener) {
    beforeResponseCallback = Optional.of(listener);
  }

  /** Returns what is called with a complete answer before the caller gets it. */
  public Optional<Consumer<StoredAnswer>> beforeResponseCallback() {
    return beforeResponseCallback;
  }
}
