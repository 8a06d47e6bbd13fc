package org.comfreygap.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.comfreygap.decisions.Outcome;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/**
 * Gives requests that the HTTP server rejects before any route is looked up the same form of error
 * as all others. The server's own page would quote the address with its query.
 *
 * <p>Thread safety: stateless but for thread-safe collaborators.
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
            : RequestRefused.notRun(CallerError.INVALID_REQUEST, "given a malformed request");
    byte[] body = CallerResponse.errorBody(refused, requestId).getBytes(StandardCharsets.UTF_8);
    response.getHeaders().put("Content-Type", "application/json");
    response.getHeaders().put(CallerResponse.REQUEST_ID_HEADER, requestId);
    response.getHeaders().put(CallerResponse.OUTCOME_HEADER, refused.outcome().headerValue());
    response.write(true, ByteBuffer.wrap(body), callback);
    return true;
  }
}
