package org.comfreygap.runtime;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * The servlets of the administration HTTP connector.
 *
 * <p>Thread safety: stateless but for thread-safe collaborators.
 */
final class AdminServlets {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private AdminServlets() {}

  /** Serves the metrics in the Prometheus text format. */
  static final class Metrics extends HttpServlet {

    private static final long serialVersionUID = 1L;

    private final transient PrometheusMeterRegistry registry;

    Metrics(PrometheusMeterRegistry registry) {
      this.registry = registry;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response)
        throws IOException {
      write(response, "text/plain; version=0.0.4; charset=utf-8", registry.scrape());
    }
  }

  /** Responds with 200 when the process accepts new work and 503 otherwise. */
  static final class Ready extends HttpServlet {

    private static final long serialVersionUID = 1L;

    private final transient BooleanSupplier ready;

    Ready(BooleanSupplier ready) {
      this.ready = ready;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response)
        throws IOException {
      boolean isReady = ready.getAsBoolean();
      response.setStatus(isReady ? 200 : 503);
      write(response, "text/plain; charset=utf-8", isReady ? "ready\n" : "not ready\n");
    }
  }

  /**
   * Serves the events of this process as a JSON list. Parameters: {@code since} (milliseconds since
   * the epoch), {@code request} and {@code team}.
   */
  static final class TimelineEvents extends HttpServlet {

    private static final long serialVersionUID = 1L;

    private final transient Timeline timeline;

    TimelineEvents(Timeline timeline) {
      this.timeline = timeline;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response)
        throws IOException {
      long since;
      try {
        since = Long.parseLong(Optional.ofNullable(request.getParameter("since")).orElse("0"));
      } catch (NumberFormatException e) {
        response.setStatus(400);
        write(
            response,
            "text/plain; charset=utf-8",
            "since: expected milliseconds since the epoch\n");
        return;
      }
      Optional<String> requestId = Optional.ofNullable(request.getParameter("request"));
      Optional<String> team = Optional.ofNullable(request.getParameter("team"));
      String json = MAPPER.writeValueAsString(timeline.eventsSince(since, requestId, team));
      write(response, "application/json", json);
    }
  }

  private static void write(HttpServletResponse response, String type, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    response.setContentType(type);
    response.setContentLength(bytes.length);
    response.getOutputStream().write(bytes);
  }
}
