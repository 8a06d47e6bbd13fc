package org.comfreygap.relay;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A caller that sends one request and reads what comes as fast as it can, without keeping it.
 *
 * <p>Thread safety: a thread of its own reads; all methods may be called from any thread.
 */
final class RawCaller implements AutoCloseable {

  private static final int READ_BYTES = 64 * 1024;

  private final Socket socket = new Socket();
  private final AtomicLong received = new AtomicLong();
  private final AtomicLong carriageReturns = new AtomicLong();

  private RawCaller() {}

  static RawCaller post(InetSocketAddress gateway, String path, String id) throws IOException {
    RawCaller caller = new RawCaller();
    caller.socket.connect(gateway);
    String head =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 0\r\n"
            + HeaderDialect.REQUEST
            + ": "
            + id
            + "\r\n\r\n";
    caller.socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    Thread thread = new Thread(caller::read, "raw-caller");
    thread.setDaemon(true);
    thread.start();
    return caller;
  }

  /** Returns the number of bytes received so far. */
  long received() {
    return received.get();
  }

  /** Returns the number of chunks received, whose framing alone has lines that end with CR. */
  long chunkLines() {
    return carriageReturns.get() / 2;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private void read() {
    byte[] buffer = new byte[READ_BYTES];
    try {
      InputStream in = socket.getInputStream();
      int read = in.read(buffer);
      while (read >= 0) {
        for (int i = 0; i < read; i++) {
          carriageReturns.addAndGet(buffer[i] == '\r' ? 1 : 0);
        }
        received.addAndGet(read);
        read = in.read(buffer);
      }
    } catch (IOException e) {
      // The connection was reset, or closed by the test.
      return;
    }
  }
}
