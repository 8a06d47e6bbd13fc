import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The parts of HTTP/1.1 that the stand-ins read and write themselves. */
final class Http {

  private Http() {}

  /** First line and header fields, the names of which are in lower case. */
  record Head(String line, Map<String, String> fields) {

    String field(String name) {
      return fields.getOrDefault(name, "");
    }
  }

  /**
   * What a requester got.
   *
   * @param status 0 when the channel ended without an answer
   * @param whole true when the end of the answer arrived
   * @param end how it ended, for the record
   */
  record Answer(int status, Map<String, String> fields, byte[] body, boolean whole, String end) {

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** A channel of a requester. */
  static final class Channel implements AutoCloseable {

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Channel(InetSocketAddress address) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(address, 1_000);
      in = new BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    void send(String head, byte[] body) throws IOException {
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(body);
      out.flush();
    }

    /** Reads an answer; what had arrived when the channel ended is part of it. */
    Answer receive(int timeoutMillis) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      int status = 0;
      Map<String, String> fields = Map.of();
      try {
        socket.setSoTimeout(timeoutMillis);
        Head head = readHead(in);
        status = Integer.parseInt(head.line().split(" ")[1]);
        fields = head.fields();
        String end = readBody(head, body);
        return new Answer(status, fields, body.toByteArray(), true, end);
      } catch (EOFException e) {
        return new Answer(status, fields, body.toByteArray(), false, "closed");
      } catch (IOException | RuntimeException e) {
        return new Answer(status, fields, body.toByteArray(), false, e.toString());
      }
    }

    private String readBody(Head head, ByteArrayOutputStream body) throws IOException {
      if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
        while (true) {
          String line = readLine(in);
          int size = Integer.parseInt(line.split(";")[0].strip(), 16);
          copy(in, size, body);
          readLine(in);
          if (size == 0) {
            return "last chunk";
          }
        }
      }
      if (head.fields().containsKey("content-length")) {
        copy(in, Integer.parseInt(head.field("content-length")), body);
        return "length";
      }
      int next = in.read();
      while (next >= 0) {
        body.write(next);
        next = in.read();
      }
      return "end of the channel";
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // The channel is of no use any more either way.
      }
    }
  }

  /** Returns a request head with the fields that every request has. */
  static String head(String method, String path, String id, int length, String more) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: "
        + id
        + "\r\nContent-Length: "
        + length
        + "\r\n"
        + more
        + "\r\n";
  }

  static Head readHead(InputStream in) throws IOException {
    String line = readLine(in);
    Map<String, String> fields = new LinkedHashMap<>();
    String field = readLine(in);
    while (!field.isEmpty()) {
      int colon = field.indexOf(':');
      fields.put(field.substring(0, colon).toLowerCase(), field.substring(colon + 1).strip());
      field = readLine(in);
    }
    return new Head(line, fields);
  }

  static void copy(InputStream in, int count, OutputStream to) throws IOException {
    byte[] part = new byte[16 * 1024];
    int left = count;
    while (left > 0) {
      int read = in.read(part, 0, Math.min(left, part.length));
      if (read < 0) {
        throw new EOFException();
      }
      to.write(part, 0, read);
      left -= read;
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = in.read();
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException();
      }
      if (next != '\r') {
        line.append((char) next);
      }
      next = in.read();
    }
    return line.toString();
  }
}
