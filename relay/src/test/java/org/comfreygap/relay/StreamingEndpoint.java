package org.comfreygap.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.testkit.FreePorts;

/**
 * An endpoint that answers each request with a stream of {@link #EVENTS} events, whose data is the
 * version of its software. It goes on after the event that a request names as the last one.
 *
 * <p>Thread safety: fields that a test changes while requests run are volatile; each connection has
 * a thread.
 */
final class StreamingEndpoint implements AutoCloseable {

  static final int EVENTS = 10;
  private static final int DEFAULT_EVENT_MILLIS = 10;

  private final String instanceId;
  private final String version;
  private final ServerSocket socket;
  private final Thread acceptor;
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final List<RawRequest> requests = new CopyOnWriteArrayList<>();
  private volatile Framing framing = Framing.CHUNKED;
  private volatile int breakAfter = Integer.MAX_VALUE;
  private volatile Break howToBreak = Break.INSIDE_EVENT;
  private volatile int eventMillis = DEFAULT_EVENT_MILLIS;
  private volatile int paddingBytes;
  private volatile int silentAfter = Integer.MAX_VALUE;
  private volatile int silentMillis;
  private volatile boolean closingAfterResponse;
  private volatile String departure = "";

  /** How the end of a response is marked. */
  enum Framing {
    CHUNKED,
    LENGTH,
    /** Neither a length nor chunks: the response ends with its connection. */
    UNTIL_CLOSE
  }

  /** How the endpoint breaks off a response. */
  enum Break {
    /** Closes the connection inside an event. */
    INSIDE_EVENT,
    /** Closes the connection after a whole event. */
    BETWEEN_EVENTS,
    /** Resets the connection after a whole event. */
    RESET_BETWEEN_EVENTS,
    /** Ends after a whole event, so that all connections are closed and new ones are refused. */
    CRASH
  }

  /** Starts an endpoint on a free port. */
  StreamingEndpoint(String instanceId, String version) throws IOException {
    this.instanceId = instanceId;
    this.version = version;
    this.socket = new ServerSocket();
    socket.bind(FreePorts.address());
    acceptor = thread(this::accept);
  }

  /** Returns this endpoint's line in the list. */
  String listed() {
    String address = Addresses.text((java.net.InetSocketAddress) socket.getLocalSocketAddress());
    return instanceId + " " + address + " " + version + departure + "\n";
  }

  String version() {
    return version;
  }

  /** Returns the requests in the order of their arrival. */
  List<RawRequest> requests() {
    return requests;
  }

  StreamingEndpoint framing(Framing next) {
    framing = next;
    return this;
  }

  /** Makes the endpoint break off each response after the given number of events. */
  StreamingEndpoint breakAfter(int events) {
    breakAfter = events;
    return this;
  }

  /** Sets how responses break off. */
  StreamingEndpoint breakBy(Break next) {
    howToBreak = next;
    return this;
  }

  /** Sets the time before each event of the next responses, in milliseconds. */
  StreamingEndpoint eventMillis(int millis) {
    eventMillis = millis;
    return this;
  }

  /** Makes the endpoint write nothing for some time after the given event of each response. */
  StreamingEndpoint silentAfter(int event, int millis) {
    silentMillis = millis;
    silentAfter = event;
    return this;
  }

  /** Sets the bytes that are added to the data of each event, as an ASCII text. */
  StreamingEndpoint paddingBytes(int bytes) {
    paddingBytes = bytes;
    return this;
  }

  /** Makes the endpoint end as soon as it has written a whole response. */
  StreamingEndpoint closeAfterResponse() {
    closingAfterResponse = true;
    return this;
  }

  /** Refuses new connections from now on, and keeps those that are open. */
  void refuseConnections() throws IOException, InterruptedException {
    socket.close();
    // The port refuses connections only once no thread waits for one.
    acceptor.join();
  }

  /** Shows in the list that the endpoint accepts no new requests. */
  void leave() {
    departure = " leaving";
  }

  /** Shows in the list that the endpoint ends at a set time. */
  void leaveAtADeadline() {
    departure = " removed";
  }

  /** Ends the endpoint: closes its connections and refuses new ones. */
  @Override
  public void close() throws IOException {
    try {
      refuseConnections();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
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
    try {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      Optional<RawRequest> request = RawRequest.read(in);
      while (request.isPresent() && stream(connection, request.get())) {
        request = RawRequest.read(in);
      }
      connection.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The gateway may close the connection at any time.
      return;
    }
  }

  /** Writes a response; returns false when the connection ends with it. */
  private boolean stream(Socket connection, RawRequest request)
      throws IOException, InterruptedException {
    requests.add(request);
    Framing used = framing;
    int pauseMillis = eventMillis;
    OutputStream out = connection.getOutputStream();
    int last = request.lastEventId().map(Integer::parseInt).orElse(0);
    write(
        out,
        "HTTP/1.1 200 OK\r\n"
            + HeaderDialect.REQUEST
            + ": "
            + request.id()
            + "\r\nContent-Type: text/event-stream\r\n"
            + framingHeader(used, last)
            + "\r\n");
    for (int id = last + 1; id <= EVENTS; id++) {
      Thread.sleep(pauseMillis);
      String event = event(id);
      if (id - last > breakAfter) {
        breakOff(connection, used, event);
        return false;
      }
      writePart(out, used, event);
      if (id == silentAfter) {
        Thread.sleep(silentMillis);
      }
    }
    write(out, used == Framing.CHUNKED ? "0\r\n\r\n" : "");
    if (closingAfterResponse) {
      close();
    }
    return used != Framing.UNTIL_CLOSE;
  }

  private String framingHeader(Framing used, int last) {
    int length = 0;
    for (int id = last + 1; id <= EVENTS; id++) {
      length += event(id).length();
    }
    return switch (used) {
      case CHUNKED -> "Transfer-Encoding: chunked\r\n";
      case LENGTH -> "Content-Length: " + length + "\r\n";
      case UNTIL_CLOSE -> "";
    };
  }

  private String event(int id) {
    return "id: " + id + "\ndata: " + version + " ".repeat(paddingBytes) + "\n\n";
  }

  private void breakOff(Socket connection, Framing used, String event) throws IOException {
    switch (howToBreak) {
      case INSIDE_EVENT ->
          writePart(connection.getOutputStream(), used, event.substring(0, event.length() / 2));
      case RESET_BETWEEN_EVENTS -> connection.setSoLinger(true, 0);
      case CRASH -> close();
      default -> connection.shutdownOutput();
    }
  }

  private static void writePart(OutputStream out, Framing framing, String text) throws IOException {
    boolean chunked = framing == Framing.CHUNKED;
    write(out, chunked ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text);
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private static Thread thread(Runnable run) {
    Thread thread = new Thread(run, "streaming-endpoint");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
