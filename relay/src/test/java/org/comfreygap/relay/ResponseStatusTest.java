package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests responses whose status is none of HTTP.
 *
 * <p>Guards against a faulty endpoint's status, 000 for example, that reaches the caller as that of
 * an answer, and that counts as a success of the endpoint.
 */
class ResponseStatusTest {

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private ScriptedEndpoint faulty;
  private ScriptedEndpoint sound;
  private GatewayFleet fleet;

  @BeforeEach
  void start() throws Exception {
    faulty = closer.register(new ScriptedEndpoint("faulty"));
    sound = closer.register(new ScriptedEndpoint("sound"));
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "000",
        "000 OK",
        "0",
        "7 OK",
        "20 OK",
        "99",
        "099 OK",
        "600",
        "999 OK",
        "1000 OK",
        "0200 OK",
        "+200 OK",
        "-200 OK",
        "2OO OK",
        "101 Switching Protocols"
      })
  void answersWith502InsteadOfAStatusThatIsNone(String status) throws Exception {
    open(faulty.listed());
    faulty.setStatus(status);

    assertThat(send("unsafe").statusCode()).isEqualTo(502);
    assertThat(send("stream").statusCode()).isEqualTo(502);
    // Neither was sent again, and no connection that brought such a head was used again.
    assertThat(faulty.requests()).hasSize(2);
    assertThat(faulty.furtherRequests()).isZero();
  }

  /** Guards against the same in chunks, and against what follows such a response in one read. */
  @Test
  void readsNothingBehindAStatusThatIsNone() throws Exception {
    open(faulty.listed());
    faulty.setStatus("000 OK");
    faulty.setNext(List.of(ScriptedEndpoint.Reply.WHOLE_IN_CHUNKS, ScriptedEndpoint.Reply.FAILURE));

    assertThat(send("unsafe").statusCode()).isEqualTo(502);
  }

  @ParameterizedTest
  @ValueSource(strings = {"000 OK", "600 Unknown"})
  void sendsRepeatableRequestElsewhere(String status) throws Exception {
    open(faulty.listed() + sound.listed());
    faulty.setStatus(status);

    for (int i = 0; i < 4; i++) {
      HttpResponse<String> response = send("safe");
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo("whole");
    }
    assertThat(faulty.requests()).isNotEmpty();
  }

  /** Guards against unusual statuses that are sound and are held back. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "200",
        "200 ",
        "207 Multi-Status",
        "226 IM Used",
        "299 Odd",
        "451 Unavailable For Legal Reasons",
        "499 Closed",
        "599 Odd"
      })
  void passesSoundStatusOn(String status) throws Exception {
    open(sound.listed());
    sound.setStatus(status);

    HttpResponse<String> response = send("unsafe");

    assertThat(response.statusCode()).isEqualTo(Integer.parseInt(status.substring(0, 3)));
    assertThat(response.body()).isEqualTo("whole");
    send("unsafe");
    assertThat(sound.furtherRequests()).isEqualTo(1);
  }

  private void open(String listed) throws Exception {
    fleet = closer.register(new GatewayFleet(folder, () -> listed));
    fleet.open(1);
  }

  private HttpResponse<String> send(String route) throws Exception {
    return fleet.send(0, "POST", "/" + route + "/1", "prompt");
  }
}
