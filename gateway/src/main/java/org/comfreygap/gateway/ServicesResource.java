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
 * The routes of plain services, with any method.
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

  /** Passes a GET call on. */
  @GET
  public void get(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Passes a HEAD call on. */
  @HEAD
  public void head(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Passes a POST call on. */
  @POST
  public void post(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Passes a PUT call on. */
  @PUT
  public void put(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Passes a PATCH call on. */
  @PATCH
  public void patch(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Passes a DELETE call on. */
  @DELETE
  public void delete(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }

  /** Passes an OPTIONS call on. */
  @OPTIONS
  public void options(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.SERVICE, request, response);
  }
}
