package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.comfreygap.relay.ScriptedEndpoint.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests an endpoint that sends a whole response twice, the second time at once or late.
 *
 * <p>Guards against a caller that gets the response to another request (I9).
 */
class SecondResponseTest {

  private ScriptedEndpoint endpoint;
  private PoolCaller caller;

  @BeforeEach
  void start() throws Exception {
    endpoint = new ScriptedEndpoint("endpoint");
    caller = new PoolCaller(endpoint.address());
  }

  @AfterEach
  void stop() throws Exception {
    endpoint.close();
    caller.close();
  }

  @ParameterizedTest
  @CsvSource({
    "WHOLE, COPY", "WHOLE, NAMELESS_COPY", "WHOLE, UNFRAMED_COPY",
    "WHOLE_IN_CHUNKS, COPY", "WHOLE_IN_CHUNKS, NAMELESS_COPY", "WHOLE_IN_CHUNKS, UNFRAMED_COPY"
  })
  void givesNoRequestTheResponseToAnother(Reply first, Reply copy) throws Exception {
    List<String> wrong = new ArrayList<>();
    check("with the response", List.of(first, copy), List.of(Reply.FAILURE), wrong);
    check("while idle", List.of(first, Reply.PAUSE, copy), List.of(Reply.FAILURE), wrong);
    check("before the next", List.of(first), List.of(copy, Reply.FAILURE), wrong);
    check("well before", List.of(first), List.of(copy, Reply.PAUSE, Reply.FAILURE), wrong);

    assertThat(wrong).isEmpty();
  }

  private void check(String moment, List<Reply> first, List<Reply> next, List<String> wrong)
      throws Exception {
    endpoint.setNext(first, next);
    caller.renewPool();
    caller.send(moment + " 1");
    if (first.contains(Reply.PAUSE)) {
      Thread.sleep(80);
    }
    int status = caller.send(moment + " 2");
    if (status == 200) {
      wrong.add(moment);
    }
  }
}
