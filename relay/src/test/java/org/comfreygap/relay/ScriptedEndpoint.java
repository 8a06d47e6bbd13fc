package org.comfreygap.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.testkit.FreePorts;

/**
 * An endpoint that writes given bytes in response to a request, and keeps its connections open.
 *
 * <p>Thread safety: each connection has a thread; the other methods may be called from any thread.
 */
final class ScriptedEndpoint implements AutoCloseable {

  private final String instanceId;
  private final ServerSocket socket;
  private final ConcurrentLinkedQueue<List<Reply>> script = new ConcurrentLinkedQueue<>();
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final List<RawRequest> requests = new CopyOnWriteArrayList<>();
  private final AtomicInteger opened = new AtomicInteger();
  private final AtomicInteger further = new AtomicInteger();
  private volatile String lastRefused = "";
  private volatile String lastResponse = "";
  private volatile int copied;
  private volatile String status = "200 OK";

  /** A response, or a copy of an earlier one. */
  enum Reply {
    /** A whole response to the request. */
    WHOLE,
    /** A refusal of the request, which it does not run. */
    REFUSAL,
    /** A refusal of the request that does not name it. */
    REFUSAL_WITHOUT_ID,
    /** The last refusal once more. */
    COPY_OF_REFUSAL,
    /** The last refusal once more, without the id of its request. */
    COPY_WITHOUT_ID,
    /** A failure of the request, which ran. */
    FAILURE,
    /** The same as {@link #WHOLE}, in chunks. */
    WHOLE_IN_CHUNKS,
    /** The beginning of the last response once more, as long as set. */
    BEGINNING_OF_COPY,
    /** The last response once more. */
    COPY,
    /** The last response once more, without the id of its request. */
    NAMELESS_COPY,
    /** The last response once more, without its length or the mark of its chunks. */
    UNFRAMED_COPY,
    /** Nothing for 60 ms. */
    PAUSE
  }

  ScriptedEndpoint(String instanceId) throws IOException {
    this.instanceId = instanceId;
    this.socket = new ServerSocket();
    socket.bind(FreePorts.address());
    thread(this::accept);
  }

  /** Sets what is written for the next requests; later ones get a whole response. */
  @SafeVarargs
  final void setNext(List<Reply>... replies) {
    script.clear();
    script.addAll(List.of(replies));
  }

  /** Sets the status, with or without a reason, of the next responses that are whole. */
  void setStatus(String text) {
    status = text;
  }

  /** Sets how many bytes of a copy are written; at most all but the last. */
  void setCopied(int bytes) {
    copied = bytes;
  }

  String listed() {
    return instanceId + " " + Addresses.text(address()) + " v1\n";
  }

  InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  /** Returns the requests in the order of their arrival. */
  List<RawRequest> requests() {
    return requests;
  }

  /** Returns the number of connections that were opened. */
  int opened() {
    return opened.get();
  }

  /** Returns the number of requests that came behind another one on their connection. */
  int furtherRequests() {
    return further.get();
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
        connection.setTcpNoDelay(true);
        opened.incrementAndGet();
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
      while (request.isPresent()) {
        requests.add(request.get());
        List<Reply> replies = Optional.ofNullable(script.poll()).orElse(List.of(Reply.WHOLE));
        reply(connection, request.get().id(), replies);
        request = RawRequest.read(in);
        further.addAndGet(request.isPresent() ? 1 : 0);
      }
      connection.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The gateway may close the connection at any time.
      return;
    }
  }

  private void reply(Socket connection, String id, List<Reply> replies)
      throws IOException, InterruptedException {
    List<String> pending = new ArrayList<>();
    for (Reply reply : replies) {
      if (reply == Reply.PAUSE) {
        write(connection, pending);
        Thread.sleep(60);
      } else if (reply == Reply.BEGINNING_OF_COPY) {
        pending.add(lastResponse.substring(0, Math.min(copied, lastResponse.length() - 1)));
      } else if (reply == Reply.COPY) {
        pending.add(lastResponse);
      } else if (reply == Reply.NAMELESS_COPY) {
        pending.add(lastResponse.replaceFirst(HeaderDialect.REQUEST + ": [^\r]*\r\n", ""));
      } else if (reply == Reply.UNFRAMED_COPY) {
        pending.add(
            lastResponse.replaceFirst("(Content-Length|Transfer-Encoding): [^\r]*\r\n", ""));
      } else {
        String response = text(reply, id);
        lastResponse = response;
        pending.add(response);
      }
    }
    write(connection, pending);
  }

  private static void write(Socket connection, List<String> pending) throws IOException {
    String text = String.join("", pending);
    pending.clear();
    connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    connection.getOutputStream().flush();
  }

  private String text(Reply reply, String id) {
    if (reply == Reply.REFUSAL || reply == Reply.REFUSAL_WITHOUT_ID) {
      lastRefused = id;
    }
    String named = HeaderDialect.REQUEST + ": " + id + "\r\n";
    return switch (reply) {
      case WHOLE -> "HTTP/1.1 " + status + "\r\n" + named + "Content-Length: 5\r\n\r\nwhole";
      case WHOLE_IN_CHUNKS ->
          "HTTP/1.1 "
              + status
              + "\r\n"
              + named
              + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
      case FAILURE ->
          "HTTP/1.1 500 Internal Server Error\r\n" + named + "Content-Length: 5\r\n\r\nfault";
      case REFUSAL -> refusal(named);
      case COPY_OF_REFUSAL -> refusal(HeaderDialect.REQUEST + ": " + lastRefused + "\r\n");
      default -> refusal("");
    };
  }

  private static String refusal(String header) {
    return "HTTP/1.1 421 Misdirected Request\r\n" + header + "Content-Length: 0\r\n\r\n";
  }

  private static void thread(Runnable run) {
    Thread thread = new Thread(run, "scripted-endpoint");
    thread.setDaemon(true);
    thread.start();
  }
}
