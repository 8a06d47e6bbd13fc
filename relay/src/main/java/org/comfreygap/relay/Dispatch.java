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
 * The metadata that the gateway adds to a request for an endpoint.
 *
 * <p>Thread safety: immutable.
 *
 * @param instanceId id of the target endpoint; any other one refuses
 * @param customer short name of the customer whose key the request carried
 * @param millisLeft time left until the caller's deadline
 * @param rank priority rank, 0 being the most urgent
 * @param adapterVersion version of the adapter that must serve, if one was announced
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
   * Returns the request to send to the endpoint; the caller of this method releases it.
   *
   * @param lastEventId id of the last event that the caller received, when a response is resumed
   */
  FullHttpRequest toRequest(
      RequestDialect dialect, HttpRequest head, ByteBuf body, Optional<String> lastEventId) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, head.method(), head.uri(), body.retainedDuplicate());
    try {
      dialect.writeHeaders(head.headers(), this, request.headers());
    } catch (RuntimeException e) {
      request.release();
      throw e;
    }
    if (body.isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      HttpUtil.setContentLength(request, body.readableBytes());
    }
    lastEventId.ifPresent(last -> request.headers().set(LAST_EVENT_ID, last));
    return request;
  }
}
