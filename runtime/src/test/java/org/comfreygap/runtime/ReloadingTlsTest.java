package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TMultiplexedProcessor;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that TLS between processes requires certificates and reloads them without a restart. */
class ReloadingTlsTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final SharedKey KEY =
      SharedKey.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8));

  @TempDir Path folder;

  @Test
  void requiresTrustedCertificateAndReloadsItFromDisk() throws Exception {
    Path password = Files.writeString(folder.resolve("password"), "changeit\n");
    Path first = keyStore("first");
    Path second = keyStore("second");
    Path serverKeys = copy(first, "server.p12");
    Path serverTrust = copy(first, "server-trust.p12");
    PeerSecurity server = security(serverKeys, serverTrust, password);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (ThriftServer running =
        ThriftServer.start("tls", any, server, new TMultiplexedProcessor())) {
      connect(running, security(first, first, password));
      PeerSecurity other = security(second, second, password);
      assertThatThrownBy(() -> connect(running, other)).isInstanceOf(IOException.class);
      assertThatThrownBy(() -> connect(running, PeerSecurity.of(KEY)))
          .isInstanceOf(IOException.class);

      copy(second, "server.p12");
      copy(second, "server-trust.p12");
      Files.setLastModifiedTime(serverKeys, FileTime.fromMillis(1_000));

      connect(running, other);
    }
  }

  @Test
  void keepsLastValidKeysWhenReplacementIsInvalid() throws Exception {
    Path password = Files.writeString(folder.resolve("password"), "changeit");
    Path keys = keyStore("good");
    PeerSecurity server = security(copy(keys, "server.p12"), keys, password);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (ThriftServer running =
        ThriftServer.start("tls", any, server, new TMultiplexedProcessor())) {
      Files.writeString(folder.resolve("server.p12"), "not a key store");

      connect(running, security(keys, keys, password));
    }
  }

  private static void connect(ThriftServer server, PeerSecurity security) throws IOException {
    try (ThriftConnection connection = ThriftConnection.open(server.address(), security, TIMEOUT)) {
      assertThat(connection.protocol()).isNotNull();
    }
  }

  private static PeerSecurity security(Path keys, Path trust, Path password) throws IOException {
    return new PeerSecurity(KEY, Optional.of(ReloadingTls.open(keys, trust, password).context()));
  }

  private Path copy(Path from, String name) throws IOException {
    return Files.copy(from, folder.resolve(name), StandardCopyOption.REPLACE_EXISTING);
  }

  /** Returns a store with a self-signed key and its certificate as a trusted entry. */
  private Path keyStore(String name) throws Exception {
    Path store = folder.resolve(name + ".p12");
    Path certificate = folder.resolve(name + ".cer");
    keytool(store, "-genkeypair", "-alias", "own", "-keyalg", "EC", "-dname", "CN=" + name);
    keytool(store, "-exportcert", "-alias", "own", "-file", certificate.toString());
    keytool(store, "-importcert", "-noprompt", "-alias", "ca", "-file", certificate.toString());
    return store;
  }

  private static void keytool(Path store, String... arguments) throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "keytool").toString());
    command.addAll(List.of(arguments));
    command.addAll(List.of("-keystore", store.toString(), "-storepass", "changeit"));
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(process.waitFor()).as(output).isZero();
  }
}
