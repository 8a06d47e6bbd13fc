import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** The platform's list of runners, {@code GET /instances}, on one page. */
final class PlatformList implements AutoCloseable {

  private final ServerSocket acceptor;
  private final Supplier<String> entries;

  PlatformList(String ip, Supplier<String> entries) throws IOException {
    this.entries = entries;
    this.acceptor = new ServerSocket(Deployment.LIST, 64, InetAddress.getByName(ip));
    Runner.daemon(this::accept);
  }

  private void accept() {
    while (!acceptor.isClosed()) {
      try {
        Socket socket = acceptor.accept();
        Runner.daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (Http.readRequest(in) != null) {
        byte[] body =
            ("{\"instances\":[" + entries.get() + "],\"next\":null}")
                .getBytes(StandardCharsets.UTF_8);
        String head =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length
                + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    }
  }

  @Override
  public void close() throws IOException {
    acceptor.close();
  }
}
