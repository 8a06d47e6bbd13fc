package org.comfreygap.gateway;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 hashes of keys and requests.
 *
 * <p>Thread safety: stateless.
 */
final class Hashes {

  private static final byte SEPARATOR = 0;

  private Hashes() {}

  /** Returns the lower-case hexadecimal SHA-256 of {@code text}. */
  static String sha256(String text) {
    return hex(digest(text.getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Returns the fingerprint of a request: SHA-256 over the texts, each terminated by a zero byte,
   * and the body.
   */
  static String fingerprint(byte[] body, String... texts) {
    MessageDigest digest = newDigest();
    for (String text : texts) {
      digest.update(text.getBytes(StandardCharsets.UTF_8));
      digest.update(SEPARATOR);
    }
    return hex(digest.digest(body));
  }

  private static byte[] digest(byte[] bytes) {
    return newDigest().digest(bytes);
  }

  private static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
    }
  }
}
