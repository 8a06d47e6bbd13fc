package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the replicated part of duties, and that a call is written only by the holder. */
class DutyStateTest {

  private static final long UNIX_SECONDS = 1_796_000_000;

  private ControlState state = new ControlState();

  @Test
  void fencingNumbersRiseAndAreGivenOnce() throws Exception {
    assertThat(take(1, "c1", UNIX_SECONDS).fencing()).isEqualTo(UNIX_SECONDS);
    // The same leader's command, repeated because its result was lost.
    assertThat(take(1, "c1", UNIX_SECONDS + 5).fencing()).isEqualTo(UNIX_SECONDS);
    // A clock that is behind does not lower the number.
    assertThat(take(2, "c2", UNIX_SECONDS - 100).fencing()).isEqualTo(UNIX_SECONDS + 1);
    state = MemoryCluster.copy(state);
    assertThat(take(3, "c1", 0).fencing()).isEqualTo(UNIX_SECONDS + 2);
    // A late command of an earlier term changes nothing.
    assertThat(take(2, "c2", UNIX_SECONDS + 50).holder()).isEqualTo("c1");
  }

  @Test
  void numbersGoOnAboveThoseBeforeTheLossOfTheLog() {
    long before = take(7, "c1", UNIX_SECONDS).fencing();
    state = new ControlState();
    assertThat(take(1, "c2", UNIX_SECONDS + 30).fencing()).isGreaterThan(before);
  }

  @Test
  void windowIsClosedOnceAndOutlivesASnapshot() throws Exception {
    take(1, "c1", UNIX_SECONDS);
    keep("g1/s1", 41, 5);
    keep("g1/s1", 41, 5);
    keep("g2/s1", 41, 6);
    close(40, "{}");
    assertThat(close(40, "{other}").closed()).isFalse();
    state = MemoryCluster.copy(state);

    assertThat(state.readDuties(DutyState::oldest).orElseThrow().body()).isEqualTo("{}");
    assertThat(state.readDuties(DutyState::kept).get(41L).begun()).isEqualTo(Map.of("c", 11L));
    // Counts of a window that is closed are not kept.
    keep("g3/s1", 40, 6);
    assertThat(state.readDuties(DutyState::kept)).containsOnlyKeys(41L);
    apply(new Command.EndWindow(1, 40, true));
    assertThat(state.readDuties(DutyState::progress)).isEqualTo(new DutyState.Progress(40, 40, 0));
  }

  @Test
  void backlogIsBoundedAndTellsWhatItDrops() {
    for (long window = 1; window <= DutyState.MAX_BACKLOG; window++) {
      assertThat(close(window, "{}").dropped()).isEmpty();
    }
    assertThat(close(DutyState.MAX_BACKLOG + 1, "{}").dropped()).isEqualTo(List.of(1L));
  }

  @Test
  void nothingIsWrittenOnceAnotherInstanceLeads() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      DutyClient client =
          new DutyClient(
              new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
              Duration.ofSeconds(5));
      DutyReply reply = client.send(call(1, "{}"), Map.of(), () -> false);
      assertThat(reply.verdict()).isEqualTo(DutyReply.Verdict.LATER);
      try (Socket opened = server.accept()) {
        opened.setSoTimeout(5_000);
        byte[] received = new byte[1];
        int count;
        try {
          count = opened.getInputStream().read(received);
        } catch (SocketException e) {
          count = -1;
        }
        assertThat(count).isEqualTo(-1);
      }
    }
  }

  @Test
  void onlyRefusalsThatWillNeverPassEndACall() {
    assertThat(DutyReply.of(204).verdict()).isEqualTo(DutyReply.Verdict.ACCEPTED);
    for (int status : List.of(302, 408, 429, 500, 503)) {
      assertThat(DutyReply.of(status).verdict()).isEqualTo(DutyReply.Verdict.LATER);
    }
    for (int status : List.of(400, 404, 409, 422)) {
      assertThat(DutyReply.of(status).verdict()).isEqualTo(DutyReply.Verdict.REFUSED);
    }
  }

  private DutyState.Holding take(long term, String holder, long leastFencing) {
    byte[] result = apply(new Command.TakeDuties(1, term, holder, leastFencing));
    return Codec.decodeResult(result, DutyState.Holding.class);
  }

  private void keep(String source, long window, long begun) {
    apply(new Command.KeepUsage(1, source, Map.of(window, Map.of("c", begun))));
  }

  private DutyState.CloseResult close(long window, String body) {
    byte[] result = apply(new Command.CloseWindow(1, call(window, body)));
    return Codec.decodeResult(result, DutyState.CloseResult.class);
  }

  private byte[] apply(Command command) {
    return state.apply(1, Codec.encode(command));
  }

  private static DutyCall call(long window, String body) {
    return new DutyCall(Duty.USAGE, "usage", window, "POST", "/usage", body);
  }
}
