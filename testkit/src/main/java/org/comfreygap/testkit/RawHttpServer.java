package org.comfreygap.testkit;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A minimal HTTP/1.1 server on plain sockets. The fakes use it instead of a library because they
 * search every received byte, including trailers, and silence, drop and refuse connections.
 *
 * <p>Invariant: each connection has its own thread, which handles its requests in sequence. Thread
 * safety: all public methods may be called from any thread.
 *
 * @since 0.1
 */
public final class RawHttpServer implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(RawHttpServer.class);

  private static final int MAX_LINE_BYTES = 65_536;
  private static final int BACKLOG = 512;

  private final ServerSocket listener;
  private final Handler handler;
  private final ExecutorService threads;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean refusingNewConnections;

  /**
   * Binds {@code address} and starts accepting connections.
   *
   * @throws IOException when the address cannot be bound
   */
  public RawHttpServer(InetSocketAddress address, Handler handler) throws IOException {
    this.handler = handler;
    this.listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(address, BACKLOG);
    this.threads =
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "fake-" + listener.getLocalPort());
              thread.setDaemon(true);
              return thread;
            });
    threads.execute(this::accept);
  }

  /** Returns the listening port. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Drops all bytes on open connections in both directions; new connections work. */
  public void silenceOpenConnections() {
    connections.forEach(connection -> connection.silenced = true);
  }

  /** Closes every open connection. */
  public void dropOpenConnections() {
    connections.forEach(Connection::close);
  }

  /** Sets whether new connections are closed immediately. */
  public void refuseNewConnections(boolean refuseNew) {
    refusingNewConnections = refuseNew;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    dropOpenConnections();
    threads.shutdownNow();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        if (refusingNewConnections) {
          socket.setSoLinger(true, 0);
          socket.close();
          continue;
        }
        socket.setTcpNoDelay(true);
        Connection connection = new Connection(socket);
        connections.add(connection);
        threads.execute(() -> serve(connection));
      } catch (IOException e) {
        if (listener.isClosed()) {
          return;
        }
      }
    }
  }

  private void serve(Connection connection) {
    try (Socket socket = connection.socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      boolean open = true;
      while (open) {
        Request request = readRequest(in, connection);
        if (connection.silenced) {
          connection.discardInput(in);
          return;
        }
        Response response = new Response(connection);
        try {
          handler.handle(request, response);
          open = response.ended && !"close".equalsIgnoreCase(request.header("connection"));
        } catch (SilencedException e) {
          connection.discardInput(in);
          return;
        }
      }
    } catch (IOException e) {
      LOG.debug("connection closed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connections.remove(connection);
    }
  }

  private static Request readRequest(InputStream in, Connection connection) throws IOException {
    ByteArrayOutputStream raw = new ByteArrayOutputStream();
    String[] start = readLine(in, raw).split(" ");
    if (start.length < 2) {
      throw new IOException(
          "request line has " + start.length + " parts, expected method, target and version");
    }
    Map<String, String> headers = readHeaders(in, raw);
    if (headers.containsKey("expect")) {
      connection.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }
    byte[] body = readBody(in, raw, headers);
    return new Request(start[0], start[1], headers, body, raw.toByteArray());
  }

  private static Map<String, String> readHeaders(InputStream in, ByteArrayOutputStream raw)
      throws IOException {
    Map<String, String> headers = new TreeMap<>();
    String line = readLine(in, raw);
    while (!line.isEmpty()) {
      int colon = line.indexOf(':');
      if (colon > 0) {
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      }
      line = readLine(in, raw);
    }
    return headers;
  }

  private static byte[] readBody(
      InputStream in, ByteArrayOutputStream raw, Map<String, String> headers) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      int size = Integer.parseInt(readLine(in, raw).split(";")[0].trim(), 16);
      while (size > 0) {
        body.write(in.readNBytes(size));
        readLine(in, raw);
        size = Integer.parseInt(readLine(in, raw).split(";")[0].trim(), 16);
      }
      readHeaders(in, raw);
    } else {
      int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException("body ended after " + bytes.length + " of " + length + " bytes");
      }
      body.write(bytes);
    }
    raw.write(body.toByteArray());
    return body.toByteArray();
  }

  private static String readLine(InputStream in, ByteArrayOutputStream raw) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next != '\n') {
      if (next < 0 || line.size() > MAX_LINE_BYTES) {
        throw new EOFException(
            "connection closed, or line longer than " + MAX_LINE_BYTES + " bytes");
      }
      raw.write(next);
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    raw.write('\n');
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Handles requests. Called on the connection's thread. */
  @FunctionalInterface
  public interface Handler {

    /** Handles {@code request}; the connection closes if the response is not ended. */
    void handle(Request request, Response response) throws IOException, InterruptedException;
  }

  /**
   * A request as received; {@code raw} holds its bytes including headers, body and trailers.
   *
   * @param method HTTP method
   * @param target path and query as sent
   * @param headers values by lower-case name
   * @param body decoded body
   * @param raw received bytes, without chunk framing of the body
   */
  public record Request(
      String method, String target, Map<String, String> headers, byte[] body, byte[] raw) {

    /** Returns the header with the given lower-case name, or the empty string. */
    public String header(String name) {
      return headers.getOrDefault(name, "");
    }

    /** Returns the path without the query. */
    public String path() {
      int question = target.indexOf('?');
      return question < 0 ? target : target.substring(0, question);
    }

    /** Returns the first value of a query parameter, or {@code defaultValue}. */
    public String query(String name, String defaultValue) {
      int question = target.indexOf('?');
      if (question >= 0) {
        for (String pair : target.substring(question + 1).split("&")) {
          if (pair.startsWith(name + "=")) {
            return pair.substring(name.length() + 1);
          }
        }
      }
      return defaultValue;
    }
  }

  /** Writes one response. Confined to the connection's thread. */
  public static final class Response {

    private final Connection connection;
    private boolean ended;

    private Response(Connection connection) {
      this.connection = connection;
    }

    /** Sends a complete response with a content length. */
    public void send(int status, Map<String, String> headers, byte[] body) throws IOException {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.write(head(status, headers, "content-length: " + body.length));
      out.write(body);
      connection.write(out.toByteArray());
      ended = true;
    }

    /** Starts a chunked response. */
    public void beginChunked(int status, Map<String, String> headers) throws IOException {
      connection.write(head(status, headers, "transfer-encoding: chunked"));
    }

    /** Sends one chunk; does nothing if {@code bytes} is empty. */
    public void sendChunk(byte[] bytes) throws IOException {
      if (bytes.length == 0) {
        return;
      }
      ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length + 16);
      out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.write(bytes);
      out.write('\r');
      out.write('\n');
      connection.write(out.toByteArray());
    }

    /** Ends a chunked response. */
    public void endChunked() throws IOException {
      connection.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      ended = true;
    }

    private static byte[] head(int status, Map<String, String> headers, String framing) {
      StringBuilder head = new StringBuilder("HTTP/1.1 ").append(status).append(" status\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      return head.append(framing).append("\r\n\r\n").toString().getBytes(StandardCharsets.US_ASCII);
    }
  }

  private static final class SilencedException extends IOException {

    private static final long serialVersionUID = 1L;
  }

  private static final class Connection {

    private final Socket socket;
    private volatile boolean silenced;

    Connection(Socket socket) {
      this.socket = socket;
    }

    void write(byte[] bytes) throws IOException {
      if (silenced) {
        throw new SilencedException();
      }
      BufferedOutputStream out = new BufferedOutputStream(socket.getOutputStream(), bytes.length);
      out.write(bytes);
      out.flush();
    }

    void discardInput(InputStream in) throws IOException {
      byte[] discarded = new byte[4_096];
      int count = in.read(discarded);
      while (count >= 0) {
        count = in.read(discarded);
      }
    }

    void close() {
      try {
        socket.close();
      } catch (IOException e) {
        LOG.debug("closing the socket failed", e);
      }
    }
  }
}
