package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.comfreygap.relay.ScriptedEndpoint.Reply;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests callers that send requests before they have read the responses to earlier ones.
 *
 * <p>Guards against responses out of order, of which the caller takes one for another.
 */
class PipelinedCallerTest {

  private static final int CALLERS = 8;
  private static final int REQUESTS = 400;
  private static final int MAX_OUTSTANDING = 4;

  /** More than a gateway queues behind one request. */
  private static final int TOO_MANY = 400;

  @TempDir private Path folder;
  private final Closer closer = new Closer();
  private ScriptedEndpoint endpoint;
  private GatewayFleet fleet;

  /** What a caller reads of a response; the id is absent when the gateway answered itself. */
  private record Answer(int status, Optional<String> id, boolean last) {

    static Answer read(InputStream in) throws IOException {
      int status = Integer.parseInt(line(in).split(" ")[1]);
      Optional<String> id = Optional.empty();
      boolean last = false;
      int length = 0;
      for (String field = line(in); !field.isEmpty(); field = line(in)) {
        String[] parts = field.toLowerCase(Locale.ROOT).split(": ", 2);
        id = parts[0].equals("request") ? Optional.of(parts[1]) : id;
        length = parts[0].equals("content-length") ? Integer.parseInt(parts[1]) : length;
        last |= parts[0].equals("connection") && parts[1].equals("close");
      }
      in.readNBytes(length);
      return new Answer(status, id, last);
    }

