package org.comfreygap.gateway;

import jakarta.servlet.http.HttpServletRequest;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.comfreygap.gateway.RequestContext.ResolvedRequest;
import org.comfreygap.settings.Documents.Key;
import org.comfreygap.settings.Documents.ServiceRoute;
import org.comfreygap.settings.Priority;
import org.comfreygap.settings.SettingsView;

/**
 * Resolves calls below {@code /services/{name}}.
 *
 * <p>A caller with a key may call services of its own team that list it or are open, and open
 * services of other teams; a caller without a key only open services. Thread safety: stateless.
 */
final class ServiceResolver {

  /** Tokens charged for one call of a plain service. */
  static final long TOKENS_PER_CALL = 1;

  private static final String PREFIX = "/services/";
  private static final Pattern UNSAFE_PATH =
      Pattern.compile("(?i)/(?:\\.|%2e){1,2}(?:/|;|$)|%2f|%5c|\\\\");
  private static final Pattern PRINTABLE_ASCII = Pattern.compile("[\\x20-\\x7e]{1,512}");

  /** A call of a service; {@code path} is the path and query below the service. */
  record ServiceCall(ServiceRoute service, String path) {}

  /**
   * Finds the service named by the request path.
   *
   * @throws RequestRefused when the service does not exist or the customer may not call it
   */
  ServiceCall find(RequestContext context) throws RequestRefused {
    String uri = context.servletRequest().getRequestURI();
    int end = uri.indexOf('/', PREFIX.length());
    String name = end < 0 ? uri.substring(PREFIX.length()) : uri.substring(PREFIX.length(), end);
    String path = end < 0 ? "/" : uri.substring(end);
    if (UNSAFE_PATH.matcher(path).find()) {
      throw RequestRefused.notRun(
          CallerError.INVALID_REQUEST,
          "the path contains dot segments, backslashes or encoded slashes");
    }
    String query = context.servletRequest().getQueryString();
    return new ServiceCall(service(context, name), query == null ? path : path + "?" + query);
  }

  /**
   * Resolves a service call.
   *
   * @throws RequestRefused when a header is malformed
   */
  ResolvedRequest resolve(RequestContext context, ServiceCall call, byte[] body)
      throws RequestRefused {
    HttpServletRequest http = context.servletRequest();
    ServiceRoute service = call.service();
    String customer = context.customer();
    return new ResolvedRequest(
        service.id(),
        Optional.empty(),
        http.getMethod(),
        call.path(),
        headers(http),
        body,
        PriorityHeader.read(http, service.defaultPriority()),
        service.idempotentMethods().contains(http.getMethod()),
        false,
        false,
        TOKENS_PER_CALL,
        0,
        Hashes.fingerprint(body, customer, service.id(), http.getMethod(), call.path()));
  }

  private static ServiceRoute service(RequestContext context, String name) throws RequestRefused {
    SettingsView settings = context.settings();
    Optional<Key> key = context.key();
    if (key.isPresent()) {
      String team = key.get().customer().substring(0, key.get().customer().indexOf('/'));
      Optional<ServiceRoute> own = settings.service(team + "/" + name);
      if (own.isPresent()) {
        if (own.get().open() || own.get().permits(key.get().customer())) {
          return own.get();
        }
        throw RequestRefused.notRun(
            CallerError.FORBIDDEN, "the customer may not call the service " + name);
      }
    }
    Optional<ServiceRoute> open = settings.openService(name);
    if (open.isEmpty() && key.isEmpty()) {
      throw RequestRefused.notRun(
          CallerError.INVALID_KEY, "missing key: expected Authorization: Bearer KEY");
    }
    return open.orElseThrow(() -> RequestRefused.notRun(CallerError.NOT_FOUND, "no such service"));
  }

  private static Map<String, String> headers(HttpServletRequest http) throws RequestRefused {
    Map<String, String> headers = new LinkedHashMap<>();
    for (String name : EndpointHeaders.SERVICE_CALL_HEADERS) {
      String value = http.getHeader(name);
      if (value != null) {
        if (!PRINTABLE_ASCII.matcher(value).matches()) {
          throw RequestRefused.notRun(
              CallerError.INVALID_REQUEST,
              "header " + name + ": expected 1 to 512 printable ASCII characters");
        }
        headers.put(name, value);
      }
    }
    return headers;
  }

  /** Reads the priority header of a request. */
  static final class PriorityHeader {

    private static final String HEADER = "Comfreygap-Priority";

    private PriorityHeader() {}

    /** Returns the priority in the header, or {@code defaultPriority} without one. */
    static Priority read(HttpServletRequest http, Priority defaultPriority) throws RequestRefused {
      String value = http.getHeader(HEADER);
      if (value == null) {
        return defaultPriority;
      }
      return Priority.parse(value.strip())
          .orElseThrow(
              () ->
                  RequestRefused.notRun(
                      CallerError.INVALID_REQUEST,
                      "header " + HEADER + ": expected urgent, normal or deferrable"));
    }
  }
}
