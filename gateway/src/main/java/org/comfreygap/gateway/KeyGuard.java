package org.comfreygap.gateway;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Refuses requests that would leak the caller's key to an endpoint.
 *
 * <p>Thread safety: stateless.
 */
final class KeyGuard {

  private KeyGuard() {}

  /**
   * Searches the data to be sent for the key; the path and query are also searched in decoded form.
   *
   * @throws RequestRefused when the key is found
   */
  static void check(String key, String path, Map<String, String> headers, byte[] body)
      throws RequestRefused {
    boolean found =
        path.contains(key)
            || decoded(path).contains(key)
            || headers.values().stream().anyMatch(value -> value.contains(key))
            || contains(body, key.getBytes(StandardCharsets.UTF_8));
    if (found) {
      throw RequestRefused.notRun(
          CallerError.KEY_IN_REQUEST,
          "the request contains the key outside of the Authorization header, expected it there "
              + "only");
    }
  }

  private static String decoded(String path) {
    try {
      return URLDecoder.decode(path, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return "";
    }
  }

  private static boolean contains(byte[] content, byte[] key) {
    byte first = key[0];
    for (int i = 0; i <= content.length - key.length; i++) {
      if (content[i] == first && matches(content, i, key)) {
        return true;
      }
    }
    return false;
  }

  private static boolean matches(byte[] content, int offset, byte[] key) {
    for (int i = 1; i < key.length; i++) {
      if (content[offset + i] != key[i]) {
        return false;
      }
    }
    return true;
  }
}
