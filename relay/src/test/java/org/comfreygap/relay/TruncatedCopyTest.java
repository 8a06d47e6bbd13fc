package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.comfreygap.decisions.ResponseMatch;
import org.comfreygap.relay.ScriptedEndpoint.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests an endpoint that writes the beginning of a response once more, cut at each byte.
 *
 * <p>Guards against a head that is read from the beginning of the copy and the next response: a run
 * would pass as a refusal, so that the request runs twice or is answered "not run", and a failure
 * as a success.
 */
class TruncatedCopyTest {

  /** Longer than the heads of the endpoint's responses. */
  private static final int LONGEST_COPY = 95;

  private ScriptedEndpoint endpoint;
  private PoolCaller caller;
  private int sent;

  /** When the beginning of the copy is written. */
  private enum Moment {
    WITH_THE_RESPONSE(true, false),
    WHILE_IDLE(true, true),
    BEFORE_THE_NEXT_RESPONSE(false, false),
    WELL_BEFORE_THE_NEXT_RESPONSE(false, true);

    private final boolean afterFirst;
    private final boolean pause;

    Moment(boolean afterFirst, boolean pause) {
      this.afterFirst = afterFirst;
      this.pause = pause;
    }

    /** Returns what is written for the first request, which ends with {@code reply}. */
    List<Reply> first(Reply reply) {
      if (!afterFirst) {
        return List.of(reply);
      }
      return pause
          ? List.of(reply, Reply.PAUSE, Reply.BEGINNING_OF_COPY)
          : List.of(reply, Reply.BEGINNING_OF_COPY);
    }

    /** Returns what is written for the next request, which ends with {@code reply}. */
    List<Reply> next(Reply reply) {
      if (afterFirst) {
        return List.of(reply);
      }
      return pause
          ? List.of(Reply.BEGINNING_OF_COPY, Reply.PAUSE, reply)
          : List.of(Reply.BEGINNING_OF_COPY, reply);
    }

    /** Bytes between two lengths of copies; pauses take time. */
    int step() {
      return pause ? 5 : 1;
    }
  }

  @BeforeEach
  void start() throws Exception {
    endpoint = new ScriptedEndpoint("endpoint");
    caller = new PoolCaller(endpoint.address());
  }

  @AfterEach
  void stop() throws Exception {
    endpoint.close();
    caller.close();
    assertThat(caller.mismatches()).doesNotContain(ResponseMatch.UNPROVED);
  }

  @ParameterizedTest
  @EnumSource
  void doesNotReadTheCopyOfARefusalAsThatOfTheNextRequest(Moment moment) throws Exception {
    assertThat(wrongOutcomes(moment, Reply.REFUSAL, Reply.WHOLE, 421)).isEmpty();
  }

  @ParameterizedTest
  @EnumSource
  void doesNotReadTheCopyOfASuccessAsThatOfTheNextRequest(Moment moment) throws Exception {
    assertThat(wrongOutcomes(moment, Reply.WHOLE, Reply.FAILURE, 200)).isEmpty();
  }

  /** A copy may also follow a response to which the request itself is sent once more. */
  @Test
  void sendsNoRequestOverTheConnectionThatBroughtItsResponse() throws Exception {
    for (Reply reply : List.of(Reply.WHOLE, Reply.FAILURE, Reply.REFUSAL)) {
      endpoint.setNext(List.of(reply));
      String id = "again-" + reply;
      caller.renewPool();
      caller.send(id);
      int opened = endpoint.opened();
      caller.send(id);

      assertThat(endpoint.opened()).as("connections after %s", reply).isEqualTo(opened + 1);
    }
  }

  /** Returns the lengths of copies after which the next request had an outcome it must not have. */
  private List<String> wrongOutcomes(Moment moment, Reply first, Reply next, int wrong)
      throws Exception {
    List<String> found = new ArrayList<>();
    for (int copied = 1; copied < LONGEST_COPY; copied += moment.step()) {
      endpoint.setCopied(copied);
      endpoint.setNext(moment.first(first), moment.next(next));
      int before = caller.surplus();
      caller.send(nextId());
      if (moment.afterFirst && moment.pause) {
        caller.awaitSurplus(before);
      }
      int outcome = caller.send(nextId());
      // Bytes that arrive before the request is sent cost a connection, not the request.
      boolean lost =
          moment.afterFirst && (outcome == PoolCaller.FAILED || caller.surplus() == before);
      if (outcome == wrong || lost) {
        found.add(copied + " bytes: " + outcome);
      }
      caller.renewPool();
    }
    return found;
  }

  private String nextId() {
    sent++;
    return "request-" + sent;
  }
}
