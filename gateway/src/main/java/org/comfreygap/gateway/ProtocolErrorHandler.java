package org.comfreygap.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.comfreygap.decisions.Outcome;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/**
 * Returns the standard error body for requests that the HTTP server rejects before routing. The
 * server's default page would quote the URL with its query.
 *
 * <p>Thread safety: stateless apart from thread-safe collaborators.
 */
final class ProtocolErrorHandler extends ErrorHandler {

  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private final RequestPipeline pipeline;

  ProtocolErrorHandler(RequestPipeline pipeline) {
    this.pipeline = pipeline;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String requestId = pipeline.newRequestId();
    boolean server = response.getStatus() >= FIRST_SERVER_ERROR_STATUS;
    RequestRefused refused =
        server
            ? RequestRefused.of(CallerError.INTERNAL, "internal error", Outcome.UNKNOWN)
            : RequestRefused.notRun(CallerError.INVALID_REQUEST, "malformed HTTP request");
    byte[] body = CallerResponse.errorBody(refused, requestId).getBytes(StandardCharsets.UTF_8);
    response.getHeaders().put("Content-Type", "application/json");
    response.getHeaders().put(CallerResponse.REQUEST_ID_HEADER, requestId);
    response.getHeaders().put(CallerResponse.OUTCOME_HEADER, refused.outcome().headerValue());
    response.write(true, ByteBuffer.wrap(body), callback);
    return true;
  }
}