    private static String line(InputStream in) throws IOException {
      StringBuilder text = new StringBuilder();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          throw new EOFException("the connection ended after \"" + text + "\"");
        }
        text.append(c == '\r' ? "" : (char) c);
      }
      return text.toString();
    }
  }

  @BeforeEach
  void start() throws Exception {
    endpoint = closer.register(new ScriptedEndpoint("endpoint"));
    fleet = closer.register(new GatewayFleet(folder, endpoint::listed));
    fleet.control().put("/routing/routes/slow", GatewayFleet.route("slow", "unsafe", 10_000));
    fleet.open(1);
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  @Test
  void answersInTheOrderOfTheRequests() throws Exception {
    List<CompletableFuture<List<String>>> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      String name = "caller-" + i;
      callers.add(
          CompletableFuture.supplyAsync(
              () -> sendPipelined(name), PipelinedCallerTest::startThread));
    }

    List<String> wrong = new ArrayList<>();
    for (CompletableFuture<List<String>> caller : callers) {
      wrong.addAll(caller.get(60, TimeUnit.SECONDS));
    }

    assertThat(wrong).isEmpty();
  }

  /** The endpoint responds at about the time at which the request times out. */
  @Test
  void givesOneAnswerToARequestThatTimesOut() throws Exception {
    List<String> wrong = new ArrayList<>();
    List<Integer> statuses = new ArrayList<>();
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      InputStream in = new BufferedInputStream(caller.getInputStream());
      for (int i = 0; i < 40; i++) {
        endpoint.setNext(List.of(Reply.PAUSE, Reply.WHOLE));
        String id = "timed-" + i;
        write(caller, request("/safe/1", id, "Patience-Millis: " + (58 + i % 6) + "\r\n"));
        Answer answer = Answer.read(in);
        statuses.add(answer.status());
        if (answer.id().filter(id::equals).isEmpty() && answer.status() == 200) {
          wrong.add(id + ": " + answer);
        }
      }
    }

    assertThat(wrong).isEmpty();
    assertThat(statuses).contains(200, 504);
  }

  /** The request behind the refused one is never read, as where it begins is not known. */
  @Test
  void answersNothingAfterARefusalWhoseBodyIsNotRead() throws Exception {
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      InputStream in = new BufferedInputStream(caller.getInputStream());
      write(
          caller,
          "POST /safe/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: large\r\n"
              + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n"
              + request("/safe/1", "behind", ""));

      Answer answer = Answer.read(in);

      assertThat(answer.status()).isEqualTo(400);
      assertThat(answer.last()).isTrue();
      assertThat(in.read()).isEqualTo(-1);
      assertThat(endpoint.requests()).isEmpty();
    }
  }

  /** The second request is queued behind one that runs when the stop ends. */
  @Test
  void refusesQueuedRequestWhenThePlannedStopEnds() throws Exception {
    endpoint.setNext(Collections.nCopies(80, Reply.PAUSE));
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      InputStream in = new BufferedInputStream(caller.getInputStream());
      write(caller, request("/slow/1", "runs", "") + request("/slow/1", "queued", ""));
      GatewayFleet.await(() -> !endpoint.requests().isEmpty());

      fleet.stopFirst(1);
      Answer first = Answer.read(in);
      Answer second = Answer.read(in);

      assertThat(first.status()).isEqualTo(502);
      assertThat(first.last()).isFalse();
      assertThat(second.status()).isEqualTo(503);
      assertThat(second.last()).isTrue();
      assertThat(in.read()).isEqualTo(-1);
      assertThat(endpoint.requests()).hasSize(1);
    }
  }

  /** The gateway has read both requests when the stop begins, and the first one ends during it. */
  @Test
  void answersRequestQueuedBehindOneThatEndsDuringThePlannedStop() throws Exception {
    List<Reply> replies = new ArrayList<>(Collections.nCopies(10, Reply.PAUSE));
    replies.add(Reply.WHOLE);
    endpoint.setNext(replies);
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      InputStream in = new BufferedInputStream(caller.getInputStream());
      write(caller, request("/slow/1", "runs", "") + request("/slow/1", "queued", ""));
      GatewayFleet.await(() -> !endpoint.requests().isEmpty());
      CompletableFuture<Void> stop = CompletableFuture.runAsync(this::stopGateway);

      Answer first = Answer.read(in);
      assertThat(first.status()).isEqualTo(200);
      assertThat(first.last()).isFalse();
      Answer second = Answer.read(in);
      assertThat(second.status()).isEqualTo(503);
      assertThat(second.last()).isTrue();
      assertThat(in.read()).isEqualTo(-1);
      assertThat(endpoint.requests()).hasSize(1);
      stop.get(10, TimeUnit.SECONDS);
    }
  }

  /** Guards against the loss of the response in progress when too many requests are queued. */
  @Test
  void answersRequestsBeforeThoseThatAreTooMany() throws Exception {
    endpoint.setNext(List.of(Reply.PAUSE, Reply.PAUSE, Reply.PAUSE, Reply.WHOLE));
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      InputStream in = new BufferedInputStream(caller.getInputStream());
      StringBuilder requests = new StringBuilder();
      for (int i = 0; i < TOO_MANY; i++) {
        requests.append(request("/slow/1", "many-" + i, ""));
      }
      write(caller, requests.toString());

      Answer answer = Answer.read(in);
      int answered = 1;
      assertThat(answer.id()).hasValue("many-0");
      while (!answer.last() && answered < TOO_MANY) {
        answer = Answer.read(in);
        assertThat(answer.id()).hasValue("many-" + answered);
        answered++;
      }

      assertThat(answered).isGreaterThan(100).isLessThan(TOO_MANY);
      assertThat(in.read()).isEqualTo(-1);
    }
  }

  /** The head of the last request is queued, and the rest of its body is not. */
  @Test
  void namesRequestWhoseBodyHasTooManyParts() throws Exception {
    endpoint.setNext(List.of(Reply.PAUSE, Reply.PAUSE, Reply.PAUSE, Reply.WHOLE));
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      InputStream in = new BufferedInputStream(caller.getInputStream());
      write(
          caller,
          request("/slow/1", "before", "")
              + "POST /slow/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: in-parts\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n"
              + "1\r\na\r\n".repeat(TOO_MANY)
              + "0\r\n\r\n");

      assertThat(Answer.read(in).id()).hasValue("before");
      assertThat(in.read()).isEqualTo(-1);
    }
    assertThat(timeline("in-parts")).contains(RelayEvent.REQUEST_NOT_ANSWERED.name());
  }

  /** Guards against the answer to a later request in place of one whose reading failed. */
  @Test
  void endsConnectionWhenAQueuedRequestCannotBeRead() throws Exception {
    endpoint.setNext(List.of(Reply.PAUSE, Reply.PAUSE, Reply.PAUSE, Reply.WHOLE));
    try (Socket caller = new Socket()) {
      caller.connect(fleet.address(0));
      caller.setSoTimeout(10_000);
      InputStream in = new BufferedInputStream(caller.getInputStream());
      write(
          caller,
          request("/slow/1", "before", "")
              + request("/slow/1", "fails", "Patience-Millis: unreadable\r\n"));
      assertThat(Answer.read(in).id()).hasValue("before");
      Thread.sleep(100);
      write(caller, request("/slow/1", "after", ""));

      assertThat(in.read()).isEqualTo(-1);
    }
  }

  private String timeline(String id) throws Exception {
    URI uri =
        URI.create("http://" + Addresses.text(fleet.adminAddress(0)) + "/timeline?request=" + id);
    HttpRequest get = HttpRequest.newBuilder(uri).build();
    return HttpClient.newHttpClient().send(get, HttpResponse.BodyHandlers.ofString()).body();
  }

  /** Sends requests without waiting for their responses, and returns the responses out of order. */
  private List<String> sendPipelined(String name) {
    try (Socket caller = new Socket()) {
      caller.setTcpNoDelay(true);
      caller.connect(fleet.address(0));
      caller.setSoTimeout(20_000);
      Semaphore outstanding = new Semaphore(MAX_OUTSTANDING);
      CompletableFuture<Void> sender =
          CompletableFuture.runAsync(
              () -> sendAll(caller, name, outstanding), PipelinedCallerTest::startThread);
      List<String> wrong = new ArrayList<>();
      InputStream in = new BufferedInputStream(caller.getInputStream());
      for (int i = 0; i < REQUESTS; i++) {
        Answer answer = Answer.read(in);
        outstanding.release();
        String expected = name + "-" + i;
        if (answer.id().filter(expected::equals).isEmpty()) {
          wrong.add(expected + ": " + answer);
        }
      }
      sender.join();
      return wrong;
    } catch (IOException e) {
      return List.of(name + ": " + e);
    }
  }

  private static void sendAll(Socket caller, String name, Semaphore outstanding) {
    try {
      for (int i = 0; i < REQUESTS; i++) {
        outstanding.acquire();
        write(caller, request("/slow/1", name + "-" + i, ""));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      throw new IllegalStateException("the connection of " + name + " failed", e);
    }
  }

  private void stopGateway() {
    try {
      fleet.stopFirst(1);
    } catch (Exception e) {
      throw new IllegalStateException("the gateway could not be stopped", e);
    }
  }

  private static String request(String path, String id, String fields) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest: "
        + id
        + "\r\n"
        + fields
        + "Content-Length: 5\r\n\r\norder";
  }

  private static void startThread(Runnable run) {
    Thread thread = new Thread(run, "pipelined-caller");
    thread.setDaemon(true);
    thread.start();
  }

  private static void write(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    caller.getOutputStream().flush();
  }
}
