package org.comfreygap.runtime;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLContext;

/**
 * Authentication of peers: the shared key, and TLS when certificates are configured.
 *
 * <p>Thread safety: immutable; the TLS context reloads its key material.
 *
 * @param sharedKey key for the handshake on each connection
 * @param tls context for both sides of TLS, or empty for plain TCP
 * @since 0.1
 */
public record PeerSecurity(SharedKey sharedKey, Optional<SSLContext> tls) {

  /** Returns peer security with the shared key only, without TLS. */
  public static PeerSecurity of(SharedKey sharedKey) {
    return new PeerSecurity(sharedKey, Optional.empty());
  }

  /**
   * Reads the {@code security} section of a settings file.
   *
   * @throws IOException when a file named there cannot be read or is invalid
   */
  public static PeerSecurity from(ProcessSettings settings) throws IOException {
    SharedKey key = SharedKey.read(Path.of(settings.text("security.sharedKeyFile")));
    Optional<String> keyStore = settings.optionalText("security.keyStore");
    if (keyStore.isEmpty()) {
      return of(key);
    }
    ReloadingTls tls =
        ReloadingTls.open(
            Path.of(keyStore.get()),
            Path.of(settings.text("security.trustStore")),
            Path.of(settings.text("security.storePasswordFile")));
    return new PeerSecurity(key, Optional.of(tls.context()));
  }
}
