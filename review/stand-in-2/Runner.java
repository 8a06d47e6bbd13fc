import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A runner: a sound server of one service, whose answers a case may replace. */
final class Runner implements AutoCloseable {

  final String id;
  final String ip;
  final int port;
  private final Behaviour behaviour;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;

  Runner(String id, String ip, int port, Behaviour behaviour) throws IOException {
    this.id = id;
    this.ip = ip;
    this.port = port;
    this.behaviour = behaviour;
    listen();
  }

  /** Answers requests; health checks are answered before. */
  interface Behaviour {

    /** Answers a request; throws to break the channel off. */
    void answer(Runner runner, Http.Head head, byte[] body, OutputStream out) throws Exception;
  }

  /** Returns the runner's entry in the platform's list. */
  String entry(String service, String zone, String version, int slots, String state) {
    return String.format(
        "{\"id\":\"%s\",\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
            + "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\",\"cold-left-ms\":0}",
        id, service, ip, port, zone, version, slots, state);
  }

  /** Ends as a process does that is killed: all channels close and the port refuses. */
  void crash() {
    try {
      server.close();
    } catch (IOException e) {
      // It is closed.
    }
    for (Socket one : open) {
      try {
        one.setSoLinger(true, 0);
        one.close();
      } catch (IOException e) {
        // It is closed.
      }
    }
  }

  /** Starts again at the same address. */
  void listen() throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
    server = opened;
    daemon("runner " + id, () -> accept(opened));
  }

  /** Writes an answer with a length and the runner's proof. */
  static void respond(OutputStream out, Http.Head request, int status, String more, String text)
      throws IOException {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 "
            + status
            + " Status\r\nX-Request-Id: "
            + request.field("x-request-id")
            + "\r\nX-Response-Stamp: stamp."
            + request.field("x-request-id")
            + "\r\nContent-Length: "
            + body.length
            + "\r\n"
            + more
            + "\r\n";
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  @Override
  public void close() {
    crash();
  }

  private void accept(ServerSocket opened) {
    while (!opened.isClosed()) {
      try {
        Socket socket = opened.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        daemon("channel of " + id, () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = new BufferedOutputStream(socket.getOutputStream());
      while (true) {
        Http.Head head = Http.readHead(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = head.field("content-length");
        Http.copy(in, length.isEmpty() ? 0 : Integer.parseInt(length), body);
        if (head.line().startsWith("GET /health ")) {
          out.write(
              ("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
          out.flush();
        } else if (!head.field("x-expect-instance").isEmpty()
            && !head.field("x-expect-instance").equals(id)) {
          respond(out, head, 421, "X-Not-Executed: 1\r\nX-Instance-Id: " + id + "\r\n", "");
        } else {
          behaviour.answer(this, head, body.toByteArray(), out);
        }
      }
    } catch (Exception e) {
      // The channel has ended, or the behaviour breaks it off.
    } finally {
      open.remove(socket);
    }
  }

  static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
