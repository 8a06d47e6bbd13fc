package org.comfreygap.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.testkit.FreePorts;

/**
 * An endpoint with a loopback address of its own that answers the first arrival of a request, at
 * whichever endpoint, in another way than the next one, as a plan says that several share.
 *
 * <p>Thread safety: each connection has a thread; the other methods may be called from any thread.
 */
final class PacedEndpoint implements AutoCloseable {

  /** Events of a stream. */
  static final int EVENTS = 4;

  private static final int MAX_WAIT_MILLIS = 2_000;

  private final String instanceId;
  private final Plan plan;
  private final AcceptLoop server;
  private volatile String version = "v1";

  /** Starts an endpoint at a host address of the loopback network. */
  PacedEndpoint(String instanceId, String host, Plan plan) throws IOException {
    this.instanceId = instanceId;
    this.plan = plan;
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getByName(host), FreePorts.address().getPort());
    this.server = AcceptLoop.start("paced-endpoint", address, this::serve);
  }

  /** How a response ends. */
  enum End {
    WHOLE,
    /** The connection closes instead of a response. */
    CLOSED,
    /** Of a stream, the connection closes after the first event. */
    AFTER_FIRST_EVENT,
    /** The endpoint failed. */
    STATUS_500,
    /** The endpoint did not run the request. */
    STATUS_421
  }

  /** From when the time before a response counts. */
  enum Since {
    ARRIVAL,
    /** The next arrival of the same request, if there is one. */
    NEXT_ARRIVAL,
    /** The answer to another arrival of the same request, if there is one. */
    OTHER_ANSWER
  }

  /** The time before a response and its end. */
  record Answer(Since since, int millis, End end) {

    static final Answer FAST = new Answer(0, End.WHOLE);

    Answer(int millis, End end) {
      this(Since.ARRIVAL, millis, end);
    }
  }

  /** What the endpoints that share it do, and what they saw. */
  static final class Plan {

    private final Map<String, List<String>> arrivals = new ConcurrentHashMap<>();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();
    private final List<String> cancelled = new CopyOnWriteArrayList<>();
    private volatile Answer first = Answer.FAST;
    private volatile Answer next = Answer.FAST;

    void set(Answer ofFirst, Answer ofNext) {
      first = ofFirst;
      next = ofNext;
      cancelled.clear();
    }

    /** Returns the endpoints at which a request arrived, in order. */
    List<String> arrivals(String id) {
      return arrivals.getOrDefault(id, List.of());
    }

    /** Returns the endpoints whose connection was closed before they answered. */
    List<String> cancelled() {
      return cancelled;
    }

    private boolean isReached(Since since, String id) {
      return switch (since) {
        case ARRIVAL -> true;
        case NEXT_ARRIVAL -> arrivals(id).size() > 1;
        case OTHER_ANSWER -> answered.contains(id);
      };
    }

    private Answer arrived(String id, String endpoint) {
      List<String> all = arrivals.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>());
      synchronized (all) {
        all.add(endpoint);
        return all.size() == 1 ? first : next;
      }
    }
  }

  /** Sets the version of the endpoint's software in the list. */
  PacedEndpoint version(String next) {
    version = next;
    return this;
  }

  /** Returns this endpoint's line in the list. */
  String listed() {
    return instanceId + " " + Addresses.text(server.address()) + " " + version + "\n";
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void serve(Socket connection) {
    try {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      Optional<RawRequest> request = RawRequest.read(in);
      while (request.isPresent()) {
        Answer answer = plan.arrived(request.get().id(), instanceId);
        if (isClosedBefore(connection, in, request.get().id(), answer)) {
          plan.cancelled.add(instanceId);
          plan.answered.add(request.get().id());
          break;
        }
        boolean keeps = write(connection.getOutputStream(), request.get(), answer.end());
        if (!keeps) {
          connection.close();
        }
        plan.answered.add(request.get().id());
        if (!keeps) {
          return;
        }
        request = RawRequest.read(in);
      }
      connection.close();
    } catch (IOException e) {
      // The gateway may close the connection at any time.
      return;
    }
  }

  private boolean isClosedBefore(Socket connection, InputStream in, String id, Answer answer)
      throws IOException {
    for (int waited = 0; !plan.isReached(answer.since(), id) && waited < MAX_WAIT_MILLIS; ) {
      if (isClosedWithin(connection, in, 1)) {
        return true;
      }
      waited++;
    }
    return isClosedWithin(connection, in, answer.millis());
  }

  private static boolean isClosedWithin(Socket connection, InputStream in, int millis)
      throws IOException {
    if (millis == 0) {
      return false;
    }
    connection.setSoTimeout(millis);
    try {
      return in.read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } finally {
      connection.setSoTimeout(0);
    }
  }

  /** Writes a response; returns false when the connection ends with it. */
  private boolean write(OutputStream out, RawRequest request, End end) throws IOException {
    if (end == End.CLOSED) {
      return false;
    }
    boolean stream = request.path().startsWith("/resumable") || request.path().startsWith("/once");
    String head = "\r\n" + HeaderDialect.REQUEST + ": " + request.id() + "\r\n";
    if (end == End.STATUS_500 || end == End.STATUS_421) {
      String status = end == End.STATUS_500 ? "500 Failed" : "421 Not run";
      write(out, "HTTP/1.1 " + status + head + "Content-Length: 0\r\n\r\n");
      return true;
    }
    if (!stream) {
      String length = "Content-Length: " + instanceId.length();
      write(out, "HTTP/1.1 200 OK" + head + length + "\r\n\r\n" + instanceId);
      return true;
    }
    write(out, "HTTP/1.1 200 OK" + head + "Transfer-Encoding: chunked\r\n\r\n");
    int last = request.lastEventId().map(Integer::parseInt).orElse(0);
    for (int id = last + 1; id <= EVENTS; id++) {
      String event = "id: " + id + "\ndata: " + instanceId + "\n\n";
      write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      if (end == End.AFTER_FIRST_EVENT) {
        return false;
      }
    }
    write(out, "0\r\n\r\n");
    return true;
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }
}
