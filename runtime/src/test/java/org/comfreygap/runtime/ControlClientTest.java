package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.ControlService;
import org.junit.jupiter.api.Test;

/** Guards against calls to control instances that are gone, and against a client without any. */
class ControlClientTest {

  private static final PeerSecurity SECURITY =
      PeerSecurity.of(SharedKey.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8)));
  private static final Duration TIMEOUT = Duration.ofMillis(200);

  @Test
  void seedsAreAskedOnlyBeforeControlNamesItsInstancesAndWhenNoneOfThoseAnswers() {
    // Nobody listens at these ports, so that every connection is refused.
    InetSocketAddress seed = Addresses.parse("127.0.0.1:1");
    InetSocketAddress newSeed = Addresses.parse("127.0.0.1:2");
    List<InetSocketAddress> named =
        List.of(Addresses.parse("127.0.0.1:3"), Addresses.parse("127.0.0.1:4"));
    try (ControlClient client = new ControlClient(List.of(seed), SECURITY)) {
      assertThat(asked(client)).containsExactly(seed);
      client.addresses(named);
      client.seeds(List.of(newSeed));
      assertThat(asked(client)).containsExactlyInAnyOrderElementsOf(named);
      for (int i = 0; i < named.size(); i++) {
        assertThatThrownBy(() -> client.callAny(TIMEOUT, c -> true))
            .isInstanceOf(ControlUnavailableException.class);
      }
      assertThat(asked(client)).contains(newSeed).containsAll(named).doesNotContain(seed);
    }
  }

  /** Guards against a stop that waits for a call to an instance of control that never replies. */
  @Test
  void closeEndsCallInProgress() throws Exception {
    CountDownLatch called = new CountDownLatch(1);
    CountDownLatch end = new CountDownLatch(1);
    ControlService.Iface hanging =
        (ControlService.Iface)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {ControlService.Iface.class},
                (proxy, method, args) -> {
                  called.countDown();
                  end.await();
                  return null;
                });
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (ThriftServer server =
        ThriftServer.start("hanging", any, SECURITY, new ControlService.Processor<>(hanging))) {
      ControlClient client = new ControlClient(List.of(server.address()), SECURITY);
      CompletableFuture<Throwable> failure = callInBackground(client);
      called.await();

      client.close();

      assertThat(failure.get(1, TimeUnit.SECONDS))
          .isInstanceOf(ControlUnavailableException.class)
          .hasMessageContaining("closed");
    } finally {
      end.countDown();
    }
  }

  /** Guards against a stop that waits for an instance that accepts connections and is suspended. */
  @Test
  void closeEndsConnectInProgress() throws Exception {
    try (ServerSocket suspended = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address = (InetSocketAddress) suspended.getLocalSocketAddress();
      ControlClient client = new ControlClient(List.of(address), SECURITY);
      CompletableFuture<Throwable> failure = callInBackground(client);
      suspended.accept();

      client.close();

      assertThat(failure.get(1, TimeUnit.SECONDS))
          .isInstanceOf(ControlUnavailableException.class)
          .hasMessageContaining("closed");
    }
  }

  /** Returns what a call throws that would otherwise last for a minute. */
  private static CompletableFuture<Throwable> callInBackground(ControlClient client) {
    Duration minute = Duration.ofMinutes(1);
    return CompletableFuture.supplyAsync(
        () ->
            catchThrowable(
                () ->
                    client.callLeader(
                        minute,
                        minute,
                        one -> {
                          one.releaseLoadPermit("p");
                          return true;
                        })));
  }

  private static Set<InetSocketAddress> asked(ControlClient client) {
    Set<InetSocketAddress> asked = new HashSet<>();
    for (int i = 0; i < 12; i++) {
      asked.add(client.nextAddress());
    }
    return asked;
  }
}
