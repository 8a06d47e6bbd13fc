package org.comfreygap.gateway;

import com.google.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.core.Context;
import org.comfreygap.protocol.generated.Route;

/**
 * HTTP resource of the completion routes.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
@Path("/v1")
public final class CompletionsResource {

  private final RequestPipeline pipeline;

  @Inject
  CompletionsResource(RequestPipeline pipeline) {
    this.pipeline = pipeline;
  }

  /** Handles a chat completion. */
  @POST
  @Path("/chat/completions")
  public void chat(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.CHAT_COMPLETIONS, request, response);
  }

  /** Handles a text completion. */
  @POST
  @Path("/completions")
  public void text(@Context HttpServletRequest request, @Context HttpServletResponse response) {
    pipeline.handle(Route.COMPLETIONS, request, response);
  }
}
