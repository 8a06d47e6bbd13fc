package org.comfreygap.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.comfreygap.decisions.StatedLimit;

/**
 * Plain headers for tests of the request path: the id, the key and the caller's timeout, and a
 * response that counts as one of a run unless its status is 421.
 *
 * <p>Thread safety: stateless.
 */
final class HeaderDialect implements RequestDialect {

  static final String REQUEST = "Request";
  static final String KEY = "Key";
  static final String CUSTOMER = "Customer";
  static final String PATIENCE_MILLIS = "Patience-Millis";
  static final String PARTS = "Parts";
  static final String LAST_EVENT_ID = "Last-Event-Id";
  static final String BEGUN_BY = "Begun-By";
  static final String ENDPOINT = "Endpoint";
  static final String LIMIT = "Limit";

  /** Time for which reading the request blocks the event loop. */
  static final String STUCK_MILLIS = "Stuck-Millis";

  private static final int MISDIRECTED = 421;

  @Override
  public CallerRequest readRequest(HttpRequest head) throws MalformedRequestException {
    String timeout = head.headers().get(PATIENCE_MILLIS);
    block(head.headers().getInt(STUCK_MILLIS, 0));
    return new CallerRequest(
        head.headers().get(REQUEST),
        Optional.ofNullable(head.headers().get(KEY)),
        Optional.empty(),
        Optional.empty(),
        OptionalLong.empty(),
        OptionalLong.empty(),
        List.of(head.headers().get(PARTS, "").split(",")).stream()
            .filter(p -> !p.isEmpty())
            .toList(),
        Optional.ofNullable(head.headers().get(LAST_EVENT_ID))
            .map(
                last ->
                    new CallerRequest.TakeUp(
                        last, Optional.ofNullable(head.headers().get(BEGUN_BY)))),
        timeout == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(timeout)));
  }

  @Override
  public void writeHeaders(HttpHeaders fromCaller, Dispatch dispatch, HttpHeaders toEndpoint) {
    toEndpoint.set(HttpHeaderNames.HOST, fromCaller.get(HttpHeaderNames.HOST));
    toEndpoint.set(REQUEST, fromCaller.get(REQUEST));
    fromCaller.getAll(LAST_EVENT_ID).forEach(last -> toEndpoint.set(LAST_EVENT_ID, last));
    fromCaller.getAll(PARTS).forEach(parts -> toEndpoint.set(PARTS, parts));
    dispatch.customer().ifPresent(name -> toEndpoint.set(CUSTOMER, name));
    toEndpoint.set(ENDPOINT, dispatch.instanceId());
  }

  @Override
  public Set<String> singleResponseFields() {
    return Set.of(REQUEST.toLowerCase(Locale.ROOT));
  }

  @Override
  public ResponseHead readResponse(HttpResponse head) {
    return new ResponseHead(
        Optional.ofNullable(head.headers().get(REQUEST)),
        head.status().code() == MISDIRECTED
            ? ResponseHead.Verdict.MISDIRECTED
            : ResponseHead.Verdict.RAN,
        true,
        Optional.ofNullable(head.headers().get(ENDPOINT)),
        Optional.empty(),
        StatedLimit.parse(head.headers().getAll(LIMIT)),
        OptionalLong.empty());
  }

  private static void block(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
