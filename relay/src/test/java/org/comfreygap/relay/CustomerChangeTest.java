package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.CreditItem;
import org.comfreygap.runtime.Closer;
import org.comfreygap.settings.KeyHash;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests requests that wait for an endpoint while the operator changes whose they are.
 *
 * <p>Guards against requests without an answer, and against credit that is charged to one customer
 * and given back to another.
 */
class CustomerChangeTest {

  private static final int REQUESTS = 40;
  private static final long WORK_MILLIS = 500;
  private static final int TOKENS = 100;
  private static final String KEY = "key-1";
  private static final String OTHER_KEY = "key-2";
  private static final String FIRST = "/teams/main/customers/first";
  private static final String SECOND = "/teams/main/customers/second";

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private SlowEndpoint endpoint;
  private SlowEndpoint sound;
  private GatewayFleet fleet;
  private Map<String, Integer> statuses = Map.of();

  /** What the operator changes while requests with the first key wait. */
  enum Change {
    KEY_MOVES {
      @Override
      void apply(CustomerChangeTest test) {
        test.removeKey(FIRST, KEY);
        test.putKey(SECOND, KEY);
      }
    },
    KEY_MOVES_TO_CUSTOMER_WITHOUT_LIMITS {
      @Override
      void apply(CustomerChangeTest test) {
        test.fleet.control().delete(SECOND + "/limits");
        KEY_MOVES.apply(test);
      }
    },
    KEYS_ARE_EXCHANGED {
      @Override
      void apply(CustomerChangeTest test) {
        KEY_MOVES.apply(test);
        test.removeKey(SECOND, OTHER_KEY);
        test.putKey(FIRST, OTHER_KEY);
      }
    },
    CUSTOMER_IS_REPLACED {
      @Override
      void apply(CustomerChangeTest test) {
        KEY_MOVES.apply(test);
        test.fleet.control().delete(FIRST + "/limits");
        test.fleet.control().delete(FIRST);
      }
    },
    ROUTE_BECOMES_PUBLIC {
      @Override
      void apply(CustomerChangeTest test) {
        test.putRoute(true, "unsafe");
      }
    },
    ROUTE_CEASES_TO_BE_PUBLIC {
      @Override
      void apply(CustomerChangeTest test) {
        test.putRoute(false, "unsafe");
      }

      @Override
      boolean open() {
        return true;
      }
    },
    LIMITS_END {
      @Override
      void apply(CustomerChangeTest test) {
        test.fleet.control().delete(FIRST + "/limits");
      }
    },
    KEY_IS_WITHDRAWN {
      @Override
      void apply(CustomerChangeTest test) {
        test.removeKey(FIRST, KEY);
      }
    },
    ENDPOINTS_BREAK_OFF_AND_KEY_MOVES {
      @Override
      void apply(CustomerChangeTest test) {
        test.endpoint.breakOff();
        KEY_MOVES.apply(test);
      }
    },
    /** Requests that ran for one customer are sent again for the other one. */
    ENDPOINT_OF_SAFE_ROUTE_BREAKS_OFF_AND_KEY_MOVES {
      @Override
      void apply(CustomerChangeTest test) {
        ENDPOINTS_BREAK_OFF_AND_KEY_MOVES.apply(test);
      }

      @Override
      String kind() {
        return "safe";
      }
    };

    abstract void apply(CustomerChangeTest test);

    /** Returns the kind of the route before the change. */
    String kind() {
      return "unsafe";
    }

    /** Returns true when the route is public before the change. */
    boolean open() {
      return false;
    }
  }

