package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the gateway tells an endpoint about a request besides what the caller sent.
 *
 * <p>Thread safety: immutable.
 *
 * @param instanceId the endpoint that is meant; any other one refuses
 * @param customer short name of the customer whose key came with the request
 * @param millisLeft time left until the caller gives up
 * @param rank urgency, 0 first
 * @param adapterVersion version of the adapter that must serve, when one was announced
 * @since 0.2
 */
public record Dispatch(
    String instanceId,
    Optional<String> customer,
    long millisLeft,
    int rank,
    OptionalLong adapterVersion) {

  private static final String LAST_EVENT_ID = "Last-Event-Id";

  /**
   * Returns the caller's request as it goes to the endpoint; the caller of this method owns it.
   *
   * @param lastEventId last event that the caller got, when an answer is resumed
   */
  FullHttpRequest toHttpRequest(
      RequestDialect dialect, HttpRequest head, ByteBuf body, Optional<String> lastEventId) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, head.method(), head.uri(), body.retainedDuplicate());
    dialect.writeHeaders(head.headers(), this, request.headers());
    if (body.isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      HttpUtil.setContentLength(request, body.readableBytes());
    }
    lastEventId.ifPresent(last -> request.headers().set(LAST_EVENT_ID, last));
    return request;
  }
}
