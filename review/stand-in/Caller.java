import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A requester with one kept channel, which it opens again when it was closed. */
final class Caller implements AutoCloseable {

  private final String host;
  private Socket socket;
  private InputStream in;

  Caller(String host) {
    this.host = host;
  }

  /** Sends a request and returns its answer; null when the channel ends before its first byte. */
  Http.Message send(String id, String path, String key, int deadlineMillis, String body)
      throws IOException {
    if (socket == null) {
      socket = new Socket();
      socket.connect(new InetSocketAddress(host, Deployment.FRONT), 1_000);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }
    socket.setSoTimeout(deadlineMillis + 1_000);
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: "
            + id
            + "\r\nX-Deadline-Ms: "
            + deadlineMillis
            + "\r\nApi-Key: "
            + key
            + "\r\nContent-Length: "
            + bytes.length
            + "\r\n\r\n"
            + body;
    try {
      socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      Http.Message answer = Http.readResponse(in);
      if (answer == null || answer.header("connection").equalsIgnoreCase("close")) {
        close();
      }
      return answer;
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  @Override
  public void close() throws IOException {
    if (socket != null) {
      socket.close();
      socket = null;
    }
  }
}
