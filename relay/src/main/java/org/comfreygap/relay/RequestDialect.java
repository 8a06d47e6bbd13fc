package org.comfreygap.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Set;

/**
 * The header names used between callers, the gateway and endpoints.
 *
 * <p>Implementations translate and decide nothing. Thread safety: implementations are stateless.
 *
 * @since 0.2
 */
public interface RequestDialect {

  /**
   * Reads the metadata of a caller's request.
   *
   * @throws MalformedRequestException when a value is missing or cannot be read
   */
  CallerRequest readRequest(HttpRequest head) throws MalformedRequestException;

  /**
   * Writes the headers of a request to an endpoint: those of the caller that the gateway does not
   * set itself, and those of {@code dispatch}. Hop-by-hop headers are left out.
   */
  void writeHeaders(HttpHeaders fromCaller, Dispatch dispatch, HttpHeaders toEndpoint);

  /** Reads the metadata in the head of an endpoint's response. */
  ResponseHead readResponse(HttpResponse head);

  /**
   * Returns the lower-case names of the fields of which the head of an endpoint's response has at
   * most one.
   */
  Set<String> singleResponseFields();

  /**
   * Returns true when endpoints state the id of the request in every response, so that a response
   * without one belongs to no request.
   */
  default boolean statesRequestIds() {
    return false;
  }
}
