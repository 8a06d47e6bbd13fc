package org.comfreygap.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.servlet.ServletOutputStream;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.comfreygap.decisions.Outcome;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.BufferUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP response to one caller.
 *
 * <p>Invariant: a response is either complete or recognizably truncated: after a failure the
 * connection is closed before the end of the body is sent. Thread safety: not thread-safe; one
 * thread at a time.
 *
 * @since 0.1
 */
public final class CallerResponse {

  /** Header with the request id. */
  public static final String REQUEST_ID_HEADER = "Comfreygap-Request-Id";

  /** Header with the outcome: whether the request ran. */
  public static final String OUTCOME_HEADER = "Comfreygap-Outcome";

  /** Maximum total time that writes may block on a caller that does not read its response. */
  static final Duration MAX_WRITE_BLOCK_TIME = Duration.ofSeconds(30);

  private static final Logger LOG = LoggerFactory.getLogger(CallerResponse.class);
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int PIPELINE_BUFFER_BYTES = 1_024;

  private final HttpServletRequest request;
  private final HttpServletResponse response;
  private final String requestId;
  private final BooleanSupplier closeRequested;
  private boolean started;
  private int status;
  private long blockedNanos;

  /**
   * Creates a response that has not been started.
   *
   * @param closeRequested returns true while the caller should open its next connection to another
   *     gateway
   */
  CallerResponse(
      HttpServletRequest request,
      HttpServletResponse response,
      String requestId,
      BooleanSupplier closeRequested) {
    this.request = request;
    this.response = response;
    this.requestId = requestId;
    this.closeRequested = closeRequested;
  }

  /** Returns true once the response was started and its status is final. */
  public boolean started() {
    return started;
  }

  /** Returns the status sent, or 0 before the response is started. */
  public int status() {
    return status;
  }

  /**
   * Starts the response.
   *
   * @param contentLength length of the body in bytes, or -1 when unknown
   */
  public void start(int code, Map<String, String> headers, Outcome outcome, long contentLength) {
    started = true;
    status = code;
    response.setStatus(code);
    headers.forEach(response::setHeader);
    response.setHeader(REQUEST_ID_HEADER, requestId);
    response.setHeader(OUTCOME_HEADER, outcome.headerValue());
    if (closeRequested.getAsBoolean() || hasUnreadBody()) {
      response.setHeader("Connection", "close");
    }
    if (contentLength >= 0) {
      response.setContentLengthLong(contentLength);
    }
  }

  /**
   * Returns true when the request body was not read to its end, since the server then closes the
   * connection.
   */
  private boolean hasUnreadBody() {
    boolean hasBody =
        request.getContentLengthLong() > 0 || request.getHeader("Transfer-Encoding") != null;
    try {
      return hasBody && !request.getInputStream().isFinished();
    } catch (IOException e) {
      LOG.debug("cannot read the request body; the connection will be closed", e);
      return true;
    }
  }

  /**
   * Sends bytes of the body immediately.
   *
   * @throws CallerDisconnected when the caller disconnected or reads too slowly
   */
  public void write(byte[] bytes, int offset, int length) throws CallerDisconnected {
    long before = System.nanoTime();
    try {
      ServletOutputStream out = response.getOutputStream();
      out.write(bytes, offset, length);
      out.flush();
    } catch (IOException e) {
      throw new CallerDisconnected("the connection to the caller failed", e);
    }
    blockedNanos += System.nanoTime() - before;
    if (blockedNanos > MAX_WRITE_BLOCK_TIME.toNanos()) {
      throw new CallerDisconnected(
          "the caller reads the response too slowly: writes were blocked for more than "
              + MAX_WRITE_BLOCK_TIME.toSeconds()
              + " s",
          null);
    }
  }

  /**
   * Sends a complete response.
   *
   * @throws CallerDisconnected when the caller disconnected
   */
  public void send(int code, Map<String, String> headers, Outcome outcome, byte[] body)
      throws CallerDisconnected {
    start(code, headers, outcome, body.length);
    try {
      ServletOutputStream out = response.getOutputStream();
      out.write(body);
      out.close();
    } catch (IOException e) {
      throw new CallerDisconnected("the connection to the caller failed", e);
    }
  }

  /**
   * Ends a body sent with {@link #write}.
   *
   * @throws CallerDisconnected when the caller disconnected
   */
  public void end() throws CallerDisconnected {
    try {
      response.getOutputStream().close();
    } catch (IOException e) {
      throw new CallerDisconnected("the connection to the caller failed", e);
    }
  }

  /**
   * Sends an error as the complete response.
   *
   * @throws CallerDisconnected when the caller disconnected
   */
  public void sendError(RequestRefused refused) throws CallerDisconnected {
    byte[] body = errorBody(refused, requestId).getBytes(StandardCharsets.UTF_8);
    long retryAfter = refused.retryAfterMillis();
    Map<String, String> headers =
        retryAfter > 0
            ? Map.of(
                "Content-Type",
                "application/json",
                "Retry-After",
                Long.toString(retryAfterSeconds(retryAfter)))
            : Map.of("Content-Type", "application/json");
    send(refused.error().status(), headers, refused.outcome(), body);
  }

  /**
   * Ends an event stream with an error event.
   *
   * @throws CallerDisconnected when the caller disconnected
   */
  public void sendErrorEvent(RequestRefused refused) throws CallerDisconnected {
    byte[] event =
        ("data: " + errorBody(refused, requestId) + "\n\n").getBytes(StandardCharsets.UTF_8);
    write(event, 0, event.length);
    end();
  }

  /**
   * Checks that the caller has not closed its connection. Requires that the request body was read
   * to its end; bytes of a pipelined request are passed back to the connection.
   *
   * @throws CallerDisconnected when the connection is closed
   */
  public void checkConnected() throws CallerDisconnected {
    Connection connection = connection();
    ByteBuffer next = BufferUtil.allocate(PIPELINE_BUFFER_BYTES);
    int count;
    try {
      count = connection.getEndPoint().isOpen() ? connection.getEndPoint().fill(next) : -1;
    } catch (IOException e) {
      throw new CallerDisconnected("the connection to the caller failed", e);
    }
    if (count < 0) {
      throw new CallerDisconnected("the caller closed its connection", null);
    }
    if (count > 0 && connection instanceof Connection.UpgradeTo upgradable) {
      upgradable.onUpgradeTo(next);
    }
  }

  /** Closes the connection, so that the caller recognizes the body as incomplete. */
  public void abort() {
    connection().getEndPoint().close();
  }

  private Connection connection() {
    return ServletContextRequest.getServletContextRequest(request)
        .getConnectionMetaData()
        .getConnection();
  }

  /** Returns the OpenAI-style body of an error. */
  static String errorBody(RequestRefused refused, String requestId) {
    ObjectNode root = MAPPER.createObjectNode();
    ObjectNode error = root.putObject("error");
    error.put("message", refused.getMessage());
    error.put("type", refused.error().type());
    error.put("code", refused.error().code());
    error.putNull("param");
    error.put("request_id", requestId);
    error.put("outcome", refused.outcome().headerValue());
    try {
      return MAPPER.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to serialize an error body", e);
    }
  }

  private static long retryAfterSeconds(long millis) {
    return Math.max(1, (millis + 999) / 1_000);
  }
}
