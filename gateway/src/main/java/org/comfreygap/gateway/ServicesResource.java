package org.comfreygap.gateway;

import com.google.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HEAD;
import jakarta.ws.rs.OPTIONS;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.core.Context;
import org.comfreygap.protocol.generated.Route;

/**
 * HTTP resource that forwards calls of plain services with any method.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
@Path("/services/{name}{path: (/.*)?}")
public final class ServicesResource {

  private final RequestPipeline pipeline;

  @Inject
  ServicesResource(RequestPipeline pipeline) {
    this.pipeline = pipeline;
  }

  /** Handles a GET call. */
  @GET
  public void get(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Handles a HEAD call. */
  @HEAD
  public void head(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Handles a POST call. */
  @POST
  public void post(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Handles a PUT call. */
  @PUT
  public void put(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Handles a PATCH call. */
  @PATCH
  public void patch(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Handles a DELETE call. */
  @DELETE
  public void delete(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Handles an OPTIONS call. */
  @OPTIONS
  public void options(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }
}
