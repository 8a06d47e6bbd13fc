package org.comfreygap.relay;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with an ambiguous body length.
 *
 * <p>A request with both a length and chunks could smuggle another request past a reader that
 * trusts the other of the two. Thread safety: one for each channel.
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
}
