package org.comfreygap.gateway;

import jakarta.servlet.http.HttpServletRequest;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.comfreygap.protocol.generated.Route;
import org.comfreygap.settings.Documents.Key;

/**
 * Authenticates the customer by the key in the request. Only service calls may omit the key;
 * whether the service is open is checked when the service is resolved.
 *
 * <p>Invariant: no caller state is kept between requests of one connection. Thread safety:
 * stateless.
 */
final class AuthenticationFilter implements RequestFilter {

  private static final String SCHEME = "Bearer ";
  private static final int MAX_KEY_LENGTH = 512;

  @Override
  public void filter(RequestContext context, FilterChain chain) throws RequestRefused {
    Optional<String> presented = presentedKey(context.servletRequest());
    if (presented.isPresent()) {
      Key key =
          context
              .settings()
              .activeKey(Hashes.sha256(presented.get()))
              .orElseThrow(AuthenticationFilter::invalid);
      context.recordAuthentication(presented.get(), key);
    } else if (context.route() != Route.SERVICE) {
      throw invalid();
    }
    chain.next(context);
  }

  private static Optional<String> presentedKey(HttpServletRequest request) throws RequestRefused {
    List<String> values = Collections.list(request.getHeaders("Authorization"));
    if (values.isEmpty()) {
      return Optional.empty();
    }
    String value = values.get(0).strip();
    boolean wellFormed =
        values.size() == 1
            && value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
            && value.length() <= SCHEME.length() + MAX_KEY_LENGTH;
    String key = wellFormed ? value.substring(SCHEME.length()).strip() : "";
    if (key.isEmpty()) {
      throw invalid();
    }
    return Optional.of(key);
  }

  private static RequestRefused invalid() {
    return RequestRefused.notRun(
        CallerError.INVALID_KEY, "missing or invalid key: expected Authorization: Bearer KEY");
  }
}
