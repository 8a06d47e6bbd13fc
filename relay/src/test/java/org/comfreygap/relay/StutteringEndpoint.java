package org.comfreygap.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.comfreygap.testkit.FreePorts;

/**
 * An endpoint that writes the last response of a connection once more, inside the next one.
 *
 * <p>Thread safety: each connection has a thread; the other methods may be called from any thread.
 */
final class StutteringEndpoint implements AutoCloseable {

  private static final String NAME = HeaderDialect.REQUEST + ": [^\r]*\r\n";
  private static final String FRAMING = "(Content-Length|Transfer-Encoding): [^\r]*\r\n";

  private final AcceptLoop server;
  private final AtomicInteger opened = new AtomicInteger();
  private volatile Plan plan = Plan.NONE;

  /** What marks the end of a response. */
  enum Framing {
    LENGTH,
    CHUNKS,
    CONNECTION
  }

  /** What is written once more. */
  enum Copy {
    WHOLE,
    WITHOUT_ID,
    WITHOUT_FRAMING,
    WITHOUT_ID_AND_FRAMING,
    HEAD,
    HALF,
    BEGINNING;

    String of(String response) {
      return switch (this) {
        case WHOLE -> response;
        case WITHOUT_ID -> response.replaceFirst(NAME, "");
        case WITHOUT_FRAMING -> response.replaceFirst(FRAMING, "");
        case WITHOUT_ID_AND_FRAMING -> response.replaceFirst(NAME, "").replaceFirst(FRAMING, "");
        case HEAD -> response.substring(0, response.indexOf("\r\n\r\n") + 4);
        case HALF -> response.substring(0, response.length() / 2);
        case BEGINNING -> response.substring(0, 6);
      };
    }
  }

  /**
   * How the responses to later requests of a connection are written.
   *
   * @param next framing of these responses
   * @param copy what is written inside, empty for sound responses
   * @param offset offset in the response at which the copy is written
   * @param delayMillis pause before and after the copy; 0 to write all at once
   */
  record Plan(Framing next, Optional<Copy> copy, int offset, long delayMillis) {

    static final Plan NONE = new Plan(Framing.LENGTH, Optional.empty(), 0, 0);
  }

  StutteringEndpoint() throws IOException {
    this.server = AcceptLoop.start("stuttering-endpoint", FreePorts.address(), this::serve);
  }

  InetSocketAddress address() {
    return server.address();
  }

  void setPlan(Plan next) {
    plan = next;
  }

  /** Returns the number of connections that were opened. */
  int opened() {
    return opened.get();
  }

  /** Returns the body of the response to a request. */
  static String body(String id) {
    return "id: 1\ndata: first of " + id + "\n\nid: 2\ndata: last of " + id + "\n\n";
  }

  /** Returns the bytes of a sound response. */
  static String response(String id, Framing framing) {
    String head = "HTTP/1.1 200 OK\r\n" + HeaderDialect.REQUEST + ": " + id + "\r\n";
    String body = body(id);
    int first = body.indexOf("\n\n") + 2;
    return switch (framing) {
      case LENGTH -> head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
      case CHUNKS ->
          head
              + "Transfer-Encoding: chunked\r\n\r\n"
              + chunk(body.substring(0, first))
              + chunk(body.substring(first))
              + chunk("");
      case CONNECTION -> head + "\r\n" + body;
    };
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private void serve(Socket connection) {
    opened.incrementAndGet();
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      String last = "";
      Optional<RawRequest> request = RawRequest.read(in);
      while (request.isPresent()) {
        Plan now = plan;
        Framing framing = last.isEmpty() ? Framing.LENGTH : now.next();
        String response = response(request.get().id(), framing);
        if (last.isEmpty() || now.copy().isEmpty()) {
          write(connection, response);
        } else {
          int at = Math.min(now.offset(), response.length());
          stutter(connection, response, at, now.copy().get().of(last), now.delayMillis());
          // Ends a response of which the copy has hidden the end.
          return;
        }
        if (framing == Framing.CONNECTION) {
          return;
        }
        last = response;
        request = RawRequest.read(in);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The gateway may close the connection at any time.
      return;
    }
  }

  private static void stutter(Socket to, String response, int at, String copy, long delayMillis)
      throws IOException, InterruptedException {
    if (delayMillis == 0) {
      write(to, response.substring(0, at) + copy + response.substring(at));
      return;
    }
    for (String part : List.of(response.substring(0, at), copy, response.substring(at))) {
      write(to, part);
      Thread.sleep(delayMillis);
    }
  }

  private static void write(Socket to, String text) throws IOException {
    OutputStream out = to.getOutputStream();
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }
}
