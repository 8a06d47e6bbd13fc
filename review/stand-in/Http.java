import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A minimal reader of HTTP/1.1 messages. */
final class Http {

  private Http() {}

  /** A message; the body is complete as far as its framing tells. */
  record Message(String startLine, Map<String, String> headers, byte[] body, boolean whole) {

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String path() {
      return startLine.split(" ")[1];
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads a request, or returns null at the end of the connection. */
  static Message readRequest(InputStream in) throws IOException {
    return read(in, true);
  }

  /** Reads a response, or returns null when the connection ends before its first byte. */
  static Message readResponse(InputStream in) throws IOException {
    return read(in, false);
  }

  private static Message read(InputStream in, boolean request) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = required(in); !line.isEmpty(); line = required(in)) {
      int colon = line.indexOf(':');
      if (colon < 0) {
        throw new IOException("malformed header line: " + line);
      }
      headers.putIfAbsent(
          line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).strip());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean whole = true;
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      whole = readChunks(in, body);
    } else if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      byte[] bytes = in.readNBytes(length);
      body.write(bytes);
      whole = bytes.length == length;
    } else if (!request) {
      // The end of the connection is the end of the body; a reset throws an exception.
      body.write(in.readAllBytes());
    }
    return new Message(start, headers, body.toByteArray(), whole);
  }

  private static boolean readChunks(InputStream in, ByteArrayOutputStream body)
      throws IOException {
    while (true) {
      String size = readLine(in);
      if (size == null || size.isEmpty()) {
        return false;
      }
      int length = Integer.parseInt(size.strip(), 16);
      if (length == 0) {
        return "".equals(readLine(in));
      }
      byte[] bytes = in.readNBytes(length);
      body.write(bytes);
      if (bytes.length < length || readLine(in) == null) {
        return false;
      }
    }
  }

  private static String required(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      throw new EOFException("the connection ended inside a head");
    }
    return line;
  }

  /** Returns a line without its end, or null at the end of the connection. */
  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
