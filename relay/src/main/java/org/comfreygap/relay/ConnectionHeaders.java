package org.comfreygap.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * The hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.2
 */
public final class ConnectionHeaders {

  private static final List<CharSequence> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          "Keep-Alive",
          HttpHeaderNames.PROXY_CONNECTION,
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT,
          HttpHeaderNames.CONTENT_LENGTH);

  private ConnectionHeaders() {}

  /** Removes these headers, those that the Connection header names, and Content-Length. */
  public static void remove(HttpHeaders headers) {
    for (String list : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : list.split(",")) {
        if (!name.isBlank()) {
          headers.remove(name.strip());
        }
      }
    }
    NAMES.forEach(headers::remove);
  }
}
