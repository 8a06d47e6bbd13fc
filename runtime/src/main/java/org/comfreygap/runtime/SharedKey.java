package org.comfreygap.runtime;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret key with which the processes of one deployment authenticate each other.
 *
 * <p>Invariant: the key has at least 16 bytes and never appears in {@link #toString}. Thread
 * safety: immutable.
 *
 * @since 0.1
 */
public final class SharedKey {

  /** Header that carries the signature of an HTTP message between processes. */
  public static final String SIGNATURE_HEADER = "Comfreygap-Signature";

  /** Length of a signature in bytes. */
  public static final int SIGNATURE_BYTES = 32;

  private static final int MIN_BYTES = 16;
  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;

  private SharedKey(byte[] key) {
    this.key = new SecretKeySpec(key, ALGORITHM);
  }

  /**
   * Returns the key made of {@code bytes}.
   *
   * @throws IllegalArgumentException when it is shorter than 16 bytes
   */
  public static SharedKey of(byte[] bytes) {
    if (bytes.length < MIN_BYTES) {
      throw new IllegalArgumentException(
          "given a shared key of " + bytes.length + " bytes, expected at least " + MIN_BYTES);
    }
    return new SharedKey(bytes.clone());
  }

  /**
   * Reads the key from {@code file}; leading and trailing whitespace is ignored.
   *
   * @throws IOException when the file cannot be read
   */
  public static SharedKey read(Path file) throws IOException {
    return of(Files.readString(file).strip().getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the signature of the parts, each prefixed with its length. */
  public byte[] sign(byte[]... parts) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      for (byte[] part : parts) {
        mac.update(Integer.toString(part.length).getBytes(StandardCharsets.US_ASCII));
        mac.update((byte) ':');
        mac.update(part);
      }
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(ALGORITHM + " is not supported by this Java runtime", e);
    }
  }

  /** Returns true when {@code signature} is a valid signature of the parts. */
  public boolean verify(byte[] signature, byte[]... parts) {
    return MessageDigest.isEqual(signature, sign(parts));
  }

  /** Returns the hexadecimal signature of an HTTP message, for {@link #SIGNATURE_HEADER}. */
  public String signHttp(String path, byte[] body) {
    return HexFormat.of().formatHex(sign(path.getBytes(StandardCharsets.UTF_8), body));
  }

  /** Returns true when {@code signature} (may be null) is valid for the HTTP message. */
  public boolean verifyHttp(String signature, String path, byte[] body) {
    if (signature == null || signature.length() != 2 * SIGNATURE_BYTES) {
      return false;
    }
    String expected = signHttp(path, body);
    return MessageDigest.isEqual(
        expected.getBytes(StandardCharsets.US_ASCII),
        signature.getBytes(StandardCharsets.US_ASCII));
  }

  @Override
  public String toString() {
    return "SharedKey";
  }
}
