package org.comfreygap.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
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

  private static Set<InetSocketAddress> asked(ControlClient client) {
    Set<InetSocketAddress> asked = new HashSet<>();
    for (int i = 0; i < 12; i++) {
      asked.add(client.nextAddress());
    }
    return asked;
  }
}
