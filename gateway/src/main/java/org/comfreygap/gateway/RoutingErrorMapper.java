package org.comfreygap.gateway;

import com.google.inject.Inject;
import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;

/**
 * Returns the standard error body for requests that match no route.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
public final class RoutingErrorMapper implements ExceptionMapper<WebApplicationException> {

  private static final int METHOD_NOT_ALLOWED = 405;

  private final RequestPipeline pipeline;

  @Inject
  RoutingErrorMapper(RequestPipeline pipeline) {
    this.pipeline = pipeline;
  }

  @Override
  public Response toResponse(WebApplicationException exception) {
    CallerError error =
        switch (exception.getResponse().getStatus()) {
          case METHOD_NOT_ALLOWED -> CallerError.METHOD_NOT_ALLOWED;
          case 404 -> CallerError.NOT_FOUND;
          default -> CallerError.INVALID_REQUEST;
        };
    RequestRefused refused = RequestRefused.notRun(error, "no such route");
    String requestId = pipeline.newRequestId();
    return Response.status(error.status())
        .type("application/json")
        .header(CallerResponse.REQUEST_ID_HEADER, requestId)
        .header(CallerResponse.OUTCOME_HEADER, refused.outcome().headerValue())
        .entity(CallerResponse.errorBody(refused, requestId))
        .build();
  }
}
