package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests with the bytes of their target as a caller sent them.
 *
 * <p>The decoder reads each byte as one character, while the plain encoder writes characters beyond
 * ASCII as two bytes. Thread safety: one for each channel.
 */
final class ExactRequestEncoder extends HttpRequestEncoder {

  @Override
  protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) throws Exception {
    String target = request.uri();
    if (target.chars().allMatch(c -> c < 0x80)) {
      super.encodeInitialLine(buffer, request);
      return;
    }
    ByteBufUtil.copy(request.method().asciiName(), buffer);
    buffer.writeByte(' ');
    buffer.writeCharSequence(target, StandardCharsets.ISO_8859_1);
    buffer.writeByte(' ');
    buffer.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
    buffer.writeBytes(new byte[] {'\r', '\n'});
  }
}
