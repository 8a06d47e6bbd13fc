package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Stream;
import org.comfreygap.relay.ScriptedEndpoint.Reply;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests an endpoint that writes an earlier refusal once more on a kept connection.
 *
 * <p>Guards against a request that is answered "not run" although it runs, and against one that
 * runs a second time at another endpoint.
 */
class RepeatedRefusalTest {

  /** Statuses that promise that a request has not run. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private ScriptedEndpoint endpoint;
  private ScriptedEndpoint other;
  private volatile boolean otherListed;
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    endpoint = closer.register(new ScriptedEndpoint("endpoint"));
    other = closer.register(new ScriptedEndpoint("other"));
    fleet = closer.register(new GatewayFleet(folder, this::listed));
    fleet.open(1);
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  private static Stream<List<Reply>> repliesWithCopies() {
    return Stream.of(
        List.of(Reply.COPY_OF_REFUSAL, Reply.WHOLE),
        List.of(Reply.COPY_OF_REFUSAL, Reply.PAUSE, Reply.WHOLE),
        List.of(Reply.COPY_WITHOUT_ID, Reply.WHOLE),
        List.of(Reply.COPY_WITHOUT_ID, Reply.PAUSE, Reply.WHOLE),
        List.of(Reply.COPY_WITHOUT_ID, Reply.COPY_OF_REFUSAL, Reply.WHOLE));
  }

  /** The request that follows on the connection runs; the copy must not count as its refusal. */
  @ParameterizedTest
  @MethodSource("repliesWithCopies")
  void doesNotTakeTheCopyForTheRefusalOfAnotherRequest(List<Reply> replies) throws Exception {
    endpoint.setNext(List.of(Reply.WHOLE), List.of(Reply.REFUSAL), onceOtherIsListed(replies));
    assertThat(send("unsafe", "1").statusCode()).isEqualTo(200);
    send("unsafe", "2");
    otherListed = true;

    HttpResponse<String> response = send("unsafe", "3");

    assertThat(endpoint.opened()).as("connections for all requests").isEqualTo(1);

    assertThat(arrivals("3")).isEqualTo(1);
    assertThat(response.statusCode()).isNotIn(NOT_RUN);
  }

  @ParameterizedTest
  @MethodSource("repliesWithCopies")
  void servesRequestThatMayBeRepeatedInSpiteOfTheCopy(List<Reply> replies) throws Exception {
    endpoint.setNext(List.of(Reply.WHOLE), List.of(Reply.REFUSAL), onceOtherIsListed(replies));
    send("unsafe", "1");
    send("unsafe", "2");
    otherListed = true;

    assertThat(send("safe", "3").statusCode()).isEqualTo(200);
  }

  /**
   * Guards against copies that arrive right behind the refusal, or while the connection is idle.
   */
  @Test
  void doesNotUseConnectionOnWhichMoreArrivedThanTheRefusal() throws Exception {
    for (List<Reply> replies :
        List.of(
            List.of(Reply.REFUSAL, Reply.COPY_OF_REFUSAL),
            List.of(Reply.REFUSAL, Reply.COPY_WITHOUT_ID),
            List.of(Reply.REFUSAL, Reply.PAUSE, Reply.COPY_WITHOUT_ID))) {
      endpoint.setNext(replies);
      send("unsafe", UUID.randomUUID().toString());
      Thread.sleep(150);
      int before = endpoint.opened();

      assertThat(send("unsafe", UUID.randomUUID().toString()).statusCode()).isEqualTo(200);
      assertThat(endpoint.opened()).isEqualTo(before + 1);
    }
  }

  /** Guards against sound refusals that count as runs. */
  @Test
  void sendsRequestElsewhereAfterItsOwnRefusal() throws Exception {
    otherListed = true;
    Thread.sleep(400);
    for (Reply refusal : List.of(Reply.REFUSAL, Reply.REFUSAL_WITHOUT_ID)) {
      String id = "own-" + refusal;
      endpoint.setNext(List.of(refusal));
      other.setNext(List.of(refusal));

      send("unsafe", id);

      assertThat(arrivals(id)).isEqualTo(2);
      // Other connections carry no request, so that a refusal without an id can only be its own.
      fleet.stopFirst(1);
      fleet.open(1);
    }
  }

  /** Returns the replies after a pause in which the gateway learns of the other endpoint. */
  private static List<Reply> onceOtherIsListed(List<Reply> replies) {
    return Stream.concat(Stream.generate(() -> Reply.PAUSE).limit(6), replies.stream()).toList();
  }

  private int arrivals(String id) {
    return (int)
        Stream.concat(endpoint.requests().stream(), other.requests().stream())
            .filter(request -> request.id().equals(id))
            .count();
  }

  private HttpResponse<String> send(String route, String id)
      throws IOException, InterruptedException {
    return fleet.send(0, "POST", "/" + route + "/1", "order", Map.of(HeaderDialect.REQUEST, id));
  }

  private String listed() {
    return endpoint.listed() + (otherListed ? other.listed() : "");
  }
}
