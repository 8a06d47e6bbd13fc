package org.comfreygap.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hash under which keys are stored and compared.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.2
 */
public final class KeyHash {

  private KeyHash() {}

  /** Returns the SHA-256 of {@code key} in lower-case hexadecimal digits. */
  public static String of(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not supported by this Java runtime", e);
    }
  }
}
