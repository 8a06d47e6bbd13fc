package org.comfreygap.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.testkit.FreePorts;

/**
 * An endpoint whose responses have no end: it sends until its connection is closed.
 *
 * <p>Requests for paths that end in {@code sound} get a short event stream. Thread safety: each
 * connection has a thread; all methods may be called from any thread.
 */
final class EndlessEndpoint implements AutoCloseable {

  private static final int UNIT_BYTES = 8 * 1024;
  private static final String FILLER = "x".repeat(1_000);

  private final String instanceId;
  private final Flood[] floods;
  private final ServerSocket socket = new ServerSocket();
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private final AtomicLong written = new AtomicLong();
  private final CountDownLatch start;

  /** What has no end. */
  enum Flood {
    LINE_IN_CHUNKS(head("Transfer-Encoding: chunked"), chunk(FILLER)),
    LINE_WITH_LENGTH(head("Content-Length: 1000000000000"), FILLER),
    LINE_UNTIL_CLOSE(head("Connection: close"), FILLER),
    EVENT_IN_CHUNKS(head("Transfer-Encoding: chunked"), chunk("data: " + FILLER + "\n")),
    EVENT_OF_SMALL_CHUNKS(head("Transfer-Encoding: chunked"), chunk("x")),
    EVENT_ID(head("Transfer-Encoding: chunked") + chunk("id: "), chunk(FILLER)),
    STATUS_LINE("", FILLER),
    STATUS_LINES("", "no status line " + FILLER + "\r\n"),
    LINE_ENDS("", "\r\n"),
    FIELD("HTTP/1.1 200 OK\r\nField: ", FILLER),
    FIELDS("HTTP/1.1 200 OK\r\n", "Field: value\r\n"),
    INTERIM("", "HTTP/1.1 102 Processing\r\nField: value\r\n\r\n"),
    CHUNK_SIZE(head("Transfer-Encoding: chunked"), "0"),
    CHUNK_EXTENSION(head("Transfer-Encoding: chunked") + "1", ";extension=" + FILLER),
    TRAILER(head("Transfer-Encoding: chunked") + "0\r\nField: ", FILLER),
    TRAILERS(head("Transfer-Encoding: chunked") + "0\r\n", "Field: value\r\n"),
    OTHER_RESPONSE(
        "HTTP/1.1 200 OK\r\nRequest: other\r\nContent-Length: 1000000000000\r\n\r\n", "x"),
    OTHER_RESPONSES("", "HTTP/1.1 200 OK\r\nRequest: other\r\nContent-Length: 1\r\n\r\nx"),
    EMPTY_LINES(head("Transfer-Encoding: chunked"), chunk("\n")),
    COMMENTS(head("Transfer-Encoding: chunked"), chunk(": " + FILLER + "\n\n")),
    CHUNK_EXTENSIONS(head("Transfer-Encoding: chunked"), "1;" + FILLER + "\r\n\n\r\n"),
    SMALL_EVENTS(head("Transfer-Encoding: chunked"), chunk("data:x\n\n")),
    REFUSAL(head("Transfer-Encoding: chunked").replace("200 OK", "421 Misdirected"), chunk("x"));

    private final String beginning;
    private final String repeated;

    Flood(String beginning, String repeated) {
      this.beginning = beginning;
      this.repeated = repeated;
    }

    /** Returns true when the response begins like a sound stream, so that its head is sent on. */
    boolean beginsStream() {
      return this == EMPTY_LINES || this == COMMENTS || this == CHUNK_EXTENSIONS || hasEvents();
    }

    /**
     * Returns true when nothing tells the response from a sound stream but that it does not end.
     */
    boolean hasEvents() {
      return this == SMALL_EVENTS;
    }

    private static String head(String framing) {
      return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest: %ID%\r\n"
          + framing
          + "\r\n\r\n";
    }

    private static String chunk(String text) {
      return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
  }

  /**
   * Creates an endpoint whose responses take turns in what has no end.
   *
   * @param start what all endless responses wait for
   */
  EndlessEndpoint(String instanceId, CountDownLatch start, Flood... floods) throws IOException {
    this.instanceId = instanceId;
    this.start = start;
    this.floods = floods.clone();
    socket.bind(FreePorts.address(), 1_000);
    thread(this::accept);
  }

  String listed() {
    return instanceId
        + " "
        + Addresses.text((InetSocketAddress) socket.getLocalSocketAddress())
        + " v1\n";
  }

  /** Returns the number of endless responses that were begun. */
  int requests() {
    return requests.get();
  }

  /** Returns the number of endless responses that ended with their connection. */
  int closed() {
    return closed.get();
  }

  /** Returns the number of bytes of endless responses that were written. */
  long written() {
    return written.get();
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connections.add(connection);
        thread(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      Optional<RawRequest> request = RawRequest.read(in);
      while (request.isPresent() && request.get().path().endsWith("sound")) {
        write(out, sound(request.get().id()));
        request = RawRequest.read(in);
      }
      if (request.isPresent()) {
        flood(out, request.get().id());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The gateway may close the connection at any time.
      return;
    }
  }

  private void flood(OutputStream out, String id) throws InterruptedException {
    Flood flood = floods[requests.getAndIncrement() % floods.length];
    byte[] unit =
        flood
            .repeated
            .repeat(Math.max(1, UNIT_BYTES / flood.repeated.length()))
            .getBytes(StandardCharsets.US_ASCII);
    start.await();
    try {
      write(out, flood.beginning.replace("%ID%", id));
      while (!socket.isClosed()) {
        out.write(unit);
        written.addAndGet(unit.length);
      }
    } catch (IOException e) {
      closed.incrementAndGet();
    }
  }

  private static String sound(String id) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest: "
        + id
        + "\r\nTransfer-Encoding: chunked\r\n\r\n"
        + Flood.chunk("id: 1\ndata: sound\n\n")
        + "0\r\n\r\n";
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static void thread(Runnable run) {
    Thread thread = new Thread(run, "endless-endpoint");
    thread.setDaemon(true);
    thread.start();
  }
}
