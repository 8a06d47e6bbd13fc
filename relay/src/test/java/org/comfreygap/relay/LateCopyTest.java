package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.comfreygap.relay.StutteringEndpoint.Copy;
import org.comfreygap.relay.StutteringEndpoint.Framing;
import org.comfreygap.relay.StutteringEndpoint.Plan;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests an endpoint that writes an earlier response once more while it writes the next one.
 *
 * <p>Guards against a caller that gets a body with bytes of another response in it.
 */
class LateCopyTest {

  /** Longer than the responses of the endpoint. */
  private static final int LONGEST_RESPONSE = 200;

  private StutteringEndpoint endpoint;
  private PoolCaller caller;
  private int sent;

  @BeforeEach
  void start() throws Exception {
    endpoint = new StutteringEndpoint();
    caller = new PoolCaller(endpoint.address());
  }

  @AfterEach
  void stop() throws Exception {
    endpoint.close();
    caller.close();
  }

  @ParameterizedTest
  @CsvSource({
    "LENGTH, WHOLE",
    "LENGTH, WITHOUT_ID",
    "LENGTH, WITHOUT_FRAMING",
    "LENGTH, HEAD",
    "LENGTH, HALF",
    "LENGTH, BEGINNING",
    "LENGTH, WITHOUT_ID_AND_FRAMING",
    "CHUNKS, WHOLE",
    "CHUNKS, WITHOUT_ID",
    "CHUNKS, WITHOUT_FRAMING",
    "CHUNKS, HEAD",
    "CHUNKS, HALF",
    "CHUNKS, BEGINNING",
    "CHUNKS, WITHOUT_ID_AND_FRAMING",
    "CONNECTION, WHOLE",
    "CONNECTION, WITHOUT_ID",
    "CONNECTION, WITHOUT_FRAMING",
    "CONNECTION, HEAD",
    "CONNECTION, HALF"
  })
  void completesNoResponseWithACopyAtAnyByte(Framing next, Copy copy) throws Exception {
    List<String> wrong = new ArrayList<>();
    for (int offset = 0; offset < LONGEST_RESPONSE; offset++) {
      caller.renewPool();
      if (isWrong(new Plan(next, Optional.of(copy), offset, 0))) {
        wrong.add("offset " + offset);
      }
    }

    assertThat(wrong).isEmpty();
  }

  /** A copy of a few bytes moves the end of a body, which is seen only when it arrives late. */
  @Test
  void suspendsReuseSoThatLaterCopiesMeetNoResponse() throws Exception {
    endpoint.setPlan(new Plan(Framing.LENGTH, Optional.of(Copy.BEGINNING), 80, 5));
    int wrong = 0;
    for (int i = 0; i < 40; i++) {
      String id = nextId();
      PoolCaller.Result result = caller.sendForBody(id);
      wrong += result.body().equals(StutteringEndpoint.body(id)) ? 0 : 1;
      Thread.sleep(10);
    }

    assertThat(wrong).isLessThanOrEqualTo(1);
    assertThat(caller.suspensions()).isEqualTo(1);
  }

  @Test
  void keepsConnectionsToASoundEndpoint() throws Exception {
    for (int i = 0; i < 40; i++) {
      String id = nextId();
      assertThat(caller.sendForBody(id).body()).isEqualTo(StutteringEndpoint.body(id));
    }

    assertThat(endpoint.opened()).isEqualTo(1);
    assertThat(caller.suspensions()).isZero();
  }

  /** Returns true when the second of two requests ends with a body that is not its own. */
  private boolean isWrong(Plan plan) throws Exception {
    endpoint.setPlan(plan);
    caller.sendForBody(nextId());
    String id = nextId();
    PoolCaller.Result result = caller.sendForBody(id);
    return result.status() != PoolCaller.FAILED
        && !result.body().equals(StutteringEndpoint.body(id));
  }

  private String nextId() {
    sent++;
    return "request-" + (1_000 + sent);
  }
}
