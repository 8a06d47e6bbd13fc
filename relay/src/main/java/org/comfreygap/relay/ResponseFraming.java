package org.comfreygap.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.comfreygap.decisions.ResponseEnd.Framing;

/**
 * Reads from the head of a response what marks its end (RFC 9112, section 6.3).
 *
 * <p>Thread safety: stateless.
 */
final class ResponseFraming {

  private ResponseFraming() {}

  static Framing of(HttpResponse response) {
    if (HttpUtil.isTransferEncodingChunked(response)) {
      return Framing.CHUNKS;
    }
    return HttpUtil.isContentLengthSet(response) ? Framing.LENGTH : Framing.CONNECTION;
  }

  /** Returns true when the response has a transfer coding that hides where it ends. */
  static boolean isUnknown(HttpResponse response) {
    return response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        && !HttpUtil.isTransferEncodingChunked(response);
  }

  /** Returns true when nothing can follow the response on its connection. */
  static boolean endsWithConnection(HttpResponse response) {
    boolean hasNoBody =
        response.status().equals(HttpResponseStatus.NO_CONTENT)
            || response.status().equals(HttpResponseStatus.NOT_MODIFIED);
    return of(response) == Framing.CONNECTION && !hasNoBody;
  }
}