  @BeforeEach
  void start() throws Exception {
    endpoint = closer.register(new SlowEndpoint("endpoint", WORK_MILLIS));
    sound = closer.register(new SlowEndpoint("sound", WORK_MILLIS));
    fleet = closer.register(new GatewayFleet(folder, () -> endpoint.listed() + sound.listed()));
    fleet.control().put("/routing/key-policy", "{\"required\":true}");
    for (String customer : List.of(FIRST, SECOND)) {
      fleet
          .control()
          .put(customer, "{\"countedIn\":\"tokens\",\"tokensWithoutCount\":" + TOKENS + "}");
      fleet
          .control()
          .put(customer + "/limits", "{\"tokensPerSecond\":100000,\"burstTokens\":100000}");
    }
    putKey(FIRST, KEY);
    putKey(SECOND, OTHER_KEY);
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against requests that end in the books of the gateway and get no answer. */
  @ParameterizedTest
  @EnumSource(Change.class)
  void answersEveryRequestThatWaitsWhileItsCustomerChanges(Change change) throws Exception {
    sendAllAndApply(change);

    assertThat(statuses).hasSize(REQUESTS);
    assertThat(statuses.values()).isSubsetOf(200, 401, 502, 503);
  }

  /** Guards against tokens that are charged to one customer and refunded to another. */
  @ParameterizedTest
  @EnumSource(Change.class)
  void chargesEachRunToTheCustomerForWhichItIsSent(Change change) throws Exception {
    sendAllAndApply(change);

    // A request that was sent twice for one customer is charged once.
    Set<String> runs = new HashSet<>();
    Map<String, Long> expected = new TreeMap<>();
    for (RawRequest request : sent()) {
      boolean limited =
          change != Change.KEY_MOVES_TO_CUSTOMER_WITHOUT_LIMITS
              || !request.customer().equals("second");
      boolean charged = limited && !request.customer().isEmpty();
      if (charged && runs.add(request.customer() + " " + request.id())) {
        expected.merge("main/" + request.customer(), (long) TOKENS, Long::sum);
      }
    }
    assertThat(sent()).hasSizeGreaterThanOrEqualTo(16);
    awaitCharged(expected);
  }

  /** Guards against a crash that counts for the customer that a request had at its arrival. */
  @Test
  void reportsCrashUnderTheCustomerForWhichTheRequestWasSent() throws Exception {
    // While anything is quarantined, the gateway computes fingerprints at the arrival.
    fleet.control().quarantine("another request", Duration.ofMinutes(1));
    putRoute(false, "unsafe");
    fleet.open(1);
    ParallelCallers callers = sendAll();
    Thread.sleep(WORK_MILLIS / 5);
    synchronized (fleet.control()) {
      Change.KEY_MOVES.apply(this);
    }
    GatewayFleet.await(() -> sent().stream().anyMatch(one -> one.customer().equals("second")));
    endpoint.close();
    sound.close();

    GatewayFleet.await(() -> !fleet.control().crashes().isEmpty());
    assertThat(fleet.control().crashes().get(0).getFingerprints())
        .contains(fingerprint("main/second"));
    statuses = callers.await();
  }

  private static String fingerprint(String customer) {
    DefaultHttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/private/1");
    return CrashDetector.fingerprint(
        customer, head, Unpooled.copiedBuffer("order", StandardCharsets.US_ASCII));
  }

  /** Sends more requests than run at once, and makes the change while the others wait. */
  private void sendAllAndApply(Change change) throws Exception {
    putRoute(change.open(), change.kind());
    fleet.open(1);
    ParallelCallers callers = sendAll();
    Thread.sleep(WORK_MILLIS / 5);
    // One change of all that an operator changes at once: no gateway sees a part of it.
    synchronized (fleet.control()) {
      change.apply(this);
    }
    statuses = callers.await();
  }

  private List<RawRequest> sent() {
    List<RawRequest> all = new ArrayList<>(endpoint.requests());
    all.addAll(sound.requests());
    return all;
  }

  private ParallelCallers sendAll() {
    return ParallelCallers.send(fleet, "/private/1", REQUESTS, Map.of(HeaderDialect.KEY, KEY));
  }

  private void awaitCharged(Map<String, Long> expected) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
    while (!charged().equals(expected) && System.nanoTime() - end < 0) {
      Thread.sleep(10);
    }
    assertThat(charged()).isEqualTo(expected);
  }

  /** Returns the tokens that each customer has used, less those refunded. */
  private Map<String, Long> charged() {
    Map<String, Long> tokens = new TreeMap<>();
    for (CreditItem item : fleet.control().creditItems()) {
      tokens.merge(item.getCustomer(), item.getUsed() - item.getRefunded(), Long::sum);
    }
    tokens.values().removeIf(sum -> sum == 0);
    return tokens;
  }

  private void putRoute(boolean open, String kind) {
    String route =
        GatewayFleet.route("private", kind, 3_000)
            .replace("\"targetLatencyMillis\":300", "\"targetLatencyMillis\":1000")
            .replace("\"maxAttempts\":1", "\"maxAttempts\":2")
            .replace("\"open\":true", "\"open\":" + open);
    fleet.control().put("/routing/routes/private", route);
  }

  private void putKey(String customer, String key) {
    fleet
        .control()
        .put(
            customer + "/keys/" + key,
            "{\"sha256\":\"" + KeyHash.of(key) + "\",\"state\":\"active\"}");
  }

  private void removeKey(String customer, String key) {
    fleet.control().delete(customer + "/keys/" + key);
  }
}
