package org.comfreygap.relay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * The head of a request as an endpoint of a test reads it; the body is read and discarded.
 *
 * <p>Thread safety: immutable.
 */
record RawRequest(
    String path, String id, String customer, String parts, Optional<String> lastEventId) {

  static Optional<RawRequest> read(InputStream in) throws IOException {
    String line = line(in);
    if (line.isEmpty()) {
      return Optional.empty();
    }
    String id = "";
    String customer = "";
    String promptParts = "";
    Optional<String> lastEventId = Optional.empty();
    int length = 0;
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      String[] parts = header.split(":", 2);
      String field = parts[0].toLowerCase(Locale.ROOT);
      id = field.equals(HeaderDialect.REQUEST.toLowerCase(Locale.ROOT)) ? parts[1].strip() : id;
      customer =
          field.equals(HeaderDialect.CUSTOMER.toLowerCase(Locale.ROOT))
              ? parts[1].strip()
              : customer;
      promptParts =
          field.equals(HeaderDialect.PARTS.toLowerCase(Locale.ROOT))
              ? parts[1].strip()
              : promptParts;
      lastEventId = field.equals("last-event-id") ? Optional.of(parts[1].strip()) : lastEventId;
      length = field.equals("content-length") ? Integer.parseInt(parts[1].strip()) : length;
    }
    in.readNBytes(length);
    return Optional.of(new RawRequest(line.split(" ")[1], id, customer, promptParts, lastEventId));
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
      if (b != '\r') {
        bytes.write(b);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }
}
