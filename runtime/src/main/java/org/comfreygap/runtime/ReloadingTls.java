package org.comfreygap.runtime;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedKeyManager;
import javax.net.ssl.X509ExtendedTrustManager;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * TLS keys and trusted certificates from PKCS#12 files, reloaded when a file changes, so that
 * certificates can be replaced without a restart.
 *
 * <p>Invariant: when a replacement cannot be read, the last valid key material stays in use. Thread
 * safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
public final class ReloadingTls {

  private static final Logger LOG = LoggerFactory.getLogger(ReloadingTls.class);

  private final Path keyStore;
  private final Path trustStore;
  private final Path passwordFile;
  private volatile KeyMaterial material;

  private ReloadingTls(Path keyStore, Path trustStore, Path passwordFile) throws IOException {
    this.keyStore = keyStore;
    this.trustStore = trustStore;
    this.passwordFile = passwordFile;
    this.material = read();
  }

  /**
   * Reads the files.
   *
   * @throws IOException when a file cannot be read or is invalid
   */
  public static ReloadingTls open(Path keyStore, Path trustStore, Path passwordFile)
      throws IOException {
    return new ReloadingTls(keyStore, trustStore, passwordFile);
  }

  /** Returns a context whose new connections use the latest key material. */
  public SSLContext context() {
    try {
      SSLContext context = SSLContext.getInstance("TLSv1.3");
      context.init(
          new KeyManager[] {new ReloadingKeyManager()},
          new TrustManager[] {new ReloadingTrustManager()},
          null);
      return context;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("TLS 1.3 is not supported by this Java runtime", e);
    }
  }

  private KeyMaterial current() {
    KeyMaterial loaded = material;
    try {
      if (!loaded.modificationTimes.equals(modificationTimes())) {
        material = read();
        LOG.info("reloaded TLS keys from {}", keyStore);
      }
    } catch (IOException e) {
      LOG.warn("failed to reload TLS keys from {}; the previous ones stay in use", keyStore, e);
    }
    return material;
  }

  private ModificationTimes modificationTimes() throws IOException {
    return new ModificationTimes(
        Files.getLastModifiedTime(keyStore), Files.getLastModifiedTime(trustStore));
  }

  private KeyMaterial read() throws IOException {
    ModificationTimes stamp = modificationTimes();
    char[] password = Files.readString(passwordFile).strip().toCharArray();
    try {
      KeyManagerFactory keys =
          KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
      keys.init(load(keyStore, password), password);
      TrustManagerFactory trust =
          TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
      trust.init(load(trustStore, password));
      return new KeyMaterial(
          stamp,
          (X509ExtendedKeyManager) keys.getKeyManagers()[0],
          (X509ExtendedTrustManager) trust.getTrustManagers()[0]);
    } catch (GeneralSecurityException e) {
      throw new IOException("invalid TLS keys in " + keyStore, e);
    }
  }

  private static KeyStore load(Path file, char[] password)
      throws IOException, GeneralSecurityException {
    KeyStore store = KeyStore.getInstance("PKCS12");
    try (InputStream in = Files.newInputStream(file)) {
      store.load(in, password);
    }
    return store;
  }

  private record ModificationTimes(FileTime keyStore, FileTime trustStore) {}

  private record KeyMaterial(
      ModificationTimes modificationTimes,
      X509ExtendedKeyManager keys,
      X509ExtendedTrustManager trust) {}

  private final class ReloadingKeyManager extends X509ExtendedKeyManager {

    @Override
    public String[] getClientAliases(String keyType, Principal[] issuers) {
      return current().keys.getClientAliases(keyType, issuers);
    }

    @Override
    public String chooseClientAlias(String[] keyType, Principal[] issuers, Socket socket) {
      return current().keys.chooseClientAlias(keyType, issuers, socket);
    }

    @Override
    public String chooseEngineClientAlias(String[] keyType, Principal[] issuers, SSLEngine engine) {
      return current().keys.chooseEngineClientAlias(keyType, issuers, engine);
    }

    @Override
    public String[] getServerAliases(String keyType, Principal[] issuers) {
      return current().keys.getServerAliases(keyType, issuers);
    }

    @Override
    public String chooseServerAlias(String keyType, Principal[] issuers, Socket socket) {
      return current().keys.chooseServerAlias(keyType, issuers, socket);
    }

    @Override
    public String chooseEngineServerAlias(String keyType, Principal[] issuers, SSLEngine engine) {
      return current().keys.chooseEngineServerAlias(keyType, issuers, engine);
    }

    @Override
    public X509Certificate[] getCertificateChain(String alias) {
      return current().keys.getCertificateChain(alias);
    }

    @Override
    public PrivateKey getPrivateKey(String alias) {
      return current().keys.getPrivateKey(alias);
    }
  }

  private final class ReloadingTrustManager extends X509ExtendedTrustManager {

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String authType)
        throws CertificateException {
      current().trust.checkClientTrusted(chain, authType);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String authType, Socket socket)
        throws CertificateException {
      current().trust.checkClientTrusted(chain, authType, socket);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
        throws CertificateException {
      current().trust.checkClientTrusted(chain, authType, engine);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String authType)
        throws CertificateException {
      current().trust.checkServerTrusted(chain, authType);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String authType, Socket socket)
        throws CertificateException {
      current().trust.checkServerTrusted(chain, authType, socket);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
        throws CertificateException {
      current().trust.checkServerTrusted(chain, authType, engine);
    }

    @Override
    public X509Certificate[] getAcceptedIssuers() {
      return current().trust.getAcceptedIssuers();
    }
  }
}
