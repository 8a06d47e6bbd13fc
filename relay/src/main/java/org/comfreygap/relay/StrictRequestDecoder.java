package org.comfreygap.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Decodes requests and rejects those with an ambiguous body length.
 *
 * <p>A request with both a length and chunks could smuggle another request past a reader that
 * trusts the other of the two. One with a transfer coding other than chunked does not state where
 * its body ends, and the plain decoder takes it for one without a body. Thread safety: one for each
 * channel.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  StrictRequestDecoder(int maxHeaderBytes, int maxChunkBytes) {
    super(maxHeaderBytes, maxHeaderBytes, maxChunkBytes);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "given Content-Length and a chunked body, expected one of them");
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean chunked =
        codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
    if (!codings.isEmpty() && !chunked) {
      throw new IllegalArgumentException(
          "given Transfer-Encoding " + String.join(", ", codings) + ", expected chunked");
    }
    return super.isContentAlwaysEmpty(message);
  }
}
