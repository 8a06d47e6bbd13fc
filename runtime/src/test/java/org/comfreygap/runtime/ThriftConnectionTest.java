package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TException;
import org.comfreygap.protocol.generated.ControlService;
import org.comfreygap.protocol.generated.NotLeader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks the connections between processes: authentication, leader changes and reconnection. */
class ThriftConnectionTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final PeerSecurity SECURITY = security("0123456789abcdef-shared");

  private final Closer closer = new Closer();
  private final AtomicInteger calls = new AtomicInteger();

  @AfterEach
  void close() {
    closer.close();
  }

  @Test
  void refusesAPeerWithAnotherKeyBeforeAnyCallReachesTheHandler() throws Exception {
    ThriftServer server = server(() -> {});

    assertThatThrownBy(
            () -> ThriftConnection.open(server.address(), security("another-key-000000"), TIMEOUT))
        .isInstanceOf(IOException.class);
    assertThat(calls).hasValue(0);
  }

  @Test
  void refusesServerThatDoesNotHoldTheKey() throws Exception {
    try (ServerSocket impostor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread echo = new Thread(() -> echoOnce(impostor));
      echo.setDaemon(true);
      echo.start();

      // The impostor reflects every byte; a proof that ignored the role would pass.
      assertThatThrownBy(
              () ->
                  ThriftConnection.open(
                      (InetSocketAddress) impostor.getLocalSocketAddress(), SECURITY, TIMEOUT))
          .isInstanceOf(IOException.class);
    }
  }

  @Test
  void followsTheLeaderNamedByAFollower() throws Exception {
    ThriftServer leader = server(() -> {});
    ThriftServer follower =
        server(
            () -> {
              throw new NotLeader().setLeaderAddress(Addresses.text(leader.address()));
            });
    ControlClient client =
        closer.register(new ControlClient(List.of(follower.address()), SECURITY));

    client.callLeader(TIMEOUT, this::release);

    assertThat(client.leader()).contains(leader.address());
  }

  @Test
  void opensANewConnectionAfterTheServerRestarted() throws Exception {
    ThriftServer first = server(() -> {});
    InetSocketAddress address = first.address();
    ControlClient client = closer.register(new ControlClient(List.of(address), SECURITY));
    client.callLeader(TIMEOUT, this::release);
    first.close();
    closer.register(ThriftServer.start("second", address, SECURITY, processor(() -> {})));

    client.callLeader(TIMEOUT, this::release);

    assertThat(calls).hasValue(2);
  }

  @Test
  void failsAtTimeLimitWithoutLeader() {
    ControlClient client =
        closer.register(
            new ControlClient(List.of(new InetSocketAddress("127.0.0.1", 1)), SECURITY));

    assertThatThrownBy(() -> client.callLeader(Duration.ofMillis(200), this::release))
        .isInstanceOf(ControlUnavailableException.class)
        .hasMessageContaining("no control leader answered");
  }

  private Void release(ControlService.Client client) throws TException {
    client.releaseLoadPermit("p");
    return null;
  }

  private ThriftServer server(Behaviour behaviour) throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return closer.register(ThriftServer.start("test", any, SECURITY, processor(behaviour)));
  }

  private ControlService.Processor<ControlService.Iface> processor(Behaviour behaviour) {
    ControlService.Iface handler =
        (ControlService.Iface)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {ControlService.Iface.class},
                (proxy, method, args) -> {
                  calls.incrementAndGet();
                  behaviour.run();
                  return null;
                });
    return new ControlService.Processor<>(handler);
  }

  private static PeerSecurity security(String key) {
    return PeerSecurity.of(SharedKey.of(key.getBytes(StandardCharsets.UTF_8)));
  }

  private static void echoOnce(ServerSocket impostor) {
    try (Socket socket = impostor.accept()) {
      socket.getInputStream().transferTo(socket.getOutputStream());
    } catch (IOException ignored) {
      // The client closes the connection when it detects the impostor.
    }
  }

  private interface Behaviour {

    void run() throws TException;
  }
}
