import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner of a plain service: runs some requests at once, queues a few and sheds the rest. */
class Runner implements AutoCloseable {

  static final int PORT = 18228;

  final String id;
  final String ip;
  final String service;
  final int slots;
  final int queue;
  final Record record;
  volatile String state = "ready";
  final AtomicInteger present = new AtomicInteger();
  final Set<Socket> open = ConcurrentHashMap.newKeySet();
  /** Numbers of runs by request id, over all runners. */
  final Map<String, AtomicInteger> runs;
  private final ServerSocket acceptor;

  Runner(
      String id,
      String ip,
      String service,
      int slots,
      int queue,
      Record record,
      Map<String, AtomicInteger> runs)
      throws IOException {
    this.id = id;
    this.ip = ip;
    this.service = service;
    this.slots = slots;
    this.queue = queue;
    this.record = record;
    this.runs = runs;
    this.acceptor = new ServerSocket(PORT, 256, InetAddress.getByName(ip));
    daemon(this::accept);
  }

  /** Returns this runner's entry of the platform's list. */
  String entry(String zone) {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + ip
        + ":"
        + PORT
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"v1\",\"slots\":"
        + slots
        + ",\"state\":\""
        + state
        + "\",\"cold-left-ms\":0,\"id\":\""
        + id
        + "\"}";
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!acceptor.isClosed()) {
      try {
        Socket socket = acceptor.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message request = Http.readRequest(in);
          request != null;
          request = Http.readRequest(in)) {
        if (!answer(request, out)) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The caller has closed the connection, or this runner ends.
    } finally {
      open.remove(socket);
    }
  }

  private boolean answer(Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String requestId = request.header("x-request-id");
    String expected = request.header("x-expect-instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      out.write(head("421 Misdirected Request", requestId, "", 0));
      return true;
    }
    if (request.path().equals("/health")) {
      boolean well = state.equals("ready");
      out.write(head(well ? "200 OK" : "503 Service Unavailable", requestId, "", 0));
      return true;
    }
    return serve(request, requestId, out);
  }

  /** Answers a request; false when the connection is to be closed. */
  boolean serve(Http.Message request, String requestId, OutputStream out)
      throws IOException, InterruptedException {
    throw new IOException("not expected");
  }

  /** Records that a request begins to run. */
  void recordRun(String requestId) {
    int count = runs.computeIfAbsent(requestId, key -> new AtomicInteger()).incrementAndGet();
    record.add("request %s: run %d, at %s", requestId, count, id);
  }

  /** Returns the head of a response. */
  byte[] head(String status, String requestId, String extra, int length) {
    return ("HTTP/1.1 "
            + status
            + "\r\n"
            + extra
            + "Date: "
            + DateTimeFormatter.RFC_1123_DATE_TIME.format(ZonedDateTime.now(ZoneOffset.UTC))
            + "\r\nContent-Type: application/octet-stream\r\nX-Server-Load: "
            + Math.min(slots, present.get())
            + ","
            + Math.max(0, present.get() - slots)
            + ","
            + slots
            + "\r\nX-Instance-Id: "
            + id
            + "\r\nX-Request-Id: "
            + requestId
            + (length < 0 ? "" : "\r\nContent-Length: " + length)
            + "\r\n\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    acceptor.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
